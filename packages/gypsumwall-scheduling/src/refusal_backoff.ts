/**
 * Backoff for the starts of a step that workers refuse one after the other. A
 * refused start has not run, so the number of tries is not limited: a worker
 * that accepts it may join at any time. Without a pause, each refusal would be
 * followed by the next start at once.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';

/** Why a worker refused a start. */
export type RefusalReason =
  'bad_ticket' | 'superseded' | 'no_room' | 'unhealthy' | 'other';

/** Number of refusals that are followed by another start without a pause. */
const REFUSALS_WITHOUT_PAUSE = 4;
const FIRST_PAUSE_MS = 25;
const MAX_PAUSE_MS = 5_000;

/** Records that a start of the step was refused. */
export function recordRefusal(
  stepRun: activeJob.StepRun,
  reason: RefusalReason,
  now: types.clock.MonotonicMs,
): void {
  switch (reason) {
    case 'bad_ticket':
    case 'no_room':
    case 'unhealthy':
      // Tickets and workers have their own backoff.
      return;
    case 'superseded':
    case 'other':
      break;
  }
  // Starts that were sent together are refused together and count once.
  if (isPaused(stepRun, now)) return;
  stepRun.refusals++;
  const refusalsBeyond = stepRun.refusals - REFUSALS_WITHOUT_PAUSE;
  if (refusalsBeyond <= 0) return;
  const pauseMs = FIRST_PAUSE_MS * 2 ** (refusalsBeyond - 1);
  const spanMs = Math.min(MAX_PAUSE_MS, pauseMs);
  stepRun.backoffUntil = types.clock.after(now, spanMs);
}

/** Ends the backoff, because a worker has accepted a start of the step. */
export function resetRefusals(stepRun: activeJob.StepRun): void {
  stepRun.refusals = 0;
  stepRun.backoffUntil = undefined;
}

/** Whether starts of the step are paused. */
export function isPaused(
  {backoffUntil}: activeJob.StepRun,
  now: types.clock.MonotonicMs,
): boolean {
  return backoffUntil !== undefined && now < backoffUntil;
}
