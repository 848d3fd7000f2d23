/**
 * The size with which a job's tasks are placed: the learned size, limited so
 * that the tasks can be placed at all.
 */
import * as types from '@gypsumwall/types';
import type * as domainAllocations from './domain_allocations.js';
import type * as sizeLearner from './size_learner.js';

/**
 * The share of tasks whose CPU usage the allocated CPU covers. With tighter
 * packing it is smaller, and more tasks may run slower than they could.
 */
const MAX_CPU_QUANTILE = 0.95;
const MIN_CPU_QUANTILE = 0.4;

/** Estimated sizes and run times of tasks. */
export interface TaskSizes {
  estimate(spec: types.job.JobSpec): sizeLearner.Estimate;
  /** The estimated size, limited so that the task can be placed. */
  sizeOf(spec: types.job.JobSpec): types.resources.Resources;
}

export function createTaskSizes(
  learner: sizeLearner.SizeLearner,
  allocations: domainAllocations.DomainAllocations,
): TaskSizes {
  function estimate(spec: types.job.JobSpec): sizeLearner.Estimate {
    const {packing} = allocations.teams.team(spec.team);
    return learner.estimate(spec, cpuQuantileOf(spec, packing));
  }

  return {
    estimate,
    sizeOf(spec) {
      const {size} = estimate(spec);
      if (size === spec.size) return size;
      return limitGrowth(spec, size, allocations);
    },
  };
}

function cpuQuantileOf(spec: types.job.JobSpec, packing: number): number {
  if (spec.shape.kind === 'service') return MAX_CPU_QUANTILE;
  const range = MAX_CPU_QUANTILE - MIN_CPU_QUANTILE;
  return MAX_CPU_QUANTILE - range * packing;
}

/**
 * A learned size above the declared one may exceed the largest worker, the
 * team's quota or, for a gang, the whole domain. The job was admitted with its
 * declared size and would wait forever, so the declared size is the limit then.
 */
function limitGrowth(
  spec: types.job.JobSpec,
  learned: types.resources.Resources,
  allocations: domainAllocations.DomainAllocations,
): types.resources.Resources {
  const {largestCapacity, totalCapacity} = allocations;
  const {quota} = allocations.teams.team(spec.team);
  const {kind} = spec.shape;
  const atOnce = kind === 'batch' ? 1 : types.job.maxTaskCount(spec.shape);
  const fitsAll =
    types.resources.fits(learned, largestCapacity) &&
    learned.cpuMillis * atOnce <=
      Math.min(quota.cpuMillis, totalCapacity.cpuMillis) &&
    learned.memoryMb * atOnce <=
      Math.min(quota.memoryMb, totalCapacity.memoryMb);
  if (fitsAll) return learned;
  return {
    cpuMillis: Math.min(learned.cpuMillis, spec.size.cpuMillis),
    memoryMb: spec.size.memoryMb,
    accelerators: spec.size.accelerators,
  };
}
