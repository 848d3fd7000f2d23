/** Placements of tasks on workers in a cycle, and their reservations. */
import type * as activeJob from './active_job.js';
import * as stepNeeds from './step_needs.js';
import type * as workerRegistry from './worker_registry.js';

/** A task and the worker chosen for it. */
export interface Placement {
  readonly stepRun: activeJob.StepRun;
  readonly index: number;
  readonly worker: workerRegistry.RegisteredWorker;
}

/** What each task of a step reserves. */
export function reservationOf(
  stepRun: activeJob.StepRun,
): workerRegistry.Reservation {
  return {
    stepRunId: stepRun.id,
    organisation: stepRun.job.organisation,
    size: stepNeeds.reservedSize(stepRun),
  };
}

/** Reserves capacity for a task that was removed from the queue. */
export function reserve(
  stepRun: activeJob.StepRun,
  index: number,
  worker: workerRegistry.RegisteredWorker,
  registry: workerRegistry.WorkerRegistry,
): Placement {
  registry.reserve(worker.info.id, reservationOf(stepRun));
  return {stepRun, index, worker};
}

/** Releases the capacity. */
export function release(
  {stepRun, worker}: Placement,
  registry: workerRegistry.WorkerRegistry,
): void {
  registry.release(worker.info.id, reservationOf(stepRun));
}

/** Releases the capacity and queues the task again. */
export function revert(
  placement: Placement,
  registry: workerRegistry.WorkerRegistry,
): void {
  release(placement, registry);
  placement.stepRun.waitingIndexes.push(placement.index);
}
