/** Makes the orders of a cycle's placements. */
import type * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import type * as placements from './placements.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as stepAdvice from './step_advice.js';
import * as taskIds from './task_id.js';

/** Numbers the attempts: one for each task, one for a gang as a whole. */
export function numberAttempts(
  placed: readonly placements.Placement[],
  attemptBase: number,
): void {
  const gangs = new Set<activeJob.StepRun>();
  for (const {stepRun, index} of placed) {
    if (stepRun.request.gang && gangs.has(stepRun)) continue;
    gangs.add(stepRun);
    const key = activeJob.countKey(stepRun, index);
    const highest = stepRun.highestAttempts.get(key) ?? 0;
    const next = Math.max(attemptBase, highest) + 1;
    stepRun.highestAttempts.set(key, next);
  }
}

/** The order of a task whose attempt has its number. */
export function startOrder(
  {stepRun, index, worker}: placements.Placement,
  now: types.clock.MonotonicMs,
): schedulerTypes.StartOrder {
  const key = activeJob.countKey(stepRun, index);
  const run: activeJob.Attempt = {
    taskId: taskIds.taskId(stepRun.id, index),
    number: stepRun.highestAttempts.get(key)!,
    workerId: worker.info.id,
    task: {stepRun, index},
    size: chooseWorker.bookedSize(stepRun),
    stepRunId: stepRun.id,
    phase: 'starting',
    percent: 0,
    percentChangedAt: now,
  };
  return {
    attempt: run,
    payload: stepRun.job.request.payload,
    checkpoint: stepRun.saved.get(key),
    ticket: stepAdvice.ticketFor(stepRun.advice, worker.info.id, now),
  };
}
