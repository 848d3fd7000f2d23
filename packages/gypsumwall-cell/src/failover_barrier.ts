/**
 * Tells which workers of earlier holders are accounted for: a worker has
 * answered under the new fencing token, so that it lists all it runs and
 * refuses the old holder; or its stay is over; or every lease that the old
 * holder may have given has passed. Until then its tasks may be running, and
 * starting them elsewhere would run them twice.
 *
 * A holder whose appends aren't confirmed renews leases only while more than
 * half of the workers answer it, and for a bounded time. Once more than half
 * of them answer to the new holder, the old one meets one that refuses it. So
 * leases have passed one span after whichever of the two comes first.
 */
import type * as types from '@gypsumwall/types';

/** When leases of an old holder have surely passed. */
export interface LeaseBounds {
  /** However many workers have answered. */
  readonly latestAt: types.clock.MonotonicMs;
  /** After more than half have answered; milliseconds. */
  readonly afterMajorityMs: number;
}

/** The workers of one takeover. */
export interface FailoverBarrier {
  markAccounted(worker: types.ids.WorkerId, now: types.clock.MonotonicMs): void;
  isAccounted(worker: types.ids.WorkerId): boolean;
  /** Accounts for all once old leases have surely passed. */
  tick(now: types.clock.MonotonicMs): void;
  unaccounted(): number;
}

/** Creates a gate; `onAccounted` hears of every step, perhaps at once. */
export function createFailoverBarrier(
  workers: readonly types.ids.WorkerId[],
  bounds: LeaseBounds,
  onAccounted: () => void,
): FailoverBarrier {
  const pending = new Set(workers);
  const total = pending.size;
  let majorityAt: types.clock.MonotonicMs | undefined;

  return {
    markAccounted(worker, now) {
      if (!pending.delete(worker)) return;
      if (total - pending.size > total / 2) majorityAt ??= now;
      onAccounted();
    },
    isAccounted: (worker) => !pending.has(worker),
    tick(now) {
      if (pending.size === 0) return;
      const isMajorityWaitOver =
        majorityAt !== undefined && now - majorityAt > bounds.afterMajorityMs;
      if (!isMajorityWaitOver && now < bounds.latestAt) return;
      pending.clear();
      onAccounted();
    },
    unaccounted: () => pending.size,
  };
}
