/** Starts of tasks, from the holder's decision to the worker's answer. */
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import type * as workerAttachment from './worker_attachment.js';
import * as workerClock from './worker_clock.js';

/** One run of a task at this worker. */
export interface Attempt {
  readonly taskId: types.ids.TaskId;
  readonly attempt: types.ids.AttemptId;
}

/** A start that the scheduler decided. */
export interface StartOrder extends Attempt {
  readonly size: types.resources.Resources;
  readonly work: types.job.Work;
  readonly leaseMs: number;
  /** Trace context of the submission. */
  readonly traceparent?: string;
}

/** The order as the worker takes it; its lease counts from `now`. */
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

/** Why a start was refused; undefined when the task started. */
export function startFailureOf(
  answer: platform.worker.StartAnswer | undefined,
): string | undefined {
  switch (answer?.type) {
    case undefined:
      return 'the worker gave no answer for it';
    case 'started':
      return undefined;
    case 'refused':
      return answer.message;
  }
}
