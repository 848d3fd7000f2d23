/** Chooses the worker for one task among those that may run it. */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as stepAdvice from './step_advice.js';
import type * as workerBook from './worker_book.js';
import type * as workerHealth from './worker_health.js';

/** What a choice looks at beside the books. */
export interface ChoiceContext {
  readonly book: workerBook.WorkerBook;
  readonly health: workerHealth.WorkerHealth;
  readonly now: types.clock.MonotonicMs;
}

/** Whether a step's tasks may run on a worker at all, room left aside. */
export function mayRunOn(
  stepRun: activeJob.StepRun,
  worker: workerBook.BookedWorker,
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
): workerBook.BookedWorker[] {
  const size = bookedSize(stepRun);
  const found: workerBook.BookedWorker[] = [];
  for (const worker of approvedWorkers(stepRun, context)) {
    if (!types.resources.fits(size, worker.free)) continue;
    if (!worker.usable || worker.info.draining) continue;
    if (!mayRunOn(stepRun, worker)) continue;
    const trust = context.health.trustOf(worker.info.id, context.now);
    if (trust === 'avoided') continue;
    found.push(worker);
  }
  return found;
}

function* approvedWorkers(
  {advice, job}: activeJob.StepRun,
  {book, now}: ChoiceContext,
): Iterable<workerBook.BookedWorker> {
  if (job.policy.advice === undefined) {
    yield* book.workers.values();
    return;
  }
  for (const id of advice.approvals.keys()) {
    const worker = book.workers.get(id);
    if (worker === undefined) continue;
    if (stepAdvice.ticketFor(advice, id, now) !== undefined) yield worker;
  }
}

/** How many more tasks of the step the worker may take. */
export function roomFor(
  stepRun: activeJob.StepRun,
  worker: workerBook.BookedWorker,
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
  worker: workerBook.BookedWorker,
  context: ChoiceContext,
): boolean {
  const {id} = worker.info;
  if (stepRun.job.failedOn.has(id)) return false;
  return context.health.trustOf(id, context.now) === 'sound';
}

/**
 * The best of the given workers with room for a task: sound before doubtful,
 * near the data before far, then the one that the task fills most, which
 * keeps other workers whole for large tasks.
 */
export function chooseWorker(
  stepRun: activeJob.StepRun,
  among: readonly workerBook.BookedWorker[],
  context: ChoiceContext,
): workerBook.BookedWorker | undefined {
  const size = bookedSize(stepRun);
  let best: workerBook.BookedWorker | undefined;
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

function costOf(
  stepRun: activeJob.StepRun,
  worker: workerBook.BookedWorker,
  context: ChoiceContext,
): number {
  const {preferredRack} = stepRun.request;
  const far = preferredRack !== undefined && preferredRack !== worker.info.rack;
  const trusted = isTrusted(stepRun, worker, context);
  return (
    (trusted ? 0 : DOUBTFUL_COST) + (far ? FAR_COST : 0) + worker.free.cpuMillis
  );
}
