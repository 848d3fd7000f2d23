/**
 * Finds jobs that keep failing. A job with a failed task avoids the worker
 * where it failed. A job is abandoned if it fails on several workers without a
 * success, or if one of its tasks does. Failures on a single worker may be the
 * worker's fault and aren't enough to abandon the job.
 */
import type * as types from '@gypsumwall/types';

/** A job is abandoned after failures on this many distinct workers. */
const MAX_FAILED_WORKERS = 3;
/**
 * A job is abandoned when one of its tasks has failed this often, even on fewer
 * workers. Failures of several tasks aren't added up, since a job may have six
 * tasks on one faulty worker at once.
 */
const MAX_FAILURES_PER_TASK = 6;
/** Only failing jobs are stored. Above this number the oldest is removed. */
const MAX_JOBS = 10_000;
const MAX_TASKS_PER_JOB = 100;

/** The failures of the jobs of a failure domain. */
export interface JobFailures {
  /** Returns why the job must be abandoned; undefined if it may go on. */
  recordFailure(
    jobId: types.ids.JobId,
    index: number,
    workerId: types.ids.WorkerId,
    message: string,
  ): string | undefined;
  recordSuccess(jobId: types.ids.JobId, index: number): void;
  removeJob(jobId: types.ids.JobId): void;
  /** Workers where tasks of the job failed that haven't succeeded since. */
  workersToAvoid(
    jobId: types.ids.JobId,
  ): ReadonlySet<types.ids.WorkerId> | undefined;
}

interface Failures {
  count: number;
  readonly workers: Set<types.ids.WorkerId>;
}

interface FailingJob extends Failures {
  /**
   * The workers where its failing tasks failed. A success of another task
   * doesn't remove them, since the failing task might be placed there again.
   */
  readonly avoid: Set<types.ids.WorkerId>;
  readonly tasks: Map<number, Failures>;
}

export function createJobFailures(): JobFailures {
  const jobs = new Map<types.ids.JobId, FailingJob>();

  function jobOf(jobId: types.ids.JobId): FailingJob {
    const existing = jobs.get(jobId);
    if (existing !== undefined) return existing;
    if (jobs.size >= MAX_JOBS) deleteOldest(jobs);
    const created = {
      count: 0,
      workers: new Set<never>(),
      avoid: new Set<never>(),
      tasks: new Map(),
    };
    jobs.set(jobId, created);
    return created;
  }

  function taskOf(job: FailingJob, index: number): Failures {
    const existing = job.tasks.get(index);
    if (existing !== undefined) return existing;
    if (job.tasks.size >= MAX_TASKS_PER_JOB) deleteOldest(job.tasks);
    const created = {count: 0, workers: new Set<never>()};
    job.tasks.set(index, created);
    return created;
  }

  return {
    recordFailure(jobId, index, workerId, message) {
      const job = jobOf(jobId);
      const task = taskOf(job, index);
      for (const failures of [job, task]) {
        failures.count += 1;
        failures.workers.add(workerId);
      }
      job.avoid.add(workerId);
      const isTaskAtLimit =
        failedOnMaxWorkers(task) || task.count >= MAX_FAILURES_PER_TASK;
      const worst = isTaskAtLimit ? task : job;
      if (!isTaskAtLimit && !failedOnMaxWorkers(job)) return undefined;
      const subject = worst === task ? `task ${index}` : 'the job';
      const workerNames = [...worst.workers].join(', ');
      return `${subject} failed ${worst.count} times without a success, on ${workerNames}; the last: ${message}`;
    },
    recordSuccess(jobId, index) {
      const job = jobs.get(jobId);
      if (job === undefined) return;
      job.tasks.delete(index);
      job.count = 0;
      job.workers.clear();
      job.avoid.clear();
      for (const task of job.tasks.values()) {
        for (const workerId of task.workers) job.avoid.add(workerId);
      }
      if (job.tasks.size === 0) jobs.delete(jobId);
    },
    removeJob: (jobId) => void jobs.delete(jobId),
    workersToAvoid(jobId) {
      const avoid = jobs.get(jobId)?.avoid;
      return avoid === undefined || avoid.size === 0 ? undefined : avoid;
    },
  };
}

function failedOnMaxWorkers(failures: Failures): boolean {
  return failures.workers.size >= MAX_FAILED_WORKERS;
}

function deleteOldest<Key>(map: Map<Key, unknown>): void {
  const first = map.keys().next();
  if (first.done !== true) map.delete(first.value);
}
