/** Places tasks that may crash their workers, apart from other jobs. */
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as crashRecords from './crash_records.js';
import * as placements from './placements.js';
import type * as workerRegistry from './worker_registry.js';

/** Whether tasks of a step wait that have to be apart. */
export function waitsForIsolation(stepRun: activeJob.StepRun): boolean {
  if (stepRun.crashes.size === 0) return false;
  return stepRun.waitingIndexes.some((index) =>
    crashRecords.needsIsolation(stepRun, index),
  );
}

/** The tasks that wait, by whether they have to be apart. */
export function splitWaiting(stepRun: activeJob.StepRun): {
  readonly apart: number[];
  readonly others: number[];
} {
  const apart: number[] = [];
  const others: number[] = [];
  for (const index of stepRun.waitingIndexes) {
    const isApart = crashRecords.needsIsolation(stepRun, index);
    (isApart ? apart : others).push(index);
  }
  return {apart, others};
}

/**
 * Places as many of the tasks as there are quiet workers for, the first ones
 * first. For the others workers are emptied.
 */
export function placeIsolated(
  stepRun: activeJob.StepRun,
  indexes: readonly number[],
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const {isolation, book, now} = context;
  if (isolation === undefined) return [];
  const quiet = chooseWorker
    .candidates(stepRun, context)
    .filter((worker) => isolation.isQuiet(stepRun, worker, now));
  const placed: placements.Placement[] = [];
  for (const index of indexes) {
    const worker = chooseQuiet(stepRun, quiet, context);
    if (worker === undefined) break;
    isolation.notePlaced(stepRun, index, worker.info.id, now);
    placed.push(placements.take(stepRun, index, worker, book));
  }
  const missing = indexes.length - placed.length;
  if (missing > 0) isolation.reserveFor(stepRun, missing, context);
  return placed;
}

/** Where the job's own tasks are, then an empty worker, then any other. */
function chooseQuiet(
  stepRun: activeJob.StepRun,
  quiet: readonly workerRegistry.BookedWorker[],
  context: chooseWorker.ChoiceContext,
): workerRegistry.BookedWorker | undefined {
  const {isolation} = context;
  const own = quiet.filter(
    ({info}) => isolation?.isKeptFor(stepRun, info.id) === true,
  );
  const empty = quiet.filter(({perStep}) => perStep.size === 0);
  for (const among of [own, empty, quiet]) {
    const worker = chooseWorker.chooseWorker(stepRun, among, context);
    if (worker !== undefined) return worker;
  }
  return undefined;
}
