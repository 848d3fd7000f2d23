/** Places tasks of one step on the workers given, and reserves the capacity. */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as stepNeeds from './step_needs.js';
import * as domainAffinity from './domain_affinity.js';
import * as gangFit from './gang_fit.js';
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

/** Places as many queued tasks as fit, each on the best of the workers. */
export function placeTasks(
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

/** Places all queued members of a gang or none. */
export function placeWholeGang(
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
export function placeGang(
  stepRun: activeJob.StepRun,
  candidates: readonly workerRegistry.RegisteredWorker[],
  context: chooseWorker.ChoiceContext,
  indexes: readonly number[],
): placements.Placement[] {
  const {length} = indexes;
  const workers = chooseGangWorkers(stepRun, candidates, context, length);
  if (workers === undefined) return [];
  return reserveGang(stepRun, indexes, workers, context);
}

/** Reserves capacity for these members, each on the worker at its position. */
export function reserveGang(
  stepRun: activeJob.StepRun,
  indexes: readonly number[],
  workers: readonly workerRegistry.RegisteredWorker[],
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  return indexes.map((index, nth) => {
    const worker = workers[nth]!;
    markSuspect(stepRun, index, worker, context);
    return placements.reserve(stepRun, index, worker, context.registry);
  });
}

/** Chooses workers for this many members; undefined if not all of them fit. */
export function chooseGangWorkers(
  stepRun: activeJob.StepRun,
  candidates: readonly workerRegistry.RegisteredWorker[],
  context: chooseWorker.ChoiceContext,
  count: number,
): workerRegistry.RegisteredWorker[] | undefined {
  const fittingWorkers = fitOf(stepRun, candidates, context, count);
  if (fittingWorkers === undefined) return undefined;
  const {trusted, inHomeDomain} = trustedOf(stepRun, fittingWorkers, context);
  const isSuspected = stepRun.crashes.size > 0;
  const layout = layoutOf(stepRun, context);
  const choices = [inHomeDomain, trusted, fittingWorkers];
  if (isSuspected) {
    const isFreeOfOtherSuspects = ({worker}: gangFit.GangCandidate) =>
      !hostsSuspect(stepRun, worker, context);
    choices.unshift(inHomeDomain.filter(isFreeOfOtherSuspects));
  }
  return firstFit(choices, (one) => gangFit.fitGang(one, count, layout));
}

/** The same among trusted workers, in one rack if the gang needs one. */
export function chooseNearGangWorkers(
  stepRun: activeJob.StepRun,
  candidates: readonly workerRegistry.RegisteredWorker[],
  context: chooseWorker.ChoiceContext,
  count: number,
): workerRegistry.RegisteredWorker[] | undefined {
  const fittingWorkers = fitOf(stepRun, candidates, context, count);
  if (fittingWorkers === undefined) return undefined;
  const {trusted, inHomeDomain} = trustedOf(stepRun, fittingWorkers, context);
  const layout = layoutOf(stepRun, context);
  const fit = layout.sameRack ? gangFit.fitInRack : gangFit.fitGang;
  return firstFit([inHomeDomain, trusted], (one) => fit(one, count, layout));
}

function layoutOf(
  stepRun: activeJob.StepRun,
  {speeds, now}: chooseWorker.ChoiceContext,
): gangFit.GangLayout {
  return {
    sameRack: stepRun.request.sameRack,
    spread: stepRun.crashes.size > 0,
    speedOf: speeds && ((id: types.ids.WorkerId) => speeds.speedOf(id)),
    neededSpeed: speedFit.neededSpeed(stepRun, now),
  };
}

/**
 * How many members fit on each worker; undefined if they or the quota don't
 * suffice for all.
 */
function fitOf(
  stepRun: activeJob.StepRun,
  candidates: readonly workerRegistry.RegisteredWorker[],
  {registry}: chooseWorker.ChoiceContext,
  count: number,
): gangFit.GangCandidate[] | undefined {
  const size = stepNeeds.reservedSize(stepRun);
  let total = 0;
  const fittingWorkers = candidates.map((worker) => {
    const fitting = types.resources.tasksThatFit(size, worker.free);
    const tasks = Math.min(fitting, stepNeeds.remainingSlots(stepRun, worker));
    total += tasks;
    return {worker, tasks};
  });
  if (total < count) return undefined;
  const startable = quotaGate.startableTasks(stepRun, registry.quotas);
  return startable < count ? undefined : fittingWorkers;
}

function trustedOf(
  stepRun: activeJob.StepRun,
  fittingWorkers: readonly gangFit.GangCandidate[],
  context: chooseWorker.ChoiceContext,
): {
  readonly trusted: gangFit.GangCandidate[];
  readonly inHomeDomain: gangFit.GangCandidate[];
} {
  const trusted = fittingWorkers.filter(({worker}) =>
    chooseWorker.isTrusted(stepRun, worker, context),
  );
  const inHomeDomain = trusted.filter(
    ({worker}) => !domainAffinity.isOutsideHomeDomain(stepRun, worker),
  );
  return {trusted, inHomeDomain};
}

/** Returns workers from the first list of candidates that fits the gang. */
function firstFit(
  choices: readonly (readonly gangFit.GangCandidate[])[],
  fit: (
    candidates: readonly gangFit.GangCandidate[],
  ) => workerRegistry.RegisteredWorker[] | undefined,
): workerRegistry.RegisteredWorker[] | undefined {
  for (const candidates of choices) {
    const workers = fit(candidates);
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
