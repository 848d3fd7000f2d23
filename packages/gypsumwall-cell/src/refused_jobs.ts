/**
 * Jobs that this entry has refused recently. A refusal promises that the job
 * never runs, so its record must not appear in the log unless the caller has
 * submitted the job again.
 */
import type * as types from '@gypsumwall/types';

/**
 * How long a refusal is remembered. The store may carry out an unanswered
 * append seconds later; milliseconds.
 */
const MEMORY_MS = 20_000;
/** Maximum number of refusals that are remembered; the oldest are dropped. */
const MAX_REFUSALS = 5_000;

/** A refused job whose record is in the log. */
export interface StoredRefusal {
  /** Time since the refusal; milliseconds. */
  readonly refusedMsAgo: number;
  /**
   * Whether the record was created before the refusal. Then it comes from the
   * refused call or from one beside it, and not from a later call.
   */
  readonly isOlderThanRefusal: boolean;
}

/** The refusals of one entry. */
export interface RefusedJobs {
  add(id: types.ids.JobId): void;
  /**
   * Returns the refusal of a job that is now in the log, and forgets it;
   * undefined if there is none. `createdAt` is when the record was created.
   */
  take(
    id: types.ids.JobId,
    createdAt: types.clock.WallMs,
  ): StoredRefusal | undefined;
}

interface Refusal {
  readonly at: types.clock.MonotonicMs;
  readonly wall: types.clock.WallMs;
}

/** Creates an empty list. */
export function createRefusedJobs(clock: types.clock.Clock): RefusedJobs {
  // In the order of the refusals.
  const refusals = new Map<types.ids.JobId, Refusal>();

  function dropOld(): void {
    for (const [id, {at}] of refusals) {
      const isOld = clock.monotonic() - at > MEMORY_MS;
      if (!isOld && refusals.size <= MAX_REFUSALS) return;
      refusals.delete(id);
    }
  }

  return {
    add(id) {
      refusals.delete(id);
      refusals.set(id, {at: clock.monotonic(), wall: clock.wall()});
      dropOld();
    },
    take(id, createdAt) {
      dropOld();
      const refusal = refusals.get(id);
      if (refusal === undefined) return undefined;
      refusals.delete(id);
      return {
        refusedMsAgo: Math.round(clock.monotonic() - refusal.at),
        isOlderThanRefusal: createdAt <= refusal.wall,
      };
    },
  };
}
