/**
 * Queues the tasks of a step, and applies the end of an attempt to the task, the
 * step, the occurrence and the job.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as jobProgress from './job_progress.js';
import * as jobRequest from './job_request.js';

/** How an attempt has ended, as reported by the worker. */
export type AttemptOutcome =
  | 'done'
  /** It failed, through its own fault or that of the worker. */
  | 'failed'
  /** It was stopped by an order of the scheduler. */
  | 'stopped'
  /** Its lease expired, or its worker left. */
  | 'lapsed'
  /** Another member of its gang had ended. */
  | 'broken'
  /** The other members of its gang did not start. */
  | 'alone';

/**
 * Indexes of tasks that are not done and have no attempt; none for a gang while
 * an attempt of a member is left.
 */
export function startableIndexes(stepRun: activeJob.StepRun): number[] {
  const {gang, taskCount} = stepRun.request;
  if (gang && stepRun.attempts.size > 0) return [];
  const running = new Set<number | undefined>();
  for (const attempt of stepRun.attempts) running.add(attempt.task?.index);
  const indexes: number[] = [];
  // Tasks are taken from the end of the list, so the first index starts first.
  for (let index = taskCount - 1; index >= 0; index--) {
    if (!stepRun.doneIndexes.has(index) && !running.has(index))
      indexes.push(index);
  }
  return indexes;
}

/** Queues the tasks of an open step that neither run nor are done. */
export function restoreWaiting(stepRun: activeJob.StepRun): void {
  if (stepRun.state === 'open')
    stepRun.waitingIndexes = startableIndexes(stepRun);
}

/** Marks a task, or a gang as a whole, as done. */
export function markDone(stepRun: activeJob.StepRun, index: number): void {
  if (stepRun.state === 'done') return;
  if (stepRun.request.gang) {
    stepRun.waitingIndexes = [];
    stepRun.state = 'done';
  } else {
    stepRun.doneIndexes.add(index);
    removeWaiting(stepRun, index);
    if (stepRun.doneIndexes.size < stepRun.request.taskCount) return;
    stepRun.state = 'done';
  }
  finishOccurrence(stepRun.occurrence, stepRun.job);
}

/** Removes a task that may be queued; the last ones are the first to start. */
export function removeWaiting(stepRun: activeJob.StepRun, index: number): void {
  const {waitingIndexes} = stepRun;
  const position = waitingIndexes.lastIndexOf(index);
  if (position >= 0) waitingIndexes.splice(position, 1);
}

function finishOccurrence(
  occurrence: activeJob.Occurrence,
  job: activeJob.ActiveJob,
): void {
  if (!occurrence.steps.every((step) => step.state === 'done')) return;
  job.openOccurrences.delete(occurrence.number);
  job.finishedOccurrences.add(occurrence.number);
  const isLast =
    job.finishedOccurrences.size() === jobRequest.occurrencesOf(job.request);
  if (isLast && !jobProgress.isOver(job.phase)) job.phase = 'completed';
}

/**
 * Records a failed attempt once, however often the worker reports it; returns
 * whether the task has used up its attempts.
 */
export function recordFailure(
  stepRun: activeJob.StepRun,
  index: number,
  attemptNumber: number,
  worker: types.ids.WorkerId,
): boolean {
  const key = activeJob.counterKey(stepRun, index);
  const failed =
    stepRun.failures.get(key) ??
    new Map<number, types.ids.WorkerId | undefined>();
  stepRun.failures.set(key, failed.set(attemptNumber, worker));
  if (stepRun.request.longRunning) return false;
  return failed.size >= stepRun.job.policy.maxFailures;
}

/** Lists the failed attempts of a task for the log, as `attempt@worker`. */
export function describeFailures(
  stepRun: activeJob.StepRun,
  index: number,
): string {
  const failed = stepRun.failures.get(activeJob.counterKey(stepRun, index));
  return [...(failed ?? [])]
    .map(([attempt, worker]) => `${attempt}@${worker ?? 'restored'}`)
    .join(',');
}

/** Queues a task again, or a gang once all its attempts have ended. */
export function requeue(stepRun: activeJob.StepRun, index: number): void {
  if (stepRun.state !== 'open' || jobProgress.isOver(stepRun.job.phase)) return;
  if (stepRun.request.gang) {
    if (stepRun.attempts.size > 0 || stepRun.waitingIndexes.length > 0) return;
    stepRun.waitingIndexes = startableIndexes(stepRun);
    return;
  }
  if (stepRun.doneIndexes.has(index) || stepRun.waitingIndexes.includes(index))
    return;
  for (const attempt of stepRun.attempts)
    if (attempt.task?.index === index) return;
  stepRun.waitingIndexes.push(index);
}
