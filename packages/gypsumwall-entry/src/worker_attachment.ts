/** The holder's state of a worker that it is attached to. */
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import * as workerClock from './worker_clock.js';

type MonotonicMs = types.clock.MonotonicMs;

/** State of one incarnation of a worker. */
export interface WorkerAttachment {
  readonly call: platform.worker.HolderCall;
  clock: workerClock.WorkerClock;
  /**
   * Latest end of any lease that was sent, answered or not, on the worker's
   * clock. Leases of tasks whose attempts may overlap do not count.
   */
  latestLeaseEnd: platform.worker.WorkerMs;
}

/** Creates the state from an answer to `attach` that arrived at `now`. */
export function createAttachment(
  answer: platform.worker.AttachAnswer,
  epoch: number,
  now: MonotonicMs,
  mustRunOnce: (taskId: types.ids.TaskId) => boolean,
): WorkerAttachment {
  const leases = answer.running
    .filter((task) => mustRunOnce(task.taskId))
    .map((task) => task.leaseUntil);
  return {
    call: {epoch, incarnation: answer.incarnation},
    clock: {workerTime: answer.now, arrivedAt: now},
    latestLeaseEnd: Math.max(answer.now, ...leases) as platform.worker.WorkerMs,
  };
}

/** Call this before sending a lease: the call may arrive and its answer not. */
export function recordLease(
  attachment: WorkerAttachment,
  leaseUntil: platform.worker.WorkerMs,
): void {
  if (leaseUntil > attachment.latestLeaseEnd)
    attachment.latestLeaseEnd = leaseUntil;
}

/** When the worker has certainly stopped all tasks that must run only once. */
export function leasesExpiredAt(
  attachment: WorkerAttachment,
  graceMs: number,
): MonotonicMs {
  const expiredAt = workerClock.toLatestLocalTime(
    attachment.clock,
    attachment.latestLeaseEnd,
  );
  return types.clock.after(expiredAt, graceMs);
}
