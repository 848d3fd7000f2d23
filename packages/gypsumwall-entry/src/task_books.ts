/**
 * The holder's books: which tasks are active and which wait. The policy keeps
 * books of room; these keep attempts, and move a task from one to the other.
 */
import type * as placement from '@gypsumwall/placement';
import type * as platform from '@gypsumwall/platform';
import type * as records from '@gypsumwall/records';
import * as types from '@gypsumwall/types';
import type * as schedulerOptions from './scheduler_options.js';
import * as taskTable from './task_table.js';

type JobState = records.jobFold.JobState;

/** The books of one epoch. */
export interface TaskBooks {
  readonly tasks: taskTable.TaskTable;
  jobOf(taskId: types.ids.TaskId): JobState | undefined;
  /** Whether two copies of the task would do harm. */
  runsOnce(taskId: types.ids.TaskId): boolean;
  /** Whether the task's job still wants it to run. */
  isWanted(taskId: types.ids.TaskId): boolean;
  /** Queues all of a job's tasks that neither run nor are done. */
  enqueueJob(job: JobState): void;
  /** Drops what waits of a job that is closed. */
  closeJob(job: JobState): void;
  /** Books a task that was found at a worker. */
  hold(
    task: Pick<platform.worker.RunningTask, 'taskId' | 'attempt' | 'size'>,
    workerId: types.ids.WorkerId,
    job: JobState,
    startedAt: types.clock.MonotonicMs,
  ): taskTable.ActiveTask;
  /** Gives a task's room back; it waits again if its job still wants it. */
  release(task: taskTable.ActiveTask, report: placement.placer.AttemptReport): void;
  /** Runs of a job's tasks that failed in this epoch. */
  failures(jobId: types.ids.JobId): number;
  /** Jobs from before the epoch that are held back. */
  gatedJobs(): number;
  /** Lets them go. */
  openGate(): void;
}

/** Makes books in which all open jobs are held back. */
export function createTaskBooks(
  options: Pick<schedulerOptions.DomainSchedulerOptions, 'placer' | 'jobs'>,
  onChange: () => void,
): TaskBooks {
  const {placer, jobs} = options;
  const tasks = taskTable.createTaskTable(
    (taskId) => types.ids.splitTaskId(taskId).jobId,
  );
  const gated = new Set<JobState>(jobs.openJobs());
  const failures = new Map<types.ids.JobId, number>();

  function jobOf(taskId: types.ids.TaskId): JobState | undefined {
    return jobs.job(types.ids.splitTaskId(taskId).jobId);
  }

  function isWanted(taskId: types.ids.TaskId): boolean {
    const job = jobOf(taskId);
    if (job?.phase.type !== 'open') return false;
    const {index} = types.ids.splitTaskId(taskId);
    const count = types.job.maxTaskCount(job.spec.shape);
    return index < count && !job.results.has(index);
  }

  function waitingIndexes(job: JobState): number[] {
    const waiting: number[] = [];
    const count = types.job.maxTaskCount(job.spec.shape);
    for (let index = 0; index < count; index++) {
      if (job.results.has(index)) continue;
      const taskId = types.ids.makeTaskId(job.jobId, index);
      if (tasks.get(taskId) === undefined) waiting.push(index);
    }
    return waiting;
  }

  function enqueue(job: JobState, waiting: readonly number[]): void {
    if (waiting.length === 0) return;
    const {jobId, spec, acceptedAt} = job;
    placer.enqueue({jobId, spec, acceptedAt, waiting});
    onChange();
  }

  function release(
    task: taskTable.ActiveTask,
    report: placement.placer.AttemptReport,
  ): void {
    tasks.remove(task);
    placer.release(task.taskId, report);
    const job = jobOf(task.taskId);
    if (report.type === 'failed' && job?.phase.type === 'open') {
      failures.set(job.jobId, (failures.get(job.jobId) ?? 0) + 1);
    }
    if (job !== undefined && !gated.has(job) && isWanted(task.taskId)) {
      enqueue(job, [types.ids.splitTaskId(task.taskId).index]);
    }
    onChange();
  }

  return {
    tasks,
    jobOf,
    isWanted,
    release,
    runsOnce: (taskId) => jobOf(taskId)?.spec.shape.kind !== 'service',
    enqueueJob: (job) => enqueue(job, waitingIndexes(job)),
    closeJob: (job) => {
      placer.cancel(job.jobId);
      gated.delete(job);
      failures.delete(job.jobId);
    },
    hold: ({taskId, attempt, size}, workerId, job, startedAt) => {
      const held: taskTable.ActiveTask = {
        taskId,
        attempt,
        workerId,
        size,
        phase: 'running',
        startedAt,
      };
      tasks.put(held);
      placer.adopt({taskId, spec: job.spec, workerId, size});
      return held;
    },
    failures: (jobId) => failures.get(jobId) ?? 0,
    gatedJobs: () => gated.size,
    openGate: () => {
      const waiting = [...gated].filter((job) => job.phase.type === 'open');
      gated.clear();
      for (const job of waiting) enqueue(job, waitingIndexes(job));
    },
  };
}
