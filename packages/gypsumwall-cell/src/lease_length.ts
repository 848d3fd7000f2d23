/**
 * Chooses the length of a lease on a worker. Everything that may run on a lost
 * worker has to wait for its lease to expire before it starts elsewhere; a
 * worker that is cut off for less than its lease loses no work.
 */

/**
 * For workers with long-running tasks. Together with the adviser call and the
 * start this stays below the nine seconds that such a task may be interrupted,
 * and it exceeds the six seconds or so of a network cut; milliseconds.
 */
const LONG_RUNNING_LEASE_MS = 6_500;
/**
 * For any other worker. A long-running task may start there, be lost with the
 * worker, and wait for a lease that was granted before; milliseconds.
 */
const LONGEST_LEASE_MS = 9_000;
/** For workers that leave, whose tasks are moved anyway; milliseconds. */
const LEAVING_LEASE_MS = 4_000;

/** What the length depends on. */
export interface LeaseView {
  /** Maximum lease that a worker grants; milliseconds. */
  readonly maxMs: number;
  readonly hasLongRunning: boolean;
  readonly isLeaving: boolean;
}

/** The longest lease that is granted where workers allow this one. */
export function longestLease(maxMs: number): number {
  return Math.min(maxMs, LONGEST_LEASE_MS);
}

/** The length of the next lease on a worker's clock, in milliseconds. */
export function leaseLength(view: LeaseView): number {
  const {maxMs, hasLongRunning, isLeaving} = view;
  if (isLeaving) return Math.min(maxMs, LEAVING_LEASE_MS);
  return hasLongRunning
    ? Math.min(maxMs, LONG_RUNNING_LEASE_MS)
    : longestLease(maxMs);
}
