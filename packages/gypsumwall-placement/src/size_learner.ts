/**
 * Learns the actual needs of tasks by job class, since declared sizes and run
 * times are off by a factor of up to 4 either way. The CPU estimate is a
 * quantile of the usage seen: if it is too low, tasks run slower and are
 * throttled. The memory estimate is never below the declared size, since a task
 * with too little memory is killed.
 */
import type * as types from '@gypsumwall/types';
import * as quantityHistory from './quantity_history.js';

/** With fewer samples than this, the declared values are used. */
const MIN_SAMPLES = 8;
/** The factor by which declared values may be off, as reported by users. */
const MAX_DECLARED_ERROR_FACTOR = 4;
const MEMORY_QUANTILE = 0.99;
const TYPICAL_QUANTILE = 0.5;
const PESSIMISTIC_QUANTILE = 0.95;
/**
 * CPU estimates are multiples of this, so that similar tasks have equal sizes.
 */
const CPU_STEP_MILLIS = 10;
/**
 * A class takes about 12 KB. Above this number, the class whose last completed
 * task is longest ago is evicted.
 */
const MAX_CLASSES = 1000;
/** An estimate is recomputed when the samples have grown by this factor. */
const REFRESH_GROWTH_FACTOR = 1.2;

/** The expected size and run time of a task. */
export interface Estimate {
  readonly size: types.resources.Resources;
  readonly typicalMs: number;
  readonly pessimisticMs: number;
}

/** Estimates of sizes and run times, learned from reports. */
export interface SizeLearner {
  recordUsage(spec: types.job.JobSpec, used: types.resources.Resources): void;
  recordRunTime(spec: types.job.JobSpec, ranMs: number): void;
  /**
   * `cpuQuantile` is the share of tasks whose CPU usage the estimate covers.
   */
  estimate(spec: types.job.JobSpec, cpuQuantile: number): Estimate;
}

interface JobClass {
  readonly cpu: quantityHistory.QuantityHistory;
  readonly memory: quantityHistory.QuantityHistory;
  readonly runTime: quantityHistory.QuantityHistory;
  /** The last estimate, with the spec and the quantile it was made for. */
  cached: Estimate | undefined;
  cachedSpec: types.job.JobSpec | undefined;
  cachedQuantile: number;
  samples: number;
  refreshAt: number;
}

/** Creates a learner without samples. */
export function createSizeLearner(): SizeLearner {
  const classes = new Map<string, JobClass>();

  function classOf(spec: types.job.JobSpec): JobClass {
    const key = keyOf(spec);
    const existing = classes.get(key);
    if (existing !== undefined) return existing;
    if (classes.size >= MAX_CLASSES) evictOldest();
    const created: JobClass = {
      cpu: quantityHistory.createQuantityHistory(),
      memory: quantityHistory.createQuantityHistory(),
      runTime: quantityHistory.createQuantityHistory(),
      cached: undefined,
      cachedSpec: undefined,
      cachedQuantile: 0,
      samples: 0,
      refreshAt: 0,
    };
    classes.set(key, created);
    return created;
  }

  function evictOldest(): void {
    const oldest = classes.keys().next();
    if (oldest.done !== true) classes.delete(oldest.value);
  }

  function countSample(jobClass: JobClass): void {
    jobClass.samples += 1;
    if (jobClass.samples < jobClass.refreshAt) return;
    jobClass.refreshAt =
      Math.ceil(jobClass.samples * REFRESH_GROWTH_FACTOR) + 1;
    jobClass.cached = undefined;
  }

  return {
    recordUsage(spec, used) {
      const jobClass = classOf(spec);
      jobClass.cpu.record(spec.size.cpuMillis, used.cpuMillis);
      jobClass.memory.record(spec.size.memoryMb, used.memoryMb);
      countSample(jobClass);
    },
    recordRunTime(spec, ranMs) {
      const jobClass = classOf(spec);
      const key = keyOf(spec);
      classes.delete(key);
      classes.set(key, jobClass);
      jobClass.runTime.record(spec.estimateMs, ranMs);
      countSample(jobClass);
    },
    estimate(spec, cpuQuantile) {
      const jobClass = classOf(spec);
      const isCached =
        jobClass.cached !== undefined &&
        jobClass.cachedQuantile === cpuQuantile &&
        jobClass.cachedSpec !== undefined &&
        hasSameDeclaration(jobClass.cachedSpec, spec);
      if (isCached) return jobClass.cached!;
      const estimate = {
        size: estimateSize(jobClass, spec, cpuQuantile),
        ...estimateRunTime(jobClass, spec),
      };
      jobClass.cached = estimate;
      jobClass.cachedSpec = spec;
      jobClass.cachedQuantile = cpuQuantile;
      return estimate;
    },
  };
}

function keyOf(spec: types.job.JobSpec): string {
  return `${spec.team}/${spec.jobClass}`;
}

function hasSameDeclaration(
  left: types.job.JobSpec,
  right: types.job.JobSpec,
): boolean {
  return (
    left === right ||
    (left.estimateMs === right.estimateMs &&
      left.size.cpuMillis === right.size.cpuMillis &&
      left.size.memoryMb === right.size.memoryMb &&
      left.size.accelerators === right.size.accelerators)
  );
}

function estimateSize(
  jobClass: JobClass,
  spec: types.job.JobSpec,
  cpuQuantile: number,
): types.resources.Resources {
  const {cpu, memory} = jobClass;
  if (cpu.samples() < MIN_SAMPLES) return spec.size;
  const cpuSeen = cpu.quantile(spec.size.cpuMillis, cpuQuantile);
  const memorySeen = memory.quantile(spec.size.memoryMb, MEMORY_QUANTILE);
  const cpuSteps = Math.max(1, Math.ceil(cpuSeen / CPU_STEP_MILLIS));
  return {
    cpuMillis: cpuSteps * CPU_STEP_MILLIS,
    memoryMb: Math.max(spec.size.memoryMb, Math.ceil(memorySeen)),
    accelerators: spec.size.accelerators,
  };
}

function estimateRunTime(
  jobClass: JobClass,
  spec: types.job.JobSpec,
): {typicalMs: number; pessimisticMs: number} {
  const {runTime} = jobClass;
  if (runTime.samples() < MIN_SAMPLES) {
    return {
      typicalMs: spec.estimateMs,
      pessimisticMs: spec.estimateMs * MAX_DECLARED_ERROR_FACTOR,
    };
  }
  return {
    typicalMs: runTime.quantile(spec.estimateMs, TYPICAL_QUANTILE),
    pessimisticMs: runTime.quantile(spec.estimateMs, PESSIMISTIC_QUANTILE),
  };
}
