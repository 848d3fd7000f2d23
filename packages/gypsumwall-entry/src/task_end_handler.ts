/**
 * Handles a worker's report that a task has ended. A result is recorded in the
 * log before the worker is allowed to discard it.
 */
import type * as placement from '@gypsumwall/placement';
import type * as platform from '@gypsumwall/platform';
import type * as records from '@gypsumwall/records';
import type * as types from '@gypsumwall/types';
import type * as schedulerOptions from './scheduler_options.js';
import type * as taskTracker from './task_tracker.js';
import type * as taskTable from './task_table.js';

/** Options of `createTaskEndHandler`. */
export interface TaskEndHandlerOptions extends Pick<
  schedulerOptions.DomainSchedulerOptions,
  'clock' | 'append'
> {
  readonly tracker: taskTracker.TaskTracker;
  readonly heldSince: types.clock.MonotonicMs;
  /** Allows the worker to discard its report of the end. */
  readonly acknowledge: (
    workerId: types.ids.WorkerId,
    attempt: types.ids.AttemptId,
  ) => void;
}

/** Handles one report; workers repeat reports until they are acknowledged. */
export type TaskEndHandler = (
  workerId: types.ids.WorkerId,
  ended: platform.worker.FinishedTask,
) => void;

/** Creates the handler. */
export function createTaskEndHandler(
  options: TaskEndHandlerOptions,
): TaskEndHandler {
  const {tracker, clock, heldSince, acknowledge} = options;

  function handleTaskEnd(
    workerId: types.ids.WorkerId,
    ended: platform.worker.FinishedTask,
  ): void {
    const task = tracker.tasks.getAttempt(ended.taskId, ended.attempt);
    const job = tracker.jobOf(ended.taskId);
    const isResult =
      ended.end.type === 'done' &&
      tracker.mustRunOnce(ended.taskId) &&
      tracker.isNeeded(ended.taskId);
    if (job !== undefined && isResult) {
      recordResult(
        workerId,
        ended,
        task ?? trackEndedTask(workerId, ended, job),
      );
      return;
    }
    acknowledge(workerId, ended.attempt);
    if (task !== undefined)
      tracker.release(task, reportOf(ended.end, ranMs(task)));
  }

  /**
   * Tracks a task that ended before this epoch as active until its end is in
   * the log. Otherwise it would be queued and run a second time.
   */
  function trackEndedTask(
    workerId: types.ids.WorkerId,
    ended: platform.worker.FinishedTask,
    job: records.jobFold.JobState,
  ): taskTable.ActiveTask | undefined {
    if (tracker.tasks.get(ended.taskId) !== undefined) return undefined;
    const {taskId, attempt} = ended;
    const {size} = job.spec;
    return tracker.track({taskId, attempt, size}, workerId, job, heldSince);
  }

  /** Appends the end to the log, and acknowledges it only after that. */
  function recordResult(
    workerId: types.ids.WorkerId,
    ended: platform.worker.FinishedTask,
    task: taskTable.ActiveTask | undefined,
  ): void {
    if (task?.phase === 'recording') return;
    if (task !== undefined) task.phase = 'recording';
    const report: placement.placer.AttemptReport = {
      type: 'done',
      ranMs: ranMs(task),
    };
    void options.append({type: 'task_ended', ...ended}).then((isRecorded) => {
      if (!isRecorded) {
        if (task !== undefined) task.phase = 'running';
        return;
      }
      acknowledge(workerId, ended.attempt);
      const current = tracker.tasks.getAttempt(ended.taskId, ended.attempt);
      if (current !== undefined) tracker.release(current, report);
    });
  }

  function ranMs(task: taskTable.ActiveTask | undefined): number {
    return clock.monotonic() - (task?.startedAt ?? heldSince);
  }

  return handleTaskEnd;
}

function reportOf(
  end: types.job.TaskEnd,
  ranMs: number,
): placement.placer.AttemptReport {
  switch (end.type) {
    case 'done':
      return {type: 'done', ranMs};
    case 'failed':
      return {type: 'failed', message: end.message};
    case 'stopped':
      return {type: 'stopped'};
  }
}
