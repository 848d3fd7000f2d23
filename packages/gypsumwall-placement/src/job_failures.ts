/**
 * Finds jobs that can never run well. A task that fails on one worker is kept
 * off that worker; a job that fails on distinct workers without a success, or
 * whose one task does, is given up with the reason. Failures on one worker
 * alone may be the worker's fault and don't condemn the job.
 */
import type * as types from '@gypsumwall/types';

/** Give up after failures on this many distinct workers. */
const MAX_FAILED_WORKERS = 3;
/**
 * Give up when one task fails this often, even where there are fewer workers.
 * Failures of several tasks don't add up: a job of many tasks may have six of
 * them on one bad worker at once.
 */
const MAX_FAILURES_PER_TASK = 6;
/** Only failing jobs are remembered; the oldest is forgotten beyond this. */
const MAX_JOBS = 10_000;
const MAX_TASKS_PER_JOB = 100;

/** Remembers the failures of jobs. */
export interface JobFailures {
  /** Returns why the job is to be given up; undefined while it isn't. */
  recordFailure(
    jobId: types.ids.JobId,
    index: number,
    workerId: types.ids.WorkerId,
    message: string,
  ): string | undefined;
  recordSuccess(jobId: types.ids.JobId, index: number): void;
  removeJob(jobId: types.ids.JobId): void;
  /** Workers on which tasks failed that haven't succeeded since. */
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
   * Where its failing tasks failed. A success of another task doesn't clear
   * it: the task would go back to the worker that fails it.
   */
  readonly avoid: Set<types.ids.WorkerId>;
  readonly tasks: Map<number, Failures>;
}

/** Creates an empty record. */
export function createJobFailures(): JobFailures {
  const jobs = new Map<types.ids.JobId, FailingJob>();

  function jobOf(jobId: types.ids.JobId): FailingJob {
    const known = jobs.get(jobId);
    if (known !== undefined) return known;
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
    const known = job.tasks.get(index);
    if (known !== undefined) return known;
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
      const what = worst === task ? `task ${index}` : 'the job';
      const where = [...worst.workers].join(', ');
      return `${what} failed ${worst.count} times without a success, on ${where}; the last: ${message}`;
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
