/** Rules on jobs that are shown as failed. */
import type * as history from '../model/history.js';
import type * as jobCatalog from '../model/job_catalog.js';
import * as configTimes from './config_times.js';
import type * as finding from './finding.js';
import type * as taskAttempts from './task_attempts.js';

/** A task under which this many workers have crashed may be given up. */
const MIN_CRASHES_TO_GIVE_UP = 2;

interface FailedJob {
  readonly job: jobCatalog.JobSpec;
  /** When it was shown as failed for the first time. */
  readonly shownAt: number;
}

/**
 * Finds jobs that are shown as failed at any time although no task of theirs
 * had failed as often as its queue allows, and no two workers had crashed under
 * one task. Only what happened on the workers counts, whether it was
 * acknowledged or not.
 */
export function findBaselessFailures(
  events: readonly history.HistoryEvent[],
  attempts: taskAttempts.TaskAttempts,
): finding.Finding[] {
  const configs = configTimes.listConfigs(events);
  const crashKeys = listCrashKeys(events);

  /** The lowest limit of any configuration until then. */
  function maxAttemptsOf({job, shownAt}: FailedJob): number {
    const limits = configTimes
      .configsBetween(configs, 0, shownAt)
      .flatMap(({queues}) => queues.filter(({name}) => name === job.queue))
      .map(({maxAttempts}) => maxAttempts);
    return Math.min(Infinity, ...limits);
  }

  function hasCause(failed: FailedJob): boolean {
    const {job, shownAt} = failed;
    const maxAttempts = maxAttemptsOf(failed);
    return job.steps.some(({taskCount, gang, lasting}, step) => {
      const attemptsByTask = Array.from({length: taskCount}, (_, index) =>
        (attempts.get(`${job.jobId}.0.${step}.${index}`) ?? []).filter(
          ({endedAt}) => endedAt <= shownAt,
        ),
      );
      const counted = gang ? [attemptsByTask.flat()] : attemptsByTask;
      return (
        (!lasting &&
          counted.some((some) => countFailures(some) >= maxAttempts)) ||
        attemptsByTask.some(
          (some) => countCrashes(some, crashKeys) >= MIN_CRASHES_TO_GIVE_UP,
        )
      );
    });
  }

  return listFailedJobs(events)
    .filter((failed) => !hasCause(failed))
    .map(({job: {jobId}}) => ({
      promise: 'jobs fail only for a cause' as const,
      detail: `${jobId}: shown as failed, and no task had failed too often or crashed ${MIN_CRASHES_TO_GIVE_UP} workers`,
    }));
}

/** Counts failed attempts; the members of a gang share their numbers. */
function countFailures(attempts: readonly taskAttempts.TaskAttempt[]): number {
  const failed = attempts.filter(({how}) => how === 'failed');
  return new Set(failed.map(({attempt}) => attempt)).size;
}

/** Counts the crashes of workers on which one of these attempts ran. */
function countCrashes(
  attempts: readonly taskAttempts.TaskAttempt[],
  crashKeys: ReadonlySet<string>,
): number {
  const keys = attempts
    .filter(({how}) => how === 'lost')
    .map(({workerId, endedAt}) => crashKey(workerId, endedAt));
  return new Set(keys.filter((key) => crashKeys.has(key))).size;
}

function listCrashKeys(
  events: readonly history.HistoryEvent[],
): ReadonlySet<string> {
  return new Set(
    events
      .filter((event) => event.type === 'worker_crashed')
      .map(({workerId, at}) => crashKey(workerId, at)),
  );
}

/** Identifies a crash: several lives of a worker may have the same id. */
function crashKey(workerId: string, at: number): string {
  return `${workerId}@${at}`;
}

function listFailedJobs(
  events: readonly history.HistoryEvent[],
): readonly FailedJob[] {
  const jobs = new Map<string, jobCatalog.JobSpec>();
  const failedJobs = new Map<string, FailedJob>();
  for (const event of events) {
    if (event.type === 'job_sent') jobs.set(event.job.jobId, event.job);
    if (event.type !== 'state_shown' || event.state !== 'failed') continue;
    const job = jobs.get(event.jobId);
    if (job === undefined || failedJobs.has(job.jobId)) continue;
    failedJobs.set(job.jobId, {job, shownAt: event.at});
  }
  return [...failedJobs.values()];
}
