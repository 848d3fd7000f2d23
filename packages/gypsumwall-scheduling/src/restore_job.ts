/** Creates the state of a job from its request and its stored progress. */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as finishedOccurrences from './finished_occurrences.js';
import * as jobProgress from './job_progress.js';
import * as jobRequest from './job_request.js';
import * as occurrenceWindow from './occurrence_window.js';

/** What is known of a job when it is added to a scheduler. */
export interface AddedJob {
  readonly id: types.ids.JobId;
  readonly organisation?: types.ids.OrganisationId;
  readonly request: jobRequest.JobRequest;
  readonly policy: jobRequest.QueuePolicy;
  readonly acceptedAt: types.clock.MonotonicMs;
  /** Whether an earlier scheduler may have started attempts of it. */
  readonly inherited: boolean;
  readonly progress: jobProgress.JobProgress;
}

/** The same with what the scheduler adds. */
export interface JobStart extends AddedJob {
  readonly arrival: number;
  readonly isExcess: boolean;
}

/** Creates the state of a job from its request and its stored progress. */
export function createJob(start: JobStart): activeJob.ActiveJob {
  if (jobRequest.isTooLarge(start.request)) return createHeldJob(start);
  const job = createUnopened(start, start.progress);
  restoreOccurrences(job, start.progress);
  return job;
}

/** Creates the state of a job that can't be scheduled. */
export function createHeldJob(start: JobStart): activeJob.ActiveJob {
  const {phase} = start.progress;
  const job = createUnopened(start, {...jobProgress.NO_PROGRESS, phase});
  return {...job, heldProgress: start.progress};
}

function createUnopened(
  {progress: _, inherited, ...rest}: JobStart,
  progress: jobProgress.JobProgress,
): activeJob.ActiveJob {
  return {
    ...rest,
    phase: progress.phase,
    isAwaitingReconciliation: inherited && progress.workers.length > 0,
    workers: new Map(progress.workers.map((id) => [id, 'recorded'])),
    failedOn: new Set(),
    unresolvedCrashes: new Map(
      progress.crashedWorkers?.map((worker) => [worker.id, worker]),
    ),
    openOccurrences: new Map(),
    finishedOccurrences:
      finishedOccurrences.createFinishedOccurrences(progress),
    nextOccurrence: 0,
    unopenedDue: 0,
    isSuspended: false,
  };
}

/**
 * Restores the open occurrences. Earlier builds opened all that were due: beyond
 * the window, those of which nothing is known open again in their turn.
 */
function restoreOccurrences(
  job: activeJob.ActiveJob,
  {occurrences}: jobProgress.JobProgress,
): void {
  const maxOpen = occurrenceWindow.maxOpen(job.request);
  for (const [number, steps] of Object.entries(occurrences)) {
    const isInWindow = job.openOccurrences.size < maxOpen;
    if (!isInWindow && !steps.some(hasProgress)) continue;
    const occurrence = activeJob.createOccurrence(
      job,
      Number(number),
      job.acceptedAt,
    );
    job.openOccurrences.set(occurrence.number, occurrence);
    steps.forEach((step, index) => restoreStep(occurrence.steps[index], step));
  }
}

function hasProgress({
  done,
  failures,
  crashes,
  presumedCrashes,
  suspects,
}: jobProgress.StepProgress): boolean {
  return (
    done.length > 0 ||
    Object.keys(failures).length > 0 ||
    crashes !== undefined ||
    presumedCrashes !== undefined ||
    suspects !== undefined
  );
}

function restoreStep(
  stepRun: activeJob.StepRun | undefined,
  progress: jobProgress.StepProgress,
): void {
  if (stepRun === undefined) return;
  if (progress.done === 'all') stepRun.state = 'done';
  else {
    const {taskCount} = stepRun.request;
    for (const index of progress.done)
      if (index < taskCount) stepRun.doneIndexes.add(index);
  }
  for (const [index, failedAttempts] of Object.entries(progress.failures)) {
    stepRun.failures.set(
      Number(index),
      new Map(failedAttempts.map((attempt) => [attempt, undefined])),
    );
  }
  for (const [index, workers] of Object.entries(progress.crashes ?? {})) {
    const crashes = new Map<
      types.ids.WorkerIncarnation,
      jobProgress.CrashRecord
    >();
    for (const [key, kind] of Object.entries(workers)) {
      const stored = progress.evidence?.[index]?.[key];
      const evidence = jobProgress.readEvidence(stored);
      crashes.set(types.ids.brand(key), {kind, evidence});
    }
    stepRun.crashes.set(Number(index), crashes);
  }
  for (const index of progress.presumedCrashes ?? [])
    stepRun.presumedCrashes.add(index);
  if (!stepRun.job.isAwaitingReconciliation) return;
  for (const [index, suspect] of Object.entries(progress.suspects ?? {}))
    stepRun.inheritedSuspects.set(Number(index), suspect);
}
