/**
 * Detects workers on which no attempt makes progress although they answer.
 * Progress is reported in whole percent, so a healthy task of 16 s shows
 * progress at least every 160 ms; a task that resumes from saved progress or
 * waits for its gang shows none for a second.
 */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';

/**
 * No healthy task was observed without progress for this long; milliseconds.
 */
export const STALLED_AFTER_MS = 2_000;
/** Progress of a task that has finished its own work. */
const DONE_PERCENT = 100;

/** The stalled attempts of one worker. */
export interface Stall {
  readonly attempts: activeJob.Attempt[];
  /**
   * Whether the worker is at fault. If one member of a gang stalls, all members
   * do, so a stalled member does not show that its own worker is at fault.
   */
  readonly blamesWorker: boolean;
}

/**
 * Whether an attempt waits at 100 for the other members of its gang, which
 * takes seconds if its worker is faster than theirs and says nothing about
 * either. When such members counted as stalled, every third gang was stopped
 * and restarted just before its end on a day without faults. A member that
 * really stalls is detected by the members that stop before 100.
 */
function waitsForGang({task, percent}: activeJob.Attempt): boolean {
  return task?.stepRun.request.gang === true && percent >= DONE_PERCENT;
}

/**
 * Returns the stalled attempts of a worker if none of its attempts makes
 * progress; otherwise undefined.
 */
export function findStall(
  attempts: ReadonlySet<activeJob.Attempt>,
  now: types.clock.MonotonicMs,
): Stall | undefined {
  const stalled: activeJob.Attempt[] = [];
  for (const attempt of attempts) {
    if (attempt.task?.stepRun.request.longRunning === true) continue;
    if (attempt.phase !== 'running' || waitsForGang(attempt)) continue;
    if (now - attempt.percentChangedAt < STALLED_AFTER_MS) return undefined;
    stalled.push(attempt);
  }
  if (stalled.length === 0) return undefined;
  const blamesWorker = stalled.some(
    (attempt) => attempt.task?.stepRun.request.gang === false,
  );
  return {attempts: stalled, blamesWorker};
}
