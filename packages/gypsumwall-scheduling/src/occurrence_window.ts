/**
 * Decides how many occurrences of a job are open at a time. All of them may be
 * due at once, in a schedule that is handed in late or that has no interval, and
 * the state of each takes memory and a share of every scheduling cycle. Those
 * beyond the window stay numbers and open in order as others start or end.
 */
import type * as activeJob from './active_job.js';
import type * as jobRequest from './job_request.js';

/** Tasks whose state takes about as much memory as that of one step. */
const TASKS_PER_STEP_COST = 50;
/** Cost of the open occurrences of a job that wait for workers. */
const MAX_WAITING_COST = 64;
/** Cost of all open occurrences of a job. */
const MAX_OPEN_COST = 4_096;
/** The same for all jobs together that have occurrences to open. */
export const MAX_TOTAL_COST = 8_192;

/** The part of an active job that the window depends on. */
export type WindowedJob = Pick<
  activeJob.ActiveJob,
  'request' | 'openOccurrences'
>;

/** Cost of one occurrence: the steps, and their tasks in the same unit. */
export function costOf({steps}: jobRequest.JobRequest): number {
  let tasks = 0;
  for (const {taskCount} of steps) tasks += taskCount;
  return steps.length + Math.floor(tasks / TASKS_PER_STEP_COST);
}

/** Number of occurrences of a job that may be open at a time. */
export function maxOpen(request: jobRequest.JobRequest): number {
  return Math.max(1, Math.floor(MAX_OPEN_COST / costOf(request)));
}

/** Cost of the open occurrences of a job. */
export function openCost({request, openOccurrences}: WindowedJob): number {
  return openOccurrences.size * costOf(request);
}

/**
 * Number of further occurrences that may open, while all jobs may open this
 * much more. A job without an open occurrence may always open one. One whose
 * occurrences all run may open another beyond the limit of all jobs: those of
 * other jobs that wait for workers must not keep a job from free ones.
 */
export function roomFor(job: WindowedJob, totalCostLeft: number): number {
  const {request, openOccurrences} = job;
  const cost = costOf(request);
  let waiting = 0;
  for (const occurrence of openOccurrences.values())
    if (isWaiting(occurrence)) waiting++;
  const ownRoom = MAX_OPEN_COST - openOccurrences.size * cost;
  const room = Math.min(
    MAX_WAITING_COST - waiting * cost,
    ownRoom,
    totalCostLeft,
  );
  const isNextAllowed =
    openOccurrences.size === 0 ||
    (waiting === 0 && ownRoom >= cost && totalCostLeft > -MAX_TOTAL_COST);
  return Math.max(isNextAllowed ? 1 : 0, Math.floor(room / cost));
}

/** Whether tasks of an occurrence are queued, or none of its tasks runs. */
function isWaiting({steps}: activeJob.Occurrence): boolean {
  let isRunning = false;
  for (const {waitingIndexes, attempts} of steps) {
    if (waitingIndexes.length > 0) return true;
    if (attempts.size > 0) isRunning = true;
  }
  return !isRunning;
}
