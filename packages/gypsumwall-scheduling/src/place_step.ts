/** Places the queued tasks of one step on workers. */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as stepNeeds from './step_needs.js';
import * as domainAffinity from './domain_affinity.js';
import * as gangFit from './gang_fit.js';
import * as placeIsolated from './place_isolated.js';
import * as placements from './placements.js';
import * as quotaGate from './quota_gate.js';
import * as speedFit from './speed_fit.js';
import type * as workerRegistry from './worker_registry.js';

/**
 * Whether the store has recorded that tasks of the job may run on the worker.
 */
export function isRecorded(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.RegisteredWorker,
): boolean {
  return stepRun.job.workers.get(worker.info.id) === 'recorded';
}

/** Places as many queued tasks of a step as fit now; all or none of a gang. */
export function placeStep(
  stepRun: activeJob.StepRun,
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  if (!placeIsolated.waitsForIsolation(stepRun)) {
    return placeTogether(stepRun, context);
  }
  if (stepRun.request.gang) return placeIsolatedGang(stepRun, context);
  const {isolated, others} = placeIsolated.splitWaiting(stepRun);
  stepRun.waitingIndexes = others;
  const first = placeTogether(stepRun, context);
  const placed = placeIsolated.placeIsolated(stepRun, isolated, context);
  placeIsolated.confirmIsolated(placed, context);
  reserveForIsolated(stepRun, isolated.length - placed.length, context);
  stepRun.waitingIndexes.push(...isolated.slice(placed.length));
  return [...first, ...placed];
}

/** Places a gang with members that need isolation. */
function placeIsolatedGang(
  stepRun: activeJob.StepRun,
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const {isolated, others} = placeIsolated.splitWaiting(stepRun);
  const first = placeIsolated.placeIsolated(stepRun, isolated, context);
  if (first.length === isolated.length) {
    const candidates = chooseWorker.findCandidates(stepRun, context);
    const rest = placeGang(stepRun, candidates, context, others);
    if (rest.length === others.length) {
      placeIsolated.confirmIsolated(first, context);
      stepRun.waitingIndexes = [];
      return [...first, ...rest];
    }
  }
  reserveForIsolated(stepRun, isolated.length - first.length, context);
  for (const placement of first)
    placements.release(placement, context.registry);
  return [];
}

/** Reserves workers for tasks that found no worker for an isolated start. */
function reserveForIsolated(
  stepRun: activeJob.StepRun,
  missing: number,
  context: chooseWorker.ChoiceContext,
): void {
  if (missing <= 0 || context.isolation === undefined) return;
  const available = chooseWorker.findAvailableWorkers(stepRun, context);
  context.isolation.reserveFor(stepRun, missing, available, context.now);
}

function placeTogether(
  stepRun: activeJob.StepRun,
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const candidates = chooseWorker.findCandidates(stepRun, context);
  domainAffinity.assignHomeDomain(stepRun, candidates);
  // Recorded workers first: tasks start there without waiting for the store.
  // Suspected tasks are excluded, because they would gather on these workers.
  const isSuspected = stepRun.crashes.size > 0;
  const recorded = candidates.filter(
    (worker) =>
      !isSuspected &&
      isRecorded(stepRun, worker) &&
      !domainAffinity.isOutsideHomeDomain(stepRun, worker) &&
      chooseWorker.isTrusted(stepRun, worker, context),
  );
  const place = stepRun.request.gang ? placeWholeGang : placeTasks;
  const first = recorded.length > 0 ? place(stepRun, recorded, context) : [];
  const isComplete = stepRun.waitingIndexes.length === 0;
  if (isComplete || first.length >= (context.maxTasks ?? Infinity))
    return first;
  // Most of these start only once their workers are recorded.
  return [...first, ...place(stepRun, candidates, context)];
}

