/** Places tasks that may crash their workers, isolated from other jobs. */
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as crashRecords from './crash_records.js';
import * as placements from './placements.js';
import * as quotaGate from './quota_gate.js';
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
 * The placements close their workers to other jobs once `confirmIsolated` is
 * called.
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
    if (quotaGate.startableTasks(stepRun, registry.quotas) < 1) break;
    const worker = chooseIsolationWorker(stepRun, suitable, placed, context);
    if (worker === undefined) break;
    placed.push(placements.reserve(stepRun, index, worker, registry));
  }
  return placed;
}

/** Closes the workers of placements to other jobs. */
export function confirmIsolated(
  placed: readonly placements.Placement[],
  {isolation, now}: chooseWorker.ChoiceContext,
): void {
  for (const {stepRun, index, worker} of placed)
    isolation?.onPlaced(stepRun, index, worker.info.id, now);
}

/**
 * Chooses a worker that is reserved for the job or runs an isolated task of it,
 * then an idle worker, then any other.
 */
function chooseIsolationWorker(
  stepRun: activeJob.StepRun,
  suitable: readonly workerRegistry.RegisteredWorker[],
  placed: readonly placements.Placement[],
  context: chooseWorker.ChoiceContext,
): workerRegistry.RegisteredWorker | undefined {
  const {isolation} = context;
  const chosen = new Set(placed.map(({worker}) => worker));
  const ownWorkers = suitable.filter(
    (worker) =>
      chosen.has(worker) ||
      isolation?.isHeldFor(stepRun, worker.info.id) === true,
  );
  const idle = suitable.filter(({tasksByStep}) => tasksByStep.size === 0);
  for (const candidates of [ownWorkers, idle, suitable]) {
    const worker = chooseWorker.chooseWorker(stepRun, candidates, context);
    if (worker !== undefined) return worker;
  }
  return undefined;
}
