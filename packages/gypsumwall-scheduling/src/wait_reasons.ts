/** Tells for a step that waits what stands against each worker. */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as placeIsolated from './place_isolated.js';
import * as stepAdvice from './step_advice.js';
import type * as workerRegistry from './worker_registry.js';

/** The first thing that keeps a step's next task off a worker. */
export type WaitReason =
  | 'unusable'
  | 'draining'
  /** Of another pool, or without the label that the step asks for. */
  | 'other_kind'
  /** The adviser has refused it. */
  | 'refused'
  /** As many of the step's tasks run there as may. */
  | 'at_limit'
  | 'no_room'
  | 'avoided'
  /** Its room is reserved for a gang. */
  | 'reserved'
  /** Tasks that may crash a worker are kept apart from other jobs. */
  | 'isolated'
  | 'not_asked'
  | 'ticket_over'
  | 'not_recorded'
  /** Nothing: the task could start. */
  | 'open';

/** How many workers each reason keeps the step off. */
export type WaitReasons = Partial<Record<WaitReason, number>>;

/** Counts the workers of a cell by what keeps a step off them. */
export function countReasons(
  stepRun: activeJob.StepRun,
  context: chooseWorker.ChoiceContext,
): WaitReasons {
  const counts: WaitReasons = {};
  for (const worker of context.book.workers.values()) {
    const reason = reasonOf(stepRun, worker, context);
    counts[reason] = (counts[reason] ?? 0) + 1;
  }
  return counts;
}

function reasonOf(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.BookedWorker,
  context: chooseWorker.ChoiceContext,
): WaitReason {
  const {id, draining} = worker.info;
  const {advice, job} = stepRun;
  const advised = job.policy.advice !== undefined;
  if (!worker.isUsable) return 'unusable';
  if (draining) return 'draining';
  if (!chooseWorker.mayRunOn(stepRun, worker)) return 'other_kind';
  if (advised && advice.refused.has(id)) return 'refused';
  if (chooseWorker.roomFor(stepRun, worker) < 1) return 'at_limit';
  const size = chooseWorker.bookedSize(stepRun);
  if (!types.resources.fits(size, worker.free)) return 'no_room';
  const trust = context.health.trustOf(id, context.now);
  if (trust === 'avoided') return 'avoided';
  if (context.isHeld?.(id) === true) return 'reserved';
  if (isKeptApart(stepRun, worker, context)) return 'isolated';
  if (advised && !advice.approvals.has(id)) return 'not_asked';
  const ticket = stepAdvice.ticketFor(advice, id, context.now);
  if (advised && ticket === undefined) return 'ticket_over';
  return job.workers.get(id) === 'recorded' ? 'open' : 'not_recorded';
}

function isKeptApart(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.BookedWorker,
  {isolation, now}: chooseWorker.ChoiceContext,
): boolean {
  if (isolation === undefined) return false;
  if (isolation.isClosedTo(stepRun, worker.info.id)) return true;
  if (!placeIsolated.waitsForIsolation(stepRun)) return false;
  return !isolation.isQuiet(stepRun, worker, now);
}
