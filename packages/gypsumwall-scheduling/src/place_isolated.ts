/** Places tasks that may crash their workers, isolated from other jobs. */
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as crashRecords from './crash_records.js';
import * as placements from './placements.js';
import type * as workerRegistry from './worker_registry.js';

/** Whether a queued task of a step needs isolation. */
export function waitsForIsolation(stepRun: activeJob.StepRun): boolean {
  if (stepRun.crashes.size === 0) return false;
  return stepRun.waitingIndexes.some((index) =>
    crashRecords.needsIsolation(stepRun, index),
  );
}

/** Splits the queued tasks by whether they need isolation. */
export function splitWaiting(stepRun: activeJob.StepRun): {
  readonly isolated: number[];
  readonly others: number[];
} {
  const isolated: number[] = [];
  const others: number[] = [];
  for (const index of stepRun.waitingIndexes) {
    const needsIsolation = crashRecords.needsIsolation(stepRun, index);
    (needsIsolation ? isolated : others).push(index);
  }
  return {isolated, others};
}

/**
 * Places as many of the tasks, in their order, as there are suitable workers.
 * For the remaining ones workers are reserved.
 */
export function placeIsolated(
  stepRun: activeJob.StepRun,
  indexes: readonly number[],
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const {isolation, registry, now} = context;
  if (isolation === undefined) return [];
  const suitable = chooseWorker
    .findCandidates(stepRun, context)
    .filter((worker) => isolation.canStartIsolated(stepRun, worker, now));
  const placed: placements.Placement[] = [];
  for (const index of indexes) {
    const worker = chooseIsolationWorker(stepRun, suitable, context);
    if (worker === undefined) break;
    isolation.onPlaced(stepRun, index, worker.info.id, now);
    placed.push(placements.reserve(stepRun, index, worker, registry));
  }
  const missing = indexes.length - placed.length;
  if (missing > 0) isolation.reserveFor(stepRun, missing, context);
  return placed;
}

/**
 * Chooses a worker that is reserved for the job or runs an isolated task of it,
 * then an idle worker, then any other.
 */
function chooseIsolationWorker(
  stepRun: activeJob.StepRun,
  suitable: readonly workerRegistry.RegisteredWorker[],
  context: chooseWorker.ChoiceContext,
): workerRegistry.RegisteredWorker | undefined {
  const {isolation} = context;
  const ownWorkers = suitable.filter(
    ({info}) => isolation?.isHeldFor(stepRun, info.id) === true,
  );
  const idle = suitable.filter(({tasksByStep}) => tasksByStep.size === 0);
  for (const candidates of [ownWorkers, idle, suitable]) {
    const worker = chooseWorker.chooseWorker(stepRun, candidates, context);
    if (worker !== undefined) return worker;
  }
  return undefined;
}
