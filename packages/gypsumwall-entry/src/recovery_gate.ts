/**
 * Decides when the new holder of a domain may start tasks that its predecessor
 * may have started.
 *
 * Failure: the old holder started a task on a worker that the new one can't
 * reach. Symptom: the task runs in two places. The gate opens once every
 * recently listed worker has been attached: then the tasks that run there are
 * known, and the old holder is fenced there. Otherwise the gate opens once the
 * last lease that the old holder can have granted has expired, by which time
 * the worker has stopped the task itself. A domain's first holder does not
 * wait. Neither do jobs accepted after the claim, because the old holder's
 * deadline had passed before it could see them.
 */
import * as types from '@gypsumwall/types';

type MonotonicMs = types.clock.MonotonicMs;

/** When each worker was last on the list, since this process started. */
export interface RecentWorkers {
  /** Records the workers of a list that was just fetched. */
  record(ids: Iterable<types.ids.WorkerId>, now: MonotonicMs): void;
  /** Workers listed at or after `since`. */
  listedSince(since: MonotonicMs): readonly types.ids.WorkerId[];
  /** When the first list was recorded; undefined before that. */
  firstRecordedAt(): MonotonicMs | undefined;
}

/** Creates an empty record of workers. */
export function createRecentWorkers(): RecentWorkers {
  const lastListed = new Map<types.ids.WorkerId, MonotonicMs>();
  let firstListAt: MonotonicMs | undefined;
  return {
    record: (ids, now) => {
      firstListAt ??= now;
      for (const id of ids) lastListed.set(id, now);
    },
    listedSince: (moment) =>
      [...lastListed]
        .filter(([, listedAt]) => listedAt >= moment)
        .map(([id]) => id),
    firstRecordedAt: () => firstListAt,
  };
}

/** State that the gate depends on. */
export interface GateInput {
  readonly now: MonotonicMs;
  /** Whether any entry held the domain before. */
  readonly hadPredecessor: boolean;
  /** When this entry became the holder. */
  readonly heldSince: MonotonicMs;
  /** Longest lease that a holder grants to tasks that must run only once. */
  readonly leaseMs: number;
  readonly graceMs: number;
  readonly listLagMs: number;
  readonly recent: RecentWorkers;
  /** Workers that already refuse older holders. */
  readonly fenced: ReadonlySet<types.ids.WorkerId>;
}

/** Whether tasks of jobs accepted before the claim may be started. */
export function isOpen(input: GateInput): boolean {
  if (!input.hadPredecessor) return true;
  const leaseBoundMs = input.leaseMs + input.graceMs;
  if (input.now >= types.clock.after(input.heldSince, leaseBoundMs))
    return true;
  const firstRecordedAt = input.recent.firstRecordedAt();
  const windowStart = types.clock.after(
    input.heldSince,
    -(leaseBoundMs + input.listLagMs),
  );
  // A process that started recently may not know every worker.
  if (firstRecordedAt === undefined || firstRecordedAt > windowStart)
    return false;
  return input.recent
    .listedSince(windowStart)
    .every((id) => input.fenced.has(id));
}
