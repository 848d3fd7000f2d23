/** Tasks with the workers that they get in a cycle, and their bookings. */
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import type * as workerRegistry from './worker_registry.js';

/** A task and the worker it gets. */
export interface Placement {
  readonly stepRun: activeJob.StepRun;
  readonly index: number;
  readonly worker: workerRegistry.BookedWorker;
}

/** Books room for a task that is in line no more. */
export function take(
  stepRun: activeJob.StepRun,
  index: number,
  worker: workerRegistry.BookedWorker,
  book: workerRegistry.WorkerRegistry,
): Placement {
  book.reserve(worker.info.id, stepRun.id, chooseWorker.bookedSize(stepRun));
  return {stepRun, index, worker};
}

/** Gives the room back. */
export function unbook(
  {stepRun, worker}: Placement,
  book: workerRegistry.WorkerRegistry,
): void {
  book.release(worker.info.id, stepRun.id, chooseWorker.bookedSize(stepRun));
}

/** Gives the room back, and puts the task back into line. */
export function takeBack(
  placement: Placement,
  book: workerRegistry.WorkerRegistry,
): void {
  unbook(placement, book);
  placement.stepRun.waitingIndexes.push(placement.index);
}
