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
  deadlineMissed: number;
  /** Missed though a fluid schedule of the admitted work meets them. */
  deadlineAvoidable: number;
  jobs: number;
  jobsDone: number;
  refused: Map<string, number>;
  /** Core milliseconds after the warm-up. */
  used: number;
  /** The most that any schedule could have used in that time. */
  bound: number;
  held: number;
  capacity: number;
  /** Worker milliseconds with more memory used than there is. */
  memoryOver: number;
  /** Worker milliseconds in which tasks slowed each other. */
  crowded: number;
  workerTime: number;
  throttles: number;
  checkpoints: number;
  failedRuns: number;
  jobsGivenUp: number;
}

const LONGEST_WAIT_MS = 1e9;
const LONGEST_DECIDE_NS = 1e10;

/** Creates empty measures. */
export function createCellMeasures(): CellMeasures {
  return {
    waits: new Map(),
    decideNs: buildHistogram(LONGEST_DECIDE_NS),
    decideTotalNs: 0,
    placements: 0,
    deadlineJobs: 0,
    deadlineMissed: 0,
    deadlineAvoidable: 0,
    jobs: 0,
    jobsDone: 0,
    refused: new Map(),
    used: 0,
    bound: 0,
    held: 0,
    capacity: 0,
    memoryOver: 0,
    crowded: 0,
    workerTime: 0,
    throttles: 0,
    checkpoints: 0,
    failedRuns: 0,
    jobsGivenUp: 0,
  };
}

/** Records the wait of a task. */
export function noteWait(
  measures: CellMeasures,
  className: string,
  waitMs: number,
): void {
  let histogram = measures.waits.get(className);
  if (histogram === undefined) {
    histogram = buildHistogram(LONGEST_WAIT_MS);
    measures.waits.set(className, histogram);
  }
  histogram.recordValue(Math.max(1, Math.round(waitMs)));
}

/** A histogram with three significant digits. */
export function buildHistogram(highest: number): hdr.Histogram {
  return hdr.build({
    bitBucketSize: 32,
    numberOfSignificantValueDigits: 3,
    highestTrackableValue: highest,
  });
}
