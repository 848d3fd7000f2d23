/** What one run of a virtual cell measured. */
import * as hdr from 'hdr-histogram-js';

/** Counters and histograms of one run. */
export interface CellMeasures {
  /** Waits of tasks by class, in milliseconds. */
  readonly waits: Map<string, hdr.Histogram>;
  /** Nanoseconds of calls of `decide` that placed something. */
  readonly decideNs: hdr.Histogram;
  decideTotalNs: number;
  placements: number;
  deadlineJobs: number;
  deadlinesMissed: number;
  /** Missed though a fluid schedule of the admitted work meets them. */
  avoidableMisses: number;
  jobs: number;
  jobsDone: number;
  refused: Map<string, number>;
  /** Core milliseconds after the warm-up. */
  usedCoreMs: number;
  /** The most that any schedule could have used in that time. */
  boundCoreMs: number;
  reservedCoreMs: number;
  capacityCoreMs: number;
  /** Worker milliseconds with more memory used than there is. */
  overMemoryWorkerMs: number;
  /** Worker milliseconds in which tasks slowed each other. */
  crowdedWorkerMs: number;
  workerMs: number;
  throttles: number;
  checkpoints: number;
  failedAttempts: number;
  jobsAbandoned: number;
}

const MAX_WAIT_MS = 1e9;
const MAX_DECIDE_NS = 1e10;

/** Creates empty measures. */
export function createCellMeasures(): CellMeasures {
  return {
    waits: new Map(),
    decideNs: buildHistogram(MAX_DECIDE_NS),
    decideTotalNs: 0,
    placements: 0,
    deadlineJobs: 0,
    deadlinesMissed: 0,
    avoidableMisses: 0,
    jobs: 0,
    jobsDone: 0,
    refused: new Map(),
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

/** Records the wait of a task. */
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

/** A histogram with three significant digits. */
export function buildHistogram(maxValue: number): hdr.Histogram {
  return hdr.build({
    bitBucketSize: 32,
    numberOfSignificantValueDigits: 3,
    highestTrackableValue: maxValue,
  });
}
