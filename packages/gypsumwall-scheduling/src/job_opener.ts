/**
 * Adds jobs to a scheduler and opens their occurrences in turn, so that all jobs
 * together keep to a limit and a fault at one of them stops no other.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as jobFaults from './job_faults.js';
import type * as jobRegistries from './job_registry.js';
import * as jobRequest from './job_request.js';
import type * as openOccurrences from './open_occurrences.js';
import * as occurrenceWindow from './occurrence_window.js';
import * as restoreJob from './restore_job.js';
import type * as schedulerTypes from './scheduler_types.js';

/** Dependencies of a job opener. */
export interface JobOpenerParts {
  readonly jobRegistry: Pick<
    jobRegistries.JobRegistry,
    'jobsToOpen' | 'openDue'
  >;
  readonly faults: Pick<jobFaults.JobFaults, 'record'>;
  /** See `SchedulerOptions`. */
  readonly canStoreRanges: () => boolean;
  readonly onEvent: (event: schedulerTypes.SchedulerEvent) => void;
}

/** Opens the jobs of a scheduler. */
export interface JobOpener {
  /** Creates a job, which is held if it can't be scheduled. */
  create(start: restoreJob.JobStart): activeJob.ActiveJob;
  /** Opens one occurrence of a job; a cycle opens more, as far as there is room. */
  openFirst(
    job: activeJob.ActiveJob,
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
  ): void;
  /** Opens what is due of all jobs. */
  openDue(now: types.clock.MonotonicMs, wall: types.clock.WallMs): void;
}

/** Creates the opener of a scheduler. */
export function createJobOpener({
  jobRegistry,
  faults,
  canStoreRanges,
  onEvent,
}: JobOpenerParts): JobOpener {
  const {jobsToOpen} = jobRegistry;

  /** Returns what opening the job has cost. */
  function open(
    job: activeJob.ActiveJob,
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
    limits: openOccurrences.OpeningLimits,
  ): number {
    const before = occurrenceWindow.openCost(job);
    try {
      jobRegistry.openDue(job, now, wall, limits);
    } catch (thrown) {
      faults.record(job, thrown, now);
    }
    return occurrenceWindow.openCost(job) - before;
  }

  return {
    create(start) {
      let error: string | undefined;
      let job: activeJob.ActiveJob;
      try {
        job = restoreJob.createJob(start);
      } catch (thrown) {
        error = types.stepError.messageOf(thrown);
        job = restoreJob.createHeldJob(start);
      }
      if (job.heldProgress === undefined) return job;
      const {id, request, policy} = job;
      const {queue} = policy;
      const steps = request.steps.length;
      onEvent({type: 'job_held', job: id, queue, steps, error});
      return job;
    },
    openFirst(job, now, wall) {
      open(job, now, wall, {costLeft: 0, canStoreRanges: canStoreRanges()});
    },
    openDue(now, wall) {
      if (jobsToOpen.size === 0) return;
      const ranges = canStoreRanges();
      let costLeft = occurrenceWindow.MAX_TOTAL_COST;
      for (const job of jobsToOpen) {
        // It is added again when it is resumed.
        if (job.isSuspended) jobsToOpen.delete(job);
        else costLeft -= occurrenceWindow.openCost(job);
      }
      for (const job of jobsToOpen) {
        const limits = {costLeft, canStoreRanges: ranges};
        costLeft -= open(job, now, wall, limits);
        const {finishedOccurrences: finished, request} = job;
        // Only jobs with occurrences to come are checked again.
        const known = finished.size() + job.openOccurrences.size;
        if (known >= jobRequest.occurrencesOf(request)) jobsToOpen.delete(job);
      }
    },
  };
}
