/**
 * Translates this process's deadlines to a worker's clock.
 *
 * Every answer tells the worker's time when it was sent. When it arrives, the
 * worker's clock shows at least that, so a deadline translated from the
 * moment of arrival falls early on the worker's clock, never late. A start
 * that was held up by a pause of this process is thus refused by the worker
 * itself, and clock skew can't stretch a lease.
 */
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';

type WorkerMs = platform.worker.WorkerMs;
type MonotonicMs = types.clock.MonotonicMs;

/** One pair of moments: the worker's, and this process's on its arrival. */
export interface WorkerClock {
  readonly workerTime: WorkerMs;
  readonly arrivedAt: MonotonicMs;
}

/** The worker's time that surely is not before `moment` has come here. */
export function toWorkerTime(
  clock: WorkerClock,
  moment: MonotonicMs,
): WorkerMs {
  return (clock.workerTime + (moment - clock.arrivedAt)) as WorkerMs;
}

/** The moment here by which the worker's clock surely shows `workerTime`. */
export function toLatestLocalTime(
  clock: WorkerClock,
  workerTime: WorkerMs,
): MonotonicMs {
  return (clock.arrivedAt + (workerTime - clock.workerTime)) as MonotonicMs;
}
