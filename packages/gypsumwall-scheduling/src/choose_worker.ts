/** Chooses the worker for one task among the eligible ones. */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as domainAffinity from './domain_affinity.js';
import type * as nearChoice from './near_choice.js';
import * as nearPlace from './near_place.js';
import * as speedFit from './speed_fit.js';
import * as stepAdvice from './step_advice.js';
import * as stepNeeds from './step_needs.js';
import type * as taskIsolation from './task_isolation.js';
import * as workerRegistry from './worker_registry.js';
import type * as workerSpeeds from './worker_speeds.js';
import type * as workerHealth from './worker_health.js';

/** Input of a choice. */
export interface ChoiceContext {
  readonly registry: workerRegistry.WorkerRegistry;
  readonly health: workerHealth.WorkerHealth;
  readonly now: types.clock.MonotonicMs;
  /** Whether a worker is reserved for work of higher rank. */
  readonly isReserved?: (worker: types.ids.WorkerId) => boolean;
  /** How fast the workers are; equally fast if absent. */
  readonly speeds?: workerSpeeds.WorkerSpeeds;
  /** Workers reserved for tasks that may crash them. */
  readonly isolation?: taskIsolation.TaskIsolation;
  /**
   * Number of tasks of a step that are placed on recorded workers now, and on
   * others; a gang is placed as a whole.
   */
  readonly maxTasks?: number;
  /** Whether a worker has crashed while it ran the task. */
  readonly isSuspected?: boolean;
  /** Chooses between far and near places; absent if the cell has no far ones. */
  readonly nearChoice?: nearChoice.NearChoice;
}

/**
 * Finds the workers that have capacity for a task of the step and may run it
 * now. Capacity is checked first: in a full cell it leaves few workers, and the
 * other checks are more expensive.
 */
export function findCandidates(
  stepRun: activeJob.StepRun,
  context: ChoiceContext,
): workerRegistry.RegisteredWorker[] {
  const size = stepNeeds.reservedSize(stepRun);
  const {advice, job} = stepRun;
  const needsAdvice = job.policy.advice !== undefined;
  const found: workerRegistry.RegisteredWorker[] = [];
  for (const worker of approvedWorkers(stepRun, context)) {
    const {id} = worker.info;
    if (!types.resources.fits(size, worker.free)) continue;
    if (context.isReserved?.(id) === true) continue;
    const ticket = needsAdvice && stepAdvice.ticketFor(advice, id, context.now);
    if (needsAdvice && ticket === undefined) continue;
    if (isAvailable(stepRun, worker, context)) found.push(worker);
  }
  return found;
}

/** Finds the workers that may run the step once they have free capacity. */
export function findAvailableWorkers(
  stepRun: activeJob.StepRun,
  context: ChoiceContext,
): workerRegistry.RegisteredWorker[] {
  const found: workerRegistry.RegisteredWorker[] = [];
  for (const worker of approvedWorkers(stepRun, context)) {
    if (isAvailable(stepRun, worker, context)) found.push(worker);
  }
  return found;
}

/**
 * The workers approved by the adviser, also with expired tickets; all workers
 * if the queue has no adviser.
 */
function* approvedWorkers(
  {advice, job}: activeJob.StepRun,
  {registry}: ChoiceContext,
): Iterable<workerRegistry.RegisteredWorker> {
  if (job.policy.advice === undefined) {
    yield* registry.workers.values();
    return;
  }
  for (const id of advice.approvals.keys()) {
    const worker = registry.workers.get(id);
    if (worker !== undefined) yield worker;
  }
}

/** Whether a worker may run the step once it has free capacity. */
export function isAvailable(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.RegisteredWorker,
  {health, now, isolation}: ChoiceContext,
): boolean {
  if (!workerRegistry.acceptsTasks(worker)) return false;
  if (isolation?.isClosedTo(stepRun, worker.info.id) === true) return false;
  if (!stepNeeds.isEligible(stepRun, worker)) return false;
  return health.trustOf(worker.info.id, now) !== 'avoided';
}

/**
 * Whether a worker is healthy and no task of the job has failed on it. A failed
 * task is tried on other workers first: on a worker that fails all its tasks,
 * every further attempt would use up one of the few that a job has.
 */
export function isTrusted(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.RegisteredWorker,
  context: ChoiceContext,
): boolean {
  const {id} = worker.info;
  if (stepRun.job.failedOn.has(id)) return false;
  return context.health.trustOf(id, context.now) === 'healthy';
}

/**
 * Chooses the best of the given workers with capacity for a task: trusted ones
 * first, then the rack near the data, then the failure domain of the job, then
 * for a suspected task workers without suspected tasks of other jobs, then the
 * speed that suits the step, and then the worker with the least free
 * processors, which leaves other workers free for large tasks.
 */
export function chooseWorker(
  stepRun: activeJob.StepRun,
  candidates: readonly workerRegistry.RegisteredWorker[],
  context: ChoiceContext,
): workerRegistry.RegisteredWorker | undefined {
  const size = stepNeeds.reservedSize(stepRun);
  const needed = speedFit.neededSpeed(stepRun, context.now);
  let best: workerRegistry.RegisteredWorker | undefined;
  let bestCost = Infinity;
  for (const worker of candidates) {
    if (!types.resources.fits(size, worker.free)) continue;
    if (stepNeeds.remainingSlots(stepRun, worker) < 1) continue;
    const cost = costOf(stepRun, worker, context, needed);
    if (cost >= bestCost) continue;
    best = worker;
    bestCost = cost;
  }
  return best;
}

/**
 * Costs of the criteria, each larger than those below it and than any
 * difference in free processors, in thousandths of a core.
 */
const UNTRUSTED_COST = 1e9;
const OTHER_RACK_COST = 1e8;
const OTHER_DOMAIN_COST = 1e7;
/**
 * A crash of a worker with two suspected tasks tells little about either of
 * them.
 */
const SUSPECTS_TOGETHER_COST = 1e6;

function costOf(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.RegisteredWorker,
  context: ChoiceContext,
  needed: number,
): number {
  const isFar = nearPlace.isFarFromData(stepRun.request, worker);
  const trusted = isTrusted(stepRun, worker, context);
  const {isSuspected = false, isolation, speeds} = context;
  const speed = speeds?.speedOf(worker.info.id) ?? 1;
  const isTogether =
    isSuspected && isolation?.hostsSuspect(stepRun, worker.info.id) === true;
  return (
    (trusted ? 0 : UNTRUSTED_COST) +
    (isFar ? OTHER_RACK_COST : 0) +
    (isTogether ? SUSPECTS_TOGETHER_COST : 0) +
    (domainAffinity.isOutsideHomeDomain(stepRun, worker)
      ? OTHER_DOMAIN_COST
      : 0) +
    speedFit.speedCost(speed, needed) +
    worker.free.cpuMillis
  );
}
