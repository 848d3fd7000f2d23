/**
 * The size a job's tasks are placed with: what was learned, as long as that
 * can be placed at all.
 */
import * as types from '@gypsumwall/types';
import type * as books from './books.js';
import type * as sizeLearner from './size_learner.js';

/**
 * Share of tasks that must do with the processors booked. Tight packing takes
 * the risk that more tasks run slower than they could.
 */
const SAFEST_CPU_QUANTILE = 0.95;
const TIGHTEST_CPU_QUANTILE = 0.4;

/** Sizes and run times of jobs. */
export interface TaskSizes {
  estimate(spec: types.job.JobSpec): sizeLearner.Estimate;
  /** The estimated size, made placeable. */
  sizeOf(spec: types.job.JobSpec): types.resources.Resources;
}

/** Creates sizes out of a learner and the books. */
export function createTaskSizes(
  learner: sizeLearner.SizeLearner,
  domainBooks: books.Books,
): TaskSizes {
  function estimate(spec: types.job.JobSpec): sizeLearner.Estimate {
    const {packing} = domainBooks.teams.team(spec.team);
    return learner.estimate(spec, cpuQuantile(spec, packing));
  }

  return {
    estimate,
    sizeOf(spec) {
      const {size} = estimate(spec);
      if (size === spec.size) return size;
      return placeable(spec, size, domainBooks);
    },
  };
}

function cpuQuantile(spec: types.job.JobSpec, packing: number): number {
  if (spec.shape.kind === 'service') return SAFEST_CPU_QUANTILE;
  const range = SAFEST_CPU_QUANTILE - TIGHTEST_CPU_QUANTILE;
  return SAFEST_CPU_QUANTILE - range * packing;
}

/**
 * A size learned above the declared one may pass the largest worker, the
 * team's quota or, for a gang, the whole domain. The job was admitted on its
 * declared size and would wait without end, so its growth is cut back.
 */
function placeable(
  spec: types.job.JobSpec,
  learned: types.resources.Resources,
  domainBooks: books.Books,
): types.resources.Resources {
  const {largest, total} = domainBooks;
  const {quota} = domainBooks.teams.team(spec.team);
  const {kind} = spec.shape;
  const atOnce = kind === 'batch' ? 1 : types.job.maxTaskCount(spec.shape);
  const fitsAll =
    types.resources.fits(learned, largest) &&
    learned.cpuMillis * atOnce <= Math.min(quota.cpuMillis, total.cpuMillis) &&
    learned.memoryMb * atOnce <= Math.min(quota.memoryMb, total.memoryMb);
  if (fitsAll) return learned;
  return {
    cpuMillis: Math.min(learned.cpuMillis, spec.size.cpuMillis),
    memoryMb: spec.size.memoryMb,
    accelerators: spec.size.accelerators,
  };
}
