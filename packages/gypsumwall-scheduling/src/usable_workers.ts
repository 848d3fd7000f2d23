/** Which workers a waiting step may use, before the adviser is asked. */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as jobOrder from './job_order.js';
import * as placeIsolated from './place_isolated.js';
import type * as taskIsolation from './task_isolation.js';
import type * as workerHealth from './worker_health.js';

/** State that decides on the use of workers. */
export interface UseContext {
  readonly health: workerHealth.WorkerHealth;
  readonly isolation: taskIsolation.TaskIsolation;
  /** Reserved workers and the gang for which each is reserved. */
  readonly reservations: ReadonlyMap<types.ids.WorkerId, activeJob.StepRun>;
  readonly now: types.clock.MonotonicMs;
}

/** Whether health, isolation and reservations allow a step to use a worker. */
export function canUse(
  stepRun: activeJob.StepRun,
  id: types.ids.WorkerId,
  {health, isolation, reservations, now}: UseContext,
): boolean {
  if (health.trustOf(id, now) === 'avoided') return false;
  if (!canHost(stepRun, id, isolation, now)) return false;
  const gang = reservations.get(id);
  return gang === undefined || !outranks(gang, stepRun);
}

/** Whether isolation allows a waiting task of the step to start on a worker. */
function canHost(
  stepRun: activeJob.StepRun,
  id: types.ids.WorkerId,
  isolation: taskIsolation.TaskIsolation,
  now: types.clock.MonotonicMs,
): boolean {
  if (isolation.isClosedTo(stepRun, id)) return false;
  if (!placeIsolated.waitsForIsolation(stepRun)) return true;
  if (placeIsolated.splitWaiting(stepRun).others.length > 0) return true;
  return isolation.canSoonStartIsolated(stepRun, id, now);
}

/** Whether a step had a higher rank than another one in the last cycle. */
function outranks(
  {rank}: activeJob.StepRun,
  other: activeJob.StepRun,
): boolean {
  if (rank === undefined || other.rank === undefined) return false;
  return jobOrder.compareRanked(rank, other.rank) < 0;
}
