/**
 * Keeps a fault of this program at one job from stopping the others: the job is
 * suspended, and tried again after a pause. It isn't lost and doesn't fail. Its
 * running tasks go on. A scheduler that takes over tries it at once.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as jobRegistries from './job_registry.js';
import type * as schedulerTypes from './scheduler_types.js';

/** Pause after the first fault of a job, doubled at each further one. */
const FIRST_PAUSE_MS = 1_000;
const MAX_PAUSE_MS = 60_000;

/** The jobs whose scheduling has thrown. */
export interface JobFaults {
  /** Suspends a job whose scheduling has thrown. */
  record(
    job: activeJob.ActiveJob,
    thrown: unknown,
    now: types.clock.MonotonicMs,
  ): void;
  /** Resumes the jobs whose pauses are over. */
  resumeDue(now: types.clock.MonotonicMs): void;
}

interface Fault {
  readonly job: activeJob.ActiveJob;
  readonly pauseMs: number;
  readonly resumeAt: types.clock.MonotonicMs;
}

/** Creates the record of a scheduler. */
export function createJobFaults(
  jobRegistry: Pick<jobRegistries.JobRegistry, 'jobs' | 'suspend' | 'resume'>,
  onEvent: (event: schedulerTypes.SchedulerEvent) => void,
): JobFaults {
  const faults = new Map<types.ids.JobId, Fault>();

  function record(
    job: activeJob.ActiveJob,
    thrown: unknown,
    now: types.clock.MonotonicMs,
  ): void {
    const before = faults.get(job.id);
    const pauseMs =
      before === undefined
        ? FIRST_PAUSE_MS
        : Math.min(MAX_PAUSE_MS, before.pauseMs * 2);
    const resumeAt = types.clock.after(now, pauseMs);
    faults.set(job.id, {job, pauseMs, resumeAt});
    jobRegistry.suspend(job);
    onEvent({
      type: 'job_suspended',
      job: job.id,
      queue: job.policy.queue,
      error: types.stepError.messageOf(thrown),
      pauseMs,
    });
  }

  return {
    record,
    resumeDue(now) {
      for (const [id, {job, resumeAt}] of faults) {
        if (jobRegistry.jobs.get(id) !== job) faults.delete(id);
        else if (job.isSuspended && now >= resumeAt) {
          try {
            jobRegistry.resume(job);
          } catch (thrown) {
            record(job, thrown, now);
          }
        }
      }
    },
  };
}
