/**
 * Holds back jobs that an earlier holder had begun until every worker that it
 * used is accounted for: it has answered under the new fencing token, so that
 * it lists all it runs and refuses the old holder; or its stay is over; or
 * every lease that the old holder may have given has passed. Otherwise a task
 * that runs on a worker out of reach would be started a second time.
 */
import type * as types from '@gypsumwall/types';

/** The gate of one takeover. */
export interface TakeoverGate {
  account(worker: types.ids.WorkerId): void;
  /** Accounts for all once old leases have surely passed. */
  tick(now: types.clock.MonotonicMs): void;
  isOpen(): boolean;
  unaccounted(): number;
}

/** Creates a gate; `onOpen` is called once, perhaps at once. */
export function createTakeoverGate(
  workers: Iterable<types.ids.WorkerId>,
  leasesPassedAt: types.clock.MonotonicMs,
  onOpen: () => void,
): TakeoverGate {
  const missing = new Set(workers);
  let open = false;

  function check(): void {
    if (open || missing.size > 0) return;
    open = true;
    onOpen();
  }
  check();

  return {
    account(worker) {
      missing.delete(worker);
      check();
    },
    tick(now) {
      if (now >= leasesPassedAt) missing.clear();
      check();
    },
    isOpen: () => open,
    unaccounted: () => missing.size,
  };
}