function placeTasks(
  stepRun: activeJob.StepRun,
  candidates: readonly workerRegistry.RegisteredWorker[],
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const placed: placements.Placement[] = [];
  const {maxTasks = Infinity} = context;
  const {quotas} = context.registry;
  while (stepRun.waitingIndexes.length > 0 && placed.length < maxTasks) {
    if (quotaGate.startableTasks(stepRun, quotas) < 1) break;
    const index = stepRun.waitingIndexes.at(-1)!;
    const isSuspected = stepRun.crashes.has(index);
    const choice = isSuspected ? {...context, isSuspected} : context;
    const worker = chooseWorker.chooseWorker(stepRun, candidates, choice);
    if (worker === undefined) break;
    stepRun.waitingIndexes.pop();
    placed.push(placements.reserve(stepRun, index, worker, context.registry));
    markSuspect(stepRun, index, worker, context);
  }
  return placed;
}

function placeWholeGang(
  stepRun: activeJob.StepRun,
  candidates: readonly workerRegistry.RegisteredWorker[],
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const placed = placeGang(
    stepRun,
    candidates,
    context,
    stepRun.waitingIndexes,
  );
  if (placed.length > 0) stepRun.waitingIndexes = [];
  return placed;
}

/** Places all of these members or none. */
function placeGang(
  stepRun: activeJob.StepRun,
  candidates: readonly workerRegistry.RegisteredWorker[],
  context: chooseWorker.ChoiceContext,
  indexes: readonly number[],
): placements.Placement[] {
  const size = stepNeeds.reservedSize(stepRun);
  const {sameRack} = stepRun.request;
  const count = indexes.length;
  let total = 0;
  const fittingWorkers = candidates.map((worker) => {
    const fitting = types.resources.tasksThatFit(size, worker.free);
    const tasks = Math.min(fitting, stepNeeds.remainingSlots(stepRun, worker));
    total += tasks;
    return {worker, tasks, speed: context.speeds?.speedOf(worker.info.id)};
  });
  const {quotas} = context.registry;
  if (total < count || quotaGate.startableTasks(stepRun, quotas) < count)
    return [];
  const trusted = fittingWorkers.filter(({worker}) =>
    chooseWorker.isTrusted(stepRun, worker, context),
  );
  const inHomeDomain = trusted.filter(
    ({worker}) => !domainAffinity.isOutsideHomeDomain(stepRun, worker),
  );
  const isSuspected = stepRun.crashes.size > 0;
  const neededSpeed = speedFit.neededSpeed(stepRun, context.now);
  const layout = {sameRack, spread: isSuspected, neededSpeed};
  const choices = [inHomeDomain, trusted, fittingWorkers];
  if (isSuspected) {
    const isFreeOfOtherSuspects = ({worker}: gangFit.GangCandidate) =>
      !hostsSuspect(stepRun, worker, context);
    choices.unshift(inHomeDomain.filter(isFreeOfOtherSuspects));
  }
  const workers = firstFit(choices, count, layout);
  if (workers === undefined) return [];
  return indexes.map((index, nth) => {
    const worker = workers[nth]!;
    markSuspect(stepRun, index, worker, context);
    return placements.reserve(stepRun, index, worker, context.registry);
  });
}

/**
 * Returns workers for the gang from the first list of candidates that fits it.
 */
function firstFit(
  choices: readonly (readonly gangFit.GangCandidate[])[],
  count: number,
  layout: gangFit.GangLayout,
): workerRegistry.RegisteredWorker[] | undefined {
  for (const candidates of choices) {
    const workers = gangFit.fitGang(candidates, count, layout);
    if (workers !== undefined) return workers;
  }
  return undefined;
}

function hostsSuspect(
  stepRun: activeJob.StepRun,
  {info}: workerRegistry.RegisteredWorker,
  {isolation}: chooseWorker.ChoiceContext,
): boolean {
  return isolation?.hostsSuspect(stepRun, info.id) === true;
}

/**
 * Registers the placement of a suspected task, so that suspected tasks of other
 * jobs avoid the worker from now on.
 */
function markSuspect(
  stepRun: activeJob.StepRun,
  index: number,
  {info}: workerRegistry.RegisteredWorker,
  {isolation, now}: chooseWorker.ChoiceContext,
): void {
  if (!stepRun.crashes.has(index)) return;
  isolation?.onPlaced(stepRun, index, info.id, now);
}
