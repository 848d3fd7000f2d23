/** The scheduler's order to start a task, and the worker's answer to it. */
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import type * as workerAttachment from './worker_attachment.js';
import * as workerClock from './worker_clock.js';

/** One execution of a task on a worker. */
export interface Attempt {
  readonly taskId: types.ids.TaskId;
  readonly attempt: types.ids.AttemptId;
}

/** The scheduler's order to start an attempt. */
export interface StartOrder extends Attempt {
  readonly size: types.resources.Resources;
  readonly work: types.job.Work;
  readonly leaseMs: number;
  /** Trace context of the call that submitted the job. */
  readonly traceparent?: string;
}

/** Converts the order to a worker call; its lease counts from `now`. */
export function toStartTask(
  attachment: workerAttachment.WorkerAttachment,
  order: StartOrder,
  now: types.clock.MonotonicMs,
): platform.worker.StartTask {
  const leaseEndsAt = types.clock.after(now, order.leaseMs);
  return {
    taskId: order.taskId,
    attempt: order.attempt,
    size: order.size,
    work: order.work,
    leaseUntil: workerClock.toWorkerTime(attachment.clock, leaseEndsAt),
  };
}

/** Returns why the task did not start, or undefined if it started. */
export function startFailureOf(
  answer: platform.worker.StartAnswer | undefined,
): string | undefined {
  switch (answer?.type) {
    case undefined:
      return "the worker's answer lacks this task";
    case 'started':
      return undefined;
    case 'refused':
      return answer.message;
  }
}
