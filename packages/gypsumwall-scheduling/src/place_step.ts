/** Places the queued tasks of one step on workers. */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as domainAffinity from './domain_affinity.js';
import * as placeIsolated from './place_isolated.js';
import * as placeNear from './place_near.js';
import * as placeTasks from './place_tasks.js';
import * as placements from './placements.js';

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
  types.lists.append(stepRun.waitingIndexes, isolated.slice(placed.length));
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
    const rest = placeTasks.placeGang(stepRun, candidates, context, others);
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
  if (placeNear.choosesPlace(stepRun, context))
    return placeNear.placeNear(stepRun, candidates, context);
  // Recorded workers first: tasks start there without waiting for the store.
  // Suspected tasks are excluded, because they would gather on these workers.
  const isSuspected = stepRun.crashes.size > 0;
  const recorded = candidates.filter(
    (worker) =>
      !isSuspected &&
      placeTasks.isRecorded(stepRun, worker) &&
      !domainAffinity.isOutsideHomeDomain(stepRun, worker) &&
      chooseWorker.isTrusted(stepRun, worker, context),
  );
  const place = stepRun.request.gang
    ? placeTasks.placeWholeGang
    : placeTasks.placeTasks;
  const first = recorded.length > 0 ? place(stepRun, recorded, context) : [];
  const isComplete = stepRun.waitingIndexes.length === 0;
  if (isComplete || first.length >= (context.maxTasks ?? Infinity))
    return first;
  // Most of these start only once their workers are recorded.
  return [...first, ...place(stepRun, candidates, context)];
}
