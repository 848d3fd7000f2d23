/** Chooses the worker for one task among those that may run it. */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as domainAffinity from './domain_affinity.js';
import * as stepAdvice from './step_advice.js';
import type * as taskIsolation from './task_isolation.js';
import type * as workerRegistry from './worker_registry.js';
import type * as workerHealth from './worker_health.js';

/** What a choice looks at beside the books. */
export interface ChoiceContext {
  readonly book: workerRegistry.WorkerRegistry;
  readonly health: workerHealth.WorkerHealth;
  readonly now: types.clock.MonotonicMs;
  /** Whether a worker's room is kept for work of higher rank. */
  readonly isHeld?: (worker: types.ids.WorkerId) => boolean;
  /** Workers that are kept for tasks which may crash them. */
  readonly isolation?: taskIsolation.TaskIsolation;
  /** A worker has crashed under the task that is placed. */
  readonly isSuspected?: boolean;
}

/** Whether a step's tasks may run on a worker at all, room left aside. */
export function mayRunOn(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.BookedWorker,
): boolean {
  const {info} = worker;
  const {request} = stepRun;
  if (info.pool !== stepRun.job.policy.pool) return false;
  const label = request.requiredLabel;
  return label === undefined || info.labels.includes(label);
}

/** What a task takes from a worker's books. */
export function bookedSize(
  stepRun: activeJob.StepRun,
): types.resources.Resources {
  const {size, usesSpareCpu} = stepRun.request;
  return usesSpareCpu ? {...size, cpuMillis: 0} : size;
}

/**
 * The workers that have room for a task of the step and may run it now. Room
 * is looked at first: in a full cell that leaves few workers, and the other
 * questions cost more.
 */
export function candidates(
  stepRun: activeJob.StepRun,
  context: ChoiceContext,
): workerRegistry.BookedWorker[] {
  const size = bookedSize(stepRun);
  const {advice, job} = stepRun;
  const advised = job.policy.advice !== undefined;
  const found: workerRegistry.BookedWorker[] = [];
  for (const worker of approvedWorkers(stepRun, context)) {
    const {id} = worker.info;
    if (!types.resources.fits(size, worker.free)) continue;
    if (context.isHeld?.(id) === true) continue;
    const ticket = advised && stepAdvice.ticketFor(advice, id, context.now);
    if (advised && ticket === undefined) continue;
    if (isOpen(stepRun, worker, context)) found.push(worker);
  }
  return found;
}

/** The workers that may run the step once they have room. */
export function mayEverRun(
  stepRun: activeJob.StepRun,
  context: ChoiceContext,
): workerRegistry.BookedWorker[] {
  const found: workerRegistry.BookedWorker[] = [];
  for (const worker of approvedWorkers(stepRun, context)) {
    if (isOpen(stepRun, worker, context)) found.push(worker);
  }
  return found;
}

/** Approved by the adviser, where there is one; tickets may have ended. */
function* approvedWorkers(
  {advice, job}: activeJob.StepRun,
  {book}: ChoiceContext,
): Iterable<workerRegistry.BookedWorker> {
  if (job.policy.advice === undefined) {
    yield* book.workers.values();
    return;
  }
  for (const id of advice.approvals.keys()) {
    const worker = book.workers.get(id);
    if (worker !== undefined) yield worker;
  }
}

function isOpen(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.BookedWorker,
  {health, now, isolation}: ChoiceContext,
): boolean {
  if (!worker.isUsable || worker.info.draining) return false;
  if (isolation?.isClosedTo(stepRun, worker.info.id) === true) return false;
  if (!mayRunOn(stepRun, worker)) return false;
  return health.trustOf(worker.info.id, now) !== 'avoided';
}

/** How many more tasks of the step the worker may take. */
export function roomFor(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.BookedWorker,
): number {
  const most = stepRun.request.maxPerWorker ?? Infinity;
  return most - (worker.perStep.get(stepRun.id) ?? 0);
}

/**
 * Whether nothing speaks against a worker for this step. A task that failed is
 * tried elsewhere first: on a worker that fails all it starts, every further
 * try would use up one of the few that a job has.
 */
export function isTrusted(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.BookedWorker,
  context: ChoiceContext,
): boolean {
  const {id} = worker.info;
  if (stepRun.job.failedOn.has(id)) return false;
  return context.health.trustOf(id, context.now) === 'sound';
}

/**
 * The best of the given workers with room for a task: sound before doubtful,
 * near the data before far, in the job's failure domain before others, then
 * the one that the task fills most, which keeps other workers whole for large
 * tasks.
 */
export function chooseWorker(
  stepRun: activeJob.StepRun,
  among: readonly workerRegistry.BookedWorker[],
  context: ChoiceContext,
): workerRegistry.BookedWorker | undefined {
  const size = bookedSize(stepRun);
  let best: workerRegistry.BookedWorker | undefined;
  let bestCost = Infinity;
  for (const worker of among) {
    if (!types.resources.fits(size, worker.free)) continue;
    if (roomFor(stepRun, worker) < 1) continue;
    const cost = costOf(stepRun, worker, context);
    if (cost >= bestCost) continue;
    best = worker;
    bestCost = cost;
  }
  return best;
}

/** Larger than any difference in free processors, in thousandths of a core. */
const DOUBTFUL_COST = 1e9;
const FAR_COST = 1e8;
const AWAY_COST = 1e7;
/** A crash under two tasks that may be at fault tells little about either. */
const SUSPECTS_TOGETHER_COST = 1e6;

function costOf(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.BookedWorker,
  context: ChoiceContext,
): number {
  const {preferredRack} = stepRun.request;
  const far = preferredRack !== undefined && preferredRack !== worker.info.rack;
  const trusted = isTrusted(stepRun, worker, context);
  const {isSuspected = false, isolation} = context;
  const together =
    isSuspected && isolation?.hostsSuspect(stepRun, worker.info.id) === true;
  return (
    (trusted ? 0 : DOUBTFUL_COST) +
    (far ? FAR_COST : 0) +
    (together ? SUSPECTS_TOGETHER_COST : 0) +
    (domainAffinity.isAway(stepRun, worker) ? AWAY_COST : 0) +
    worker.free.cpuMillis
  );
}
