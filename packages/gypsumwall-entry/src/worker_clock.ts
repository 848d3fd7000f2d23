/**
 * Converts this process's deadlines to a worker's clock.
 *
 * Every answer carries the worker's time at which it was sent. When it
 * arrives, the worker's clock shows that time or a later one. A deadline
 * converted from the moment of arrival is therefore early on the worker's
 * clock, never late. So the worker itself refuses a start that a pause of this
 * process has delayed, and clock skew can't extend a lease.
 */
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';

type WorkerMs = platform.worker.WorkerMs;
type MonotonicMs = types.clock.MonotonicMs;

/** The worker's time in an answer, and this process's time on its arrival. */
export interface WorkerClock {
  readonly workerTime: WorkerMs;
  readonly arrivedAt: MonotonicMs;
}

/**
 * Converts a local moment to the worker's clock. The result is at or before
 * the time that the worker's clock shows at that moment.
 */
export function toWorkerTime(
  clock: WorkerClock,
  moment: MonotonicMs,
): WorkerMs {
  return (clock.workerTime + (moment - clock.arrivedAt)) as WorkerMs;
}

/** The local moment at which the worker's clock has surely reached a time. */
export function toLatestLocalTime(
  clock: WorkerClock,
  workerTime: WorkerMs,
): MonotonicMs {
  return (clock.arrivedAt + (workerTime - clock.workerTime)) as MonotonicMs;
}
