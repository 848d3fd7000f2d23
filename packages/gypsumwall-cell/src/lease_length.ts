/**
 * How long a lease on a worker is asked for. Everything that may run on a
 * worker that is lost waits for its lease to pass before it starts elsewhere;
 * a worker that is cut off for less than its lease loses no work.
 */

/**
 * On workers with lasting tasks. With the call to the adviser and the start it
 * stays below the nine seconds that such a task may be away, and is above the
 * six or so of a cut; milliseconds.
 */
const LONG_RUNNING_LEASE_MS = 6_500;
/** On workers that leave: their tasks are moved off anyway; milliseconds. */
const LEAVING_LEASE_MS = 4_000;

/** What the length depends on. */
export interface LeaseView {
  /** The longest that a worker grants; milliseconds. */
  readonly maxMs: number;
  readonly hasLongRunning: boolean;
  readonly isLeaving: boolean;
}

/** The length of the next lease on a worker's clock, in milliseconds. */
export function leaseLength(view: LeaseView): number {
  const {maxMs, hasLongRunning, isLeaving} = view;
  if (isLeaving) return Math.min(maxMs, LEAVING_LEASE_MS);
  return hasLongRunning ? Math.min(maxMs, LONG_RUNNING_LEASE_MS) : maxMs;
}
