/** Tasks with the workers that they get in a cycle, and their bookings. */
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import type * as workerRegistry from './worker_registry.js';

/** A task and the worker it gets. */
export interface Placement {
  readonly stepRun: activeJob.StepRun;
  readonly index: number;
  readonly worker: workerRegistry.RegisteredWorker;
}

/** Books room for a task that is in line no more. */
export function reserve(
  stepRun: activeJob.StepRun,
  index: number,
  worker: workerRegistry.RegisteredWorker,
  registry: workerRegistry.WorkerRegistry,
): Placement {
  registry.book(worker.info.id, stepRun.id, chooseWorker.reservedSize(stepRun));
  return {stepRun, index, worker};
}

/** Gives the room back. */
export function release(
  {stepRun, worker}: Placement,
  registry: workerRegistry.WorkerRegistry,
): void {
  registry.release(
    worker.info.id,
    stepRun.id,
    chooseWorker.reservedSize(stepRun),
  );
}

/** Gives the room back, and puts the task back into line. */
export function revert(
  placement: Placement,
  registry: workerRegistry.WorkerRegistry,
): void {
  release(placement, registry);
  placement.stepRun.waiting.push(placement.index);
}
