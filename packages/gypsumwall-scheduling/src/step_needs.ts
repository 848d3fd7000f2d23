/** What a step needs of a worker that runs its tasks. */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as workerRegistry from './worker_registry.js';

/**
 * Whether a worker is in the pool of a step and has its required label,
 * regardless of free capacity.
 */
export function isEligible(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.RegisteredWorker,
): boolean {
  const {info} = worker;
  const {request} = stepRun;
  if (info.pool !== stepRun.job.policy.pool) return false;
  const label = request.requiredLabel;
  return label === undefined || info.labels.includes(label);
}

/** Resources reserved on the worker for a task of a step. */
export function reservedSize({
  request,
}: Pick<activeJob.StepRun, 'request'>): types.resources.Resources {
  const {size, usesSpareCpu} = request;
  return usesSpareCpu ? {...size, cpuMillis: 0} : size;
}

/**
 * How many more tasks of the step a worker may run under its limit per worker.
 */
export function remainingSlots(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.RegisteredWorker,
): number {
  const limit = stepRun.request.maxPerWorker ?? Infinity;
  return limit - (worker.tasksByStep.get(stepRun.id) ?? 0);
}
