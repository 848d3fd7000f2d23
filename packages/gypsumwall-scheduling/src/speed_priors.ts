/**
 * What is expected of a worker before its own runs say enough: the speed of the
 * workers with the same label, if those are alike and the label tells speeds
 * apart; otherwise that of a usual worker.
 */
import type * as workerRegistry from './worker_registry.js';

/** A label is used from this many measured workers on. */
const MIN_WORKERS_OF_LABEL = 4;
/** A label tells speeds apart if it leaves at most this share of the variance. */
const MAX_REMAINING_VARIANCE = 0.25;
/**
 * Standard error up to which an estimate counts as measured; about ten runs.
 */
const MAX_MEASURED_ERROR_LOG = 0.2;

/** An estimate of a worker's speed. */
export interface SpeedReading {
  readonly info: workerRegistry.WorkerInfo;
  /** Logarithm of the speed. */
  readonly logSpeed: number;
  /** Its standard error; infinite without a run. */
  readonly errorLog: number;
}

/** Expected speed of a worker. */
export interface SpeedPrior {
  readonly logSpeed: number;
  /** Variance of the speeds of such workers. */
  readonly varianceLog: number;
  /** Whether it is that of workers with the same label. */
  readonly isShared: boolean;
}

/** Returns the expected speed of each worker. */
export function createPriors(
  readings: readonly SpeedReading[],
): (info: workerRegistry.WorkerInfo) => SpeedPrior {
  const all = createMoments();
  const byLabel = new Map<string, ReturnType<typeof createMoments>>();
  for (const reading of readings) {
    if (!Number.isFinite(reading.errorLog)) continue;
    all.add(reading);
    if (reading.errorLog > MAX_MEASURED_ERROR_LOG) continue;
    for (const label of reading.info.labels) {
      const moments = byLabel.get(label) ?? createMoments();
      moments.add(reading);
      byLabel.set(label, moments);
    }
  }
  const usual: SpeedPrior = {
    logSpeed: 0,
    varianceLog: all.varianceLog(),
    isShared: false,
  };
  const shared = new Map<string, SpeedPrior>();
  for (const [label, moments] of byLabel) {
    if (moments.count() < MIN_WORKERS_OF_LABEL) continue;
    const varianceLog = moments.varianceLog();
    if (varianceLog > usual.varianceLog * MAX_REMAINING_VARIANCE) continue;
    shared.set(label, {
      logSpeed: moments.meanLog(),
      varianceLog,
      isShared: true,
    });
  }
  return (info) => {
    let best = usual;
    for (const label of info.labels) {
      const prior = shared.get(label);
      if (prior !== undefined && prior.varianceLog < best.varianceLog)
        best = prior;
    }
    return best;
  };
}

/** Mean of readings, and their variance without that of their errors. */
function createMoments() {
  let count = 0;
  let sum = 0;
  let squares = 0;
  let errors = 0;

  return {
    add({logSpeed, errorLog}: SpeedReading): void {
      count++;
      sum += logSpeed;
      squares += logSpeed ** 2;
      errors += errorLog ** 2;
    },
    count: () => count,
    meanLog: () => sum / count,
    varianceLog(): number {
      if (count < 2) return 0;
      const observed = squares / count - (sum / count) ** 2;
      return Math.max(0, observed - errors / count);
    },
  };
}
