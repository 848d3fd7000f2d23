/**
 * What happens when a worker tells that a task has ended. A result is kept in
 * the log before the worker may forget it.
 */
import type * as placement from '@gypsumwall/placement';
import type * as platform from '@gypsumwall/platform';
import type * as records from '@gypsumwall/records';
import type * as types from '@gypsumwall/types';
import type * as schedulerOptions from './scheduler_options.js';
import type * as taskBooks from './task_books.js';
import type * as taskTable from './task_table.js';

/** What is needed. */
export interface TaskEndsOptions extends Pick<
  schedulerOptions.DomainSchedulerOptions,
  'clock' | 'append'
> {
  readonly books: taskBooks.TaskBooks;
  readonly heldSince: types.clock.MonotonicMs;
  /** Lets the worker forget the end. */
  readonly acknowledge: (
    workerId: types.ids.WorkerId,
    attempt: types.ids.AttemptId,
  ) => void;
}

/** Takes an end that a worker told, once or again. */
export type OnTaskEnd = (
  workerId: types.ids.WorkerId,
  ended: platform.worker.FinishedTask,
) => void;

/** Makes the function. */
export function createTaskEnds(options: TaskEndsOptions): OnTaskEnd {
  const {books, clock, heldSince, acknowledge} = options;

  function onEnd(
    workerId: types.ids.WorkerId,
    ended: platform.worker.FinishedTask,
  ): void {
    const task = books.tasks.attempt(ended.taskId, ended.attempt);
    const job = books.jobOf(ended.taskId);
    const isResult =
      ended.end.type === 'done' &&
      books.runsOnce(ended.taskId) &&
      books.isWanted(ended.taskId);
    if (job !== undefined && isResult) {
      record(workerId, ended, task ?? holdEnded(workerId, ended, job));
      return;
    }
    acknowledge(workerId, ended.attempt);
    if (task !== undefined)
      books.release(task, reportOf(ended.end, ranMs(task)));
  }

  /**
   * A task that had ended before this epoch counts as active until its end
   * stands in the log: were it forgotten, it would be run a second time.
   */
  function holdEnded(
    workerId: types.ids.WorkerId,
    ended: platform.worker.FinishedTask,
    job: records.jobFold.JobState,
  ): taskTable.ActiveTask | undefined {
    if (books.tasks.get(ended.taskId) !== undefined) return undefined;
    const {taskId, attempt} = ended;
    const {size} = job.spec;
    return books.hold({taskId, attempt, size}, workerId, job, heldSince);
  }

  /** Acknowledges the end once it is in the log; until then it is repeated. */
  function record(
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
    void options.append({type: 'task_ended', ...ended}).then((recorded) => {
      if (!recorded) {
        if (task !== undefined) task.phase = 'running';
        return;
      }
      acknowledge(workerId, ended.attempt);
      const current = books.tasks.attempt(ended.taskId, ended.attempt);
      if (current !== undefined) books.release(current, report);
    });
  }

  function ranMs(task: taskTable.ActiveTask | undefined): number {
    return clock.monotonic() - (task?.startedAt ?? heldSince);
  }

  return onEnd;
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
