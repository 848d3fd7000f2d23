/** Creates the start orders for the placements of a cycle. */
import type * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as placements from './placements.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as stepAdvice from './step_advice.js';
import * as taskIds from './task_id.js';

/**
 * Assigns the attempt numbers: one for each task, one for a gang as a whole.
 */
export function numberAttempts(
  placed: readonly placements.Placement[],
  attemptBase: number,
): void {
  const gangs = new Set<activeJob.StepRun>();
  for (const {stepRun, index} of placed) {
    if (stepRun.request.gang && gangs.has(stepRun)) continue;
    gangs.add(stepRun);
    const key = activeJob.counterKey(stepRun, index);
    const highest = stepRun.highestAttempts.get(key) ?? 0;
    const next = Math.max(attemptBase, highest) + 1;
    stepRun.highestAttempts.set(key, next);
  }
}

/** Creates the start order of a task whose attempt number was assigned. */
export function createStartOrder(
  {stepRun, index, worker}: placements.Placement,
  now: types.clock.MonotonicMs,
): schedulerTypes.StartOrder {
  const key = activeJob.counterKey(stepRun, index);
  const attempt: activeJob.Attempt = {
    taskId: taskIds.taskId(stepRun.id, index),
    number: stepRun.highestAttempts.get(key)!,
    workerId: worker.info.id,
    task: {stepRun, index},
    ...placements.reservationOf(stepRun),
    phase: 'starting',
    percent: 0,
    percentChangedAt: now,
  };
  return {
    attempt,
    payload: stepRun.job.request.payload,
    checkpoint: stepRun.checkpoints.get(key),
    ticket: stepAdvice.ticketFor(stepRun.advice, worker.info.id, now),
  };
}
