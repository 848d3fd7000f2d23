/** Determines, for a waiting step, why it cannot start on each worker. */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as stepNeeds from './step_needs.js';
import * as placeIsolated from './place_isolated.js';
import * as stepAdvice from './step_advice.js';
import type * as workerRegistry from './worker_registry.js';

/** The first reason why the next task of a step cannot start on a worker. */
export type WaitReason =
  | 'unusable'
  | 'draining'
  /** Its list entry has expired, so its capacity isn't known. */
  | 'outdated'
  /** In another pool, or without the label that the step requires. */
  | 'other_kind'
  /** Refused by the adviser. */
  | 'refused'
  /** Runs the maximum number of tasks of the step already. */
  | 'at_limit'
  | 'no_room'
  | 'avoided'
  /** Reserved for a gang. */
  | 'reserved'
  /**
   * Closed to the step by a task of another job that needs isolation, or not
   * suitable for the isolated start of a task of this step.
   */
  | 'isolated'
  | 'not_asked'
  | 'ticket_over'
  | 'not_recorded'
  /** No reason: the task could start. */
  | 'open';

/** Number of workers for each reason. */
export type WaitReasons = Partial<Record<WaitReason, number>>;

/**
 * Counts the workers of a cell by the reason why a step cannot start on them.
 */
export function countReasons(
  stepRun: activeJob.StepRun,
  context: chooseWorker.ChoiceContext,
): WaitReasons {
  const counts: WaitReasons = {};
  for (const worker of context.registry.workers.values()) {
    const reason = reasonOf(stepRun, worker, context);
    counts[reason] = (counts[reason] ?? 0) + 1;
  }
  return counts;
}

function reasonOf(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.RegisteredWorker,
  context: chooseWorker.ChoiceContext,
): WaitReason {
  const {id, draining} = worker.info;
  const {advice, job} = stepRun;
  const needsAdvice = job.policy.advice !== undefined;
  if (!worker.isUsable) return 'unusable';
  if (draining) return 'draining';
  if (!worker.isCurrent) return 'outdated';
  if (!stepNeeds.isEligible(stepRun, worker)) return 'other_kind';
  if (needsAdvice && advice.refused.has(id)) return 'refused';
  if (stepNeeds.remainingSlots(stepRun, worker) < 1) return 'at_limit';
  const size = stepNeeds.reservedSize(stepRun);
  if (!types.resources.fits(size, worker.free)) return 'no_room';
  const trust = context.health.trustOf(id, context.now);
  if (trust === 'avoided') return 'avoided';
  if (context.isReserved?.(id) === true) return 'reserved';
  if (isClosedByIsolation(stepRun, worker, context)) return 'isolated';
  if (needsAdvice && !advice.approvals.has(id)) return 'not_asked';
  const ticket = stepAdvice.ticketFor(advice, id, context.now);
  if (needsAdvice && ticket === undefined) return 'ticket_over';
  return job.workers.get(id) === 'recorded' ? 'open' : 'not_recorded';
}

function isClosedByIsolation(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.RegisteredWorker,
  {isolation, now}: chooseWorker.ChoiceContext,
): boolean {
  if (isolation === undefined) return false;
  if (isolation.isClosedTo(stepRun, worker.info.id)) return true;
  if (!placeIsolated.waitsForIsolation(stepRun)) return false;
  return !isolation.canStartIsolated(stepRun, worker, now);
}
