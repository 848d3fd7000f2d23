/**
 * Tracks which workers of earlier holders are accounted for. A worker is
 * accounted for once it has answered under the new fencing token, since it then
 * lists all running attempts and refuses the old holder; or once its
 * incarnation has ended; or once every lease that an old holder may have
 * granted has expired. Until then its tasks may still run, and starting them
 * elsewhere would run them twice.
 *
 * An old holder whose appends aren't confirmed renews leases only while more
 * than half of the workers answer it, and only for a limited time. Once more
 * than half of the workers have answered the new holder, any majority that the
 * old one needs includes a worker that refuses it. Old leases have therefore
 * expired one lease after the old holder notices this, or after its time limit,
 * whichever comes first.
 */
import type * as types from '@gypsumwall/types';

/** When all leases of old holders have expired. */
export interface LeaseBounds {
  /** Regardless of how many workers have answered. */
  readonly latestAt: types.clock.MonotonicMs;
  /** Time after more than half of the workers have answered; milliseconds. */
  readonly afterMajorityMs: number;
}

/** The workers of one takeover. */
export interface FailoverBarrier {
  markAccounted(worker: types.ids.WorkerId, now: types.clock.MonotonicMs): void;
  isAccounted(worker: types.ids.WorkerId): boolean;
  /** Accounts for all workers once old leases have expired. */
  tick(now: types.clock.MonotonicMs): void;
  unaccounted(): number;
}

/**
 * Creates a barrier. `onAccounted` is called after each change, possibly during
 * the call that causes it.
 */
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
