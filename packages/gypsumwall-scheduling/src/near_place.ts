/**
 * Near places of steps: the rack of a step's data, or any one rack for a gang
 * whose tasks run slower when they are spread over racks.
 */
import type * as activeJob from './active_job.js';
import type * as jobRequest from './job_request.js';
import type * as types from '@gypsumwall/types';
import type * as workerRegistry from './worker_registry.js';

/** Whether the step runs slower in some places than in others. */
export function hasNearPlace(request: jobRequest.StepRequest): boolean {
  return (
    request.preferredRack !== undefined || (request.gang && request.sameRack)
  );
}

/** Whether the worker isn't in the rack of the step's data. */
export function isFarFromData(
  {preferredRack}: jobRequest.StepRequest,
  {info}: workerRegistry.RegisteredWorker,
): boolean {
  return preferredRack !== undefined && preferredRack !== info.rack;
}

/** Whether these workers are a near place for the step. */
export function isNear(
  request: jobRequest.StepRequest,
  workers: readonly workerRegistry.RegisteredWorker[],
): boolean {
  if (workers.some((worker) => isFarFromData(request, worker))) return false;
  if (!request.gang || !request.sameRack) return true;
  const rack = workers[0]?.info.rack;
  return workers.every((worker) => worker.info.rack === rack);
}

/** Whether a step waits for a place in this rack. */
export function isWaitedFor(
  {nearWait}: activeJob.StepRun,
  rack: types.ids.RackId,
): boolean {
  return nearWait?.rack === rack;
}
