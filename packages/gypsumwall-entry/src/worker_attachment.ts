/** What a holder keeps of a worker that it is attached to. */
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import * as workerClock from './worker_clock.js';

type MonotonicMs = types.clock.MonotonicMs;

/** One stay of a worker, as this epoch's holder knows it. */
export interface WorkerAttachment {
  readonly call: platform.worker.HolderCall;
  clock: workerClock.WorkerClock;
  /**
   * Highest end of a lease that was sent, answered or not, on the worker's
   * clock. Leases of tasks that may run twice do not count.
   */
  longestLease: platform.worker.WorkerMs;
}

/** Makes it of the answer to an attach that arrived at `now`. */
export function fromAnswer(
  answer: platform.worker.AttachAnswer,
  epoch: number,
  now: MonotonicMs,
  runsOnce: (taskId: types.ids.TaskId) => boolean,
): WorkerAttachment {
  const leases = answer.running
    .filter((task) => runsOnce(task.taskId))
    .map((task) => task.leaseUntil);
  return {
    call: {epoch, incarnation: answer.incarnation},
    clock: {workerTime: answer.now, arrivedAt: now},
    longestLease: Math.max(answer.now, ...leases) as platform.worker.WorkerMs,
  };
}

/** Notes a lease before it is sent, since the call may arrive unanswered. */
export function noteLease(
  held: WorkerAttachment,
  leaseUntil: platform.worker.WorkerMs,
): void {
  if (leaseUntil > held.longestLease) held.longestLease = leaseUntil;
}

/** When the worker has surely stopped by itself whatever must run once. */
export function leasesOverAt(
  held: WorkerAttachment,
  graceMs: number,
): MonotonicMs {
  const over = workerClock.surelyPassedAt(held.clock, held.longestLease);
  return types.clock.after(over, graceMs);
}
