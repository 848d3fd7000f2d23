/** Finds workers for the tasks of one step that wait. */
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as domainAffinity from './domain_affinity.js';
import * as gangFit from './gang_fit.js';
import * as placeIsolated from './place_isolated.js';
import * as placements from './placements.js';
import type * as workerRegistry from './worker_registry.js';

/** Whether the store knows that tasks of the job may be on the worker. */
export function isRecorded(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.BookedWorker,
): boolean {
  return stepRun.job.workers.get(worker.info.id) === 'recorded';
}

/** Places as much of a step as has room now; of a gang all or none. */
export function placeStep(
  stepRun: activeJob.StepRun,
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  if (!placeIsolated.waitsForIsolation(stepRun)) {
    return placeTogether(stepRun, context);
  }
  if (stepRun.request.gang) return placeGangApart(stepRun, context);
  const {apart, others} = placeIsolated.splitWaiting(stepRun);
  stepRun.waitingIndexes = others;
  const first = placeTogether(stepRun, context);
  const placed = placeIsolated.placeIsolated(stepRun, apart, context);
  stepRun.waitingIndexes.push(...apart.slice(placed.length));
  return [...first, ...placed];
}

/** A gang of which some members have to be apart from other jobs. */
function placeGangApart(
  stepRun: activeJob.StepRun,
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const {apart, others} = placeIsolated.splitWaiting(stepRun);
  const first = placeIsolated.placeIsolated(stepRun, apart, context);
  if (first.length === apart.length) {
    const among = chooseWorker.candidates(stepRun, context);
    const rest = placeGang(stepRun, among, context, others);
    if (rest.length === others.length) {
      stepRun.waitingIndexes = [];
      return [...first, ...rest];
    }
  }
  for (const placement of first) placements.unbook(placement, context.book);
  return [];
}

function placeTogether(
  stepRun: activeJob.StepRun,
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const among = chooseWorker.candidates(stepRun, context);
  domainAffinity.settle(stepRun, among);
  // Recorded workers first: what starts there needs no word from the store.
  // Suspects would gather on them.
  const isSuspected = stepRun.crashes.size > 0;
  const recorded = among.filter(
    (worker) =>
      !isSuspected &&
      isRecorded(stepRun, worker) &&
      !domainAffinity.isAway(stepRun, worker) &&
      chooseWorker.isTrusted(stepRun, worker, context),
  );
  const place = stepRun.request.gang ? placeWholeGang : placeTasks;
  const first = recorded.length > 0 ? place(stepRun, recorded, context) : [];
  if (stepRun.waitingIndexes.length === 0) return first;
  return [...first, ...place(stepRun, among, context)];
}

function placeTasks(
  stepRun: activeJob.StepRun,
  among: readonly workerRegistry.BookedWorker[],
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const placed: placements.Placement[] = [];
  while (stepRun.waitingIndexes.length > 0) {
    const index = stepRun.waitingIndexes.at(-1)!;
    const isSuspected = stepRun.crashes.has(index);
    const choice = isSuspected ? {...context, isSuspected} : context;
    const worker = chooseWorker.chooseWorker(stepRun, among, choice);
    if (worker === undefined) break;
    stepRun.waitingIndexes.pop();
    placed.push(placements.take(stepRun, index, worker, context.book));
    noteSuspect(stepRun, index, worker, context);
  }
  return placed;
}

function placeWholeGang(
  stepRun: activeJob.StepRun,
  among: readonly workerRegistry.BookedWorker[],
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const placed = placeGang(stepRun, among, context, stepRun.waitingIndexes);
  if (placed.length > 0) stepRun.waitingIndexes = [];
  return placed;
}

/** Places all of the members or none. */
function placeGang(
  stepRun: activeJob.StepRun,
  among: readonly workerRegistry.BookedWorker[],
  context: chooseWorker.ChoiceContext,
  indexes: readonly number[],
): placements.Placement[] {
  const size = chooseWorker.bookedSize(stepRun);
  const {sameRack} = stepRun.request;
  const count = indexes.length;
  let total = 0;
  const rooms = among.map((worker) => {
    const fitting = gangFit.tasksThatFit(size, worker.free);
    const tasks = Math.min(fitting, chooseWorker.roomFor(stepRun, worker));
    total += tasks;
    return {worker, tasks};
  });
  if (total < count) return [];
  const trusted = rooms.filter(({worker}) =>
    chooseWorker.isTrusted(stepRun, worker, context),
  );
  const atHome = trusted.filter(
    ({worker}) => !domainAffinity.isAway(stepRun, worker),
  );
  const isSuspected = stepRun.crashes.size > 0;
  const layout = {sameRack, spread: isSuspected};
  const choices = [atHome, trusted, rooms];
  if (isSuspected) {
    const isUnshared = ({worker}: gangFit.GangRoom) =>
      !hostsSuspect(stepRun, worker, context);
    choices.unshift(atHome.filter(isUnshared));
  }
  const workers = firstFit(choices, count, layout);
  if (workers === undefined) return [];
  return indexes.map((index, nth) => {
    const worker = workers[nth]!;
    noteSuspect(stepRun, index, worker, context);
    return placements.take(stepRun, index, worker, context.book);
  });
}

/** Workers for the gang among the first rooms that hold it. */
function firstFit(
  choices: readonly (readonly gangFit.GangRoom[])[],
  count: number,
  layout: gangFit.GangLayout,
): workerRegistry.BookedWorker[] | undefined {
  for (const rooms of choices) {
    const workers = gangFit.fitGang(rooms, count, layout);
    if (workers !== undefined) return workers;
  }
  return undefined;
}

function hostsSuspect(
  stepRun: activeJob.StepRun,
  {info}: workerRegistry.BookedWorker,
  {isolation}: chooseWorker.ChoiceContext,
): boolean {
  return isolation?.hostsSuspect(stepRun, info.id) === true;
}

/** Others that may crash their workers are kept off from now on. */
function noteSuspect(
  stepRun: activeJob.StepRun,
  index: number,
  {info}: workerRegistry.BookedWorker,
  {isolation, now}: chooseWorker.ChoiceContext,
): void {
  if (!stepRun.crashes.has(index)) return;
  isolation?.notePlaced(stepRun, index, info.id, now);
}
