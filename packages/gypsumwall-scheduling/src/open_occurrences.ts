/** Opens the occurrences and the steps of a job that are due. */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as finishedOccurrences from './finished_occurrences.js';
import * as jobRequest from './job_request.js';
import * as jobSteps from './job_steps.js';
import * as occurrenceWindow from './occurrence_window.js';

/** How many occurrences may open. */
export interface OpeningLimits {
  /** What all jobs may open together, as `occurrenceWindow.costOf` has it. */
  readonly costLeft: number;
  /** Whether progress with ranges of finished occurrences may be stored. */
  readonly canStoreRanges: boolean;
}

/**
 * Opens the occurrences that are due, as far as the window of the job allows,
 * and the steps whose predecessors are done; returns these steps.
 */
export function openDue(
  job: activeJob.ActiveJob,
  now: types.clock.MonotonicMs,
  wall: types.clock.WallMs,
  limits: OpeningLimits,
): activeJob.StepRun[] {
  openOccurrences(job, now, wall, limits);
  const known = job.finishedOccurrences.size() + job.openOccurrences.size;
  job.unopenedDue = Math.max(0, countDue(job.request, wall) - known);
  const opened: activeJob.StepRun[] = [];
  for (const occurrence of job.openOccurrences.values())
    openSteps(occurrence, opened);
  return opened;
}

function openOccurrences(
  job: activeJob.ActiveJob,
  now: types.clock.MonotonicMs,
  wall: types.clock.WallMs,
  {costLeft, canStoreRanges}: OpeningLimits,
): void {
  const {finishedOccurrences: finished} = job;
  // A longer list would fill the record, and some entry doesn't read ranges.
  const {MAX_STORED_LIST} = finishedOccurrences;
  if (!canStoreRanges && finished.size() >= MAX_STORED_LIST) return;
  let room: number | undefined;
  for (;;) {
    const number = nextOccurrence(job);
    const latenessMs = latenessMsOf(job.request, number, wall);
    if (latenessMs === undefined || latenessMs < 0) return;
    room ??= occurrenceWindow.roomFor(job, costLeft);
    if (room-- <= 0) return;
    openOccurrence(job, number, now, latenessMs);
  }
}

/** Number of the next occurrence that is neither open nor done. */
function nextOccurrence(job: activeJob.ActiveJob): number {
  let number = job.nextOccurrence;
  for (;;) {
    const next = job.finishedOccurrences.nextOpen(number);
    if (!job.openOccurrences.has(next)) {
      job.nextOccurrence = next;
      return next;
    }
    number = next + 1;
  }
}

function openOccurrence(
  job: activeJob.ActiveJob,
  number: number,
  now: types.clock.MonotonicMs,
  latenessMs: number,
): activeJob.Occurrence {
  const objectiveStartsAt =
    job.request.schedule === undefined
      ? job.acceptedAt
      : types.clock.after(now, -latenessMs);
  const occurrence = activeJob.createOccurrence(job, number, objectiveStartsAt);
  job.openOccurrences.set(number, occurrence);
  return occurrence;
}

/**
 * Opens an occurrence that is not in the window because a worker reports a task
 * of it, which an earlier scheduler has started; undefined if there is no such
 * occurrence or it is done.
 */
export function openReported(
  job: activeJob.ActiveJob,
  number: number,
  now: types.clock.MonotonicMs,
  wall: types.clock.WallMs,
): activeJob.Occurrence | undefined {
  const latenessMs = latenessMsOf(job.request, number, wall);
  if (latenessMs === undefined || job.heldProgress !== undefined)
    return undefined;
  if (job.finishedOccurrences.has(number)) return undefined;
  return openOccurrence(job, number, now, latenessMs);
}

/** Number of occurrences that are due, whether or not they are done. */
function countDue(
  request: jobRequest.JobRequest,
  wall: types.clock.WallMs,
): number {
  const total = jobRequest.occurrencesOf(request);
  const {schedule} = request;
  if (schedule === undefined) return total;
  const sinceFirstMs = wall - schedule.firstAt;
  if (sinceFirstMs < 0) return 0;
  // Without an interval all are due with the first one.
  const {intervalMs} = schedule;
  return intervalMs > 0
    ? Math.min(total, Math.floor(sinceFirstMs / intervalMs) + 1)
    : total;
}

/** Time since an occurrence is due; undefined if there is none of the number. */
function latenessMsOf(
  request: jobRequest.JobRequest,
  number: number,
  wall: types.clock.WallMs,
): number | undefined {
  const isKnown = number >= 0 && number < jobRequest.occurrencesOf(request);
  if (!isKnown) return undefined;
  const {schedule} = request;
  if (schedule === undefined) return 0;
  return wall - (schedule.firstAt + number * schedule.intervalMs);
}

function openSteps(
  occurrence: activeJob.Occurrence,
  opened: activeJob.StepRun[],
): void {
  for (const stepRun of occurrence.steps) {
    if (stepRun.state !== 'closed') continue;
    const isReady = stepRun.request.after.every(
      (earlier) => occurrence.steps[earlier]?.state === 'done',
    );
    if (!isReady) continue;
    stepRun.state = 'open';
    stepRun.waitingIndexes = jobSteps.startableIndexes(stepRun);
    opened.push(stepRun);
  }
}
