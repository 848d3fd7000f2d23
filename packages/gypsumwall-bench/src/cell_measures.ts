/** Measurements of one run of a virtual cell. */
import * as hdr from 'hdr-histogram-js';

/** Counters and histograms of one run. */
export interface CellMeasures {
  /** Waiting times of tasks by class of work, in milliseconds. */
  readonly waits: Map<string, hdr.Histogram>;
  /** Duration of the calls of `decide` that placed a task, in nanoseconds. */
  readonly decideNs: hdr.Histogram;
  decideTotalNs: number;
  placements: number;
  deadlineJobs: number;
  deadlinesMissed: number;
  /** Missed deadlines that an offline schedule of the admitted jobs meets. */
  avoidableMisses: number;
  jobsSubmitted: number;
  jobsDone: number;
  refusedByReason: Map<string, number>;
  /** Processor time used after the warm-up, in core milliseconds. */
  usedCoreMs: number;
  /**
   * Upper bound of the processor time that any schedule could have used after
   * the warm-up.
   */
  boundCoreMs: number;
  reservedCoreMs: number;
  capacityCoreMs: number;
  /**
   * Worker milliseconds in which tasks used more memory than the worker has.
   */
  overMemoryWorkerMs: number;
  /**
   * Worker milliseconds in which tasks needed more processors than the worker
   * has.
   */
  crowdedWorkerMs: number;
  workerMs: number;
  throttles: number;
  checkpoints: number;
  failedAttempts: number;
  jobsAbandoned: number;
}

const MAX_WAIT_MS = 1e9;
const MAX_DECIDE_NS = 1e10;

export function createCellMeasures(): CellMeasures {
  return {
    waits: new Map(),
    decideNs: buildHistogram(MAX_DECIDE_NS),
    decideTotalNs: 0,
    placements: 0,
    deadlineJobs: 0,
    deadlinesMissed: 0,
    avoidableMisses: 0,
    jobsSubmitted: 0,
    jobsDone: 0,
    refusedByReason: new Map(),
    usedCoreMs: 0,
    boundCoreMs: 0,
    reservedCoreMs: 0,
    capacityCoreMs: 0,
    overMemoryWorkerMs: 0,
    crowdedWorkerMs: 0,
    workerMs: 0,
    throttles: 0,
    checkpoints: 0,
    failedAttempts: 0,
    jobsAbandoned: 0,
  };
}

export function recordWait(
  measures: CellMeasures,
  className: string,
  waitMs: number,
): void {
  let histogram = measures.waits.get(className);
  if (histogram === undefined) {
    histogram = buildHistogram(MAX_WAIT_MS);
    measures.waits.set(className, histogram);
  }
  histogram.recordValue(Math.max(1, Math.round(waitMs)));
}

/** Builds a histogram with three significant digits. */
export function buildHistogram(maxValue: number): hdr.Histogram {
  return hdr.build({
    bitBucketSize: 32,
    numberOfSignificantValueDigits: 3,
    highestTrackableValue: maxValue,
  });
}
