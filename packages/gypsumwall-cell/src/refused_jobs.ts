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
   * When its record was created, compared to the refused call. The record may
   * come from another entry, whose clock may be off.
   */
  readonly created: 'before_call' | 'during_call' | 'after_call';
}

/** The refusals of one entry. */
export interface RefusedJobs {
  /** Adds a job whose refused call arrived at a moment. */
  add(id: types.ids.JobId, arrivedAt: types.clock.WallMs): void;
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
  readonly arrivedAt: types.clock.WallMs;
  readonly answeredAt: types.clock.WallMs;
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
    add(id, arrivedAt) {
      refusals.delete(id);
      const answeredAt = clock.wall();
      refusals.set(id, {at: clock.monotonic(), arrivedAt, answeredAt});
      dropOld();
    },
    take(id, createdAt) {
      dropOld();
      const refusal = refusals.get(id);
      if (refusal === undefined) return undefined;
      refusals.delete(id);
      return {
        refusedMsAgo: Math.round(clock.monotonic() - refusal.at),
        created: compare(createdAt, refusal),
      };
    },
  };
}

function compare(
  createdAt: types.clock.WallMs,
  {arrivedAt, answeredAt}: Refusal,
): StoredRefusal['created'] {
  if (createdAt < arrivedAt) return 'before_call';
  return createdAt <= answeredAt ? 'during_call' : 'after_call';
}
