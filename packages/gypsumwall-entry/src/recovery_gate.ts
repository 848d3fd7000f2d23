/**
 * Says when the new holder of a domain may start tasks that the holder before
 * it may have started.
 *
 * Failure: the old holder started a task at a worker that the new one can't
 * reach. Symptom: the task runs in two places. The gate opens when every
 * worker that the list showed lately has been attached (what runs there is
 * known, and the old holder is fenced there), or else when the last lease
 * the old holder can have granted has run out, by which the worker has
 * stopped the task itself. A domain's first holder has no such wait. Jobs accepted after the claim pass at once: the
 * old holder's deadline was over before it could see them.
 */
import * as types from '@gypsumwall/types';

type MonotonicMs = types.clock.MonotonicMs;

/** When each worker was last on the list, as long as this process ran. */
export interface RecentWorkers {
  /** Notes the workers of a list that was just fetched. */
  record(ids: Iterable<types.ids.WorkerId>, now: MonotonicMs): void;
  /** Workers listed at or after `since`. */
  listedSince(since: MonotonicMs): readonly types.ids.WorkerId[];
  /** When the first list was noted; undefined before. */
  watchingSince(): MonotonicMs | undefined;
}

/** Makes a record of workers seen. */
export function createRecentWorkers(): RecentWorkers {
  const lastListed = new Map<types.ids.WorkerId, MonotonicMs>();
  let since: MonotonicMs | undefined;
  return {
    record: (ids, now) => {
      since ??= now;
      for (const id of ids) lastListed.set(id, now);
    },
    listedSince: (moment) =>
      [...lastListed]
        .filter(([, listedAt]) => listedAt >= moment)
        .map(([id]) => id),
    watchingSince: () => since,
  };
}

/** What the gate is judged by. */
export interface GateInput {
  readonly now: MonotonicMs;
  /** Whether anybody has held the domain before. */
  readonly hadPredecessor: boolean;
  /** When this entry became the holder. */
  readonly heldSince: MonotonicMs;
  /** Longest lease that a holder grants to work that must run only once. */
  readonly leaseMs: number;
  readonly graceMs: number;
  readonly listLagMs: number;
  readonly recent: RecentWorkers;
  /** Workers that refuse older holders by now. */
  readonly fenced: ReadonlySet<types.ids.WorkerId>;
}

/** Whether tasks of older jobs may be started. */
export function isOpen(input: GateInput): boolean {
  if (!input.hadPredecessor) return true;
  const outlast = input.leaseMs + input.graceMs;
  if (input.now >= types.clock.after(input.heldSince, outlast)) return true;
  const watching = input.recent.watchingSince();
  const windowStart = types.clock.after(
    input.heldSince,
    -(outlast + input.listLagMs),
  );
  // A process that has not watched for so long may not know every worker.
  if (watching === undefined || watching > windowStart) return false;
  return input.recent
    .listedSince(windowStart)
    .every((id) => input.fenced.has(id));
}
