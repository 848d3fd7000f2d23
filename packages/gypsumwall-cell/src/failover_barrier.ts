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
  /** Not before this moment, whatever has been answered. */
  readonly earliestAt?: types.clock.MonotonicMs;
}

/** The workers of one takeover. */
export interface FailoverBarrier {
  /** The worker has answered under the new fencing token. */
  markAccounted(worker: types.ids.WorkerId, now: types.clock.MonotonicMs): void;
  /**
   * Its incarnation has ended. It answers no holder any more, so a majority is
   * one of the others.
   */
  markGone(worker: types.ids.WorkerId, now: types.clock.MonotonicMs): void;
  isAccounted(worker: types.ids.WorkerId): boolean;
  /** Accounts for workers on which old leases have expired. */
  tick(now: types.clock.MonotonicMs): void;
  unaccounted(): number;
  /** Whether more than half of the workers have answered. */
  hasMajority(): boolean;
}

/**
 * Creates a barrier. `onAccounted` is called after each change, possibly during
 * the call that causes it. `byWorker` has the bounds of workers on which more than
 * the common ones is known.
 */
export function createFailoverBarrier(
  workers: readonly types.ids.WorkerId[],
  bounds: LeaseBounds,
  onAccounted: () => void,
  byWorker: ReadonlyMap<types.ids.WorkerId, LeaseBounds> = new Map(),
): FailoverBarrier {
  const pending = new Set(workers);
  let total = pending.size;
  let answered = 0;
  let majorityAt: types.clock.MonotonicMs | undefined;

  function haveExpired(
    {latestAt, afterMajorityMs, earliestAt}: LeaseBounds,
    now: types.clock.MonotonicMs,
  ): boolean {
    if (earliestAt !== undefined && now < earliestAt) return false;
    const isMajorityWaitOver =
      majorityAt !== undefined && now - majorityAt > afterMajorityMs;
    return isMajorityWaitOver || now >= latestAt;
  }

  function checkMajority(now: types.clock.MonotonicMs): void {
    if (answered > total / 2) majorityAt ??= now;
  }

  return {
    markAccounted(worker, now) {
      if (!pending.delete(worker)) return;
      answered++;
      checkMajority(now);
      onAccounted();
    },
    markGone(worker, now) {
      if (!pending.delete(worker)) return;
      total--;
      checkMajority(now);
      onAccounted();
    },
    isAccounted: (worker) => !pending.has(worker),
    tick(now) {
      const before = pending.size;
      for (const worker of pending) {
        if (haveExpired(byWorker.get(worker) ?? bounds, now))
          pending.delete(worker);
      }
      if (pending.size < before) onAccounted();
    },
    unaccounted: () => pending.size,
    hasMajority: () => majorityAt !== undefined,
  };
}
