/**
 * Tracks which tasks of the domain are active and which are queued. The placer
 * accounts for resources; the tracker accounts for attempts, and moves tasks
 * between the queue and the active ones.
 */
import type * as placement from '@gypsumwall/placement';
import type * as platform from '@gypsumwall/platform';
import type * as records from '@gypsumwall/records';
import * as types from '@gypsumwall/types';
import type * as schedulerOptions from './scheduler_options.js';
import * as taskTable from './task_table.js';

type JobState = records.jobFold.JobState;

/** The tasks of one epoch. */
export interface TaskTracker {
  readonly tasks: taskTable.TaskTable;
  jobOf(taskId: types.ids.TaskId): JobState | undefined;
  /** Whether two attempts of the task must not overlap. */
  mustRunOnce(taskId: types.ids.TaskId): boolean;
  /** Whether the task's job is open and still lacks the task's result. */
  isNeeded(taskId: types.ids.TaskId): boolean;
  /** Queues all tasks of a job that are neither active nor done. */
  enqueueJob(job: JobState): void;
  /** Removes the queued tasks of a closed job. */
  dropJob(job: JobState): void;
  /** Adds a task that a worker reported, and its resources. */
  track(
    task: Pick<platform.worker.RunningTask, 'taskId' | 'attempt' | 'size'>,
    workerId: types.ids.WorkerId,
    job: JobState,
    startedAt: types.clock.MonotonicMs,
  ): taskTable.ActiveTask;
  /** Frees a task's resources; queues it again if it is still needed. */
  release(
    task: taskTable.ActiveTask,
    report: placement.placer.AttemptReport,
  ): void;
  /** Number of the job's attempts that failed in this epoch. */
  failedAttempts(jobId: types.ids.JobId): number;
  /** Number of jobs from before this epoch that are held back. */
  gatedJobCount(): number;
  /** Queues the jobs that were held back. */
  releaseGatedJobs(): void;
}

/** Creates a tracker in which all open jobs are held back. */
export function createTaskTracker(
  options: Pick<schedulerOptions.DomainSchedulerOptions, 'placer' | 'jobs'>,
  onChange: () => void,
): TaskTracker {
  const {placer, jobs} = options;
  const tasks = taskTable.createTaskTable(
    (taskId) => types.ids.splitTaskId(taskId).jobId,
  );
  const gatedJobs = new Set<JobState>(jobs.openJobs());
  const failures = new Map<types.ids.JobId, number>();

  function jobOf(taskId: types.ids.TaskId): JobState | undefined {
    return jobs.job(types.ids.splitTaskId(taskId).jobId);
  }

  function isNeeded(taskId: types.ids.TaskId): boolean {
    const job = jobOf(taskId);
    if (job?.phase.type !== 'open') return false;
    const {index} = types.ids.splitTaskId(taskId);
    const count = types.job.maxTaskCount(job.spec.shape);
    return index < count && !job.results.has(index);
  }

  function indexesToQueue(job: JobState): number[] {
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
    if (job !== undefined && !gatedJobs.has(job) && isNeeded(task.taskId)) {
      enqueue(job, [types.ids.splitTaskId(task.taskId).index]);
    }
    onChange();
  }

  return {
    tasks,
    jobOf,
    isNeeded,
    release,
    mustRunOnce: (taskId) => jobOf(taskId)?.spec.shape.kind !== 'service',
    enqueueJob: (job) => enqueue(job, indexesToQueue(job)),
    dropJob: (job) => {
      placer.cancel(job.jobId);
      gatedJobs.delete(job);
      failures.delete(job.jobId);
    },
    track: ({taskId, attempt, size}, workerId, job, startedAt) => {
      const tracked: taskTable.ActiveTask = {
        taskId,
        attempt,
        workerId,
        size,
        phase: 'running',
        startedAt,
      };
      tasks.add(tracked);
      placer.adopt({taskId, spec: job.spec, workerId, size});
      return tracked;
    },
    failedAttempts: (jobId) => failures.get(jobId) ?? 0,
    gatedJobCount: () => gatedJobs.size,
    releaseGatedJobs: () => {
      const waiting = [...gatedJobs].filter((job) => job.phase.type === 'open');
      gatedJobs.clear();
      for (const job of waiting) enqueue(job, indexesToQueue(job));
    },
  };
}
