/**
 * The declared and the used amounts of one quantity for a job class. Some teams
 * declare values that are always off by the same factor; others declare varying
 * values while their usage is constant. So histograms of both the used amount
 * and its ratio to the declared one are kept, and the estimate uses the one
 * with the smaller spread.
 */
import * as hdr from 'hdr-histogram-js';

/** Ratios are recorded in thousandths. */
const RATIO_SCALE = 1000;
const MAX_VALUE = 2 ** 31 - 1;
/**
 * The histograms are reset after this many samples, so that old samples are
 * dropped and the 16-bit counters can't overflow.
 */
const MAX_SAMPLES = 2000;

/** The recorded amounts of one quantity. */
export interface QuantityHistory {
  samples(): number;
  record(declared: number, used: number): void;
  /** The amount that the given share of samples doesn't exceed. */
  quantile(declared: number, share: number): number;
}

export function createQuantityHistory(): QuantityHistory {
  const amounts = buildHistogram();
  const ratios = buildHistogram();

  /** The ratio of the 90th to the 10th percentile. */
  function spread(histogram: hdr.Histogram): number {
    const low = Math.max(1, histogram.getValueAtPercentile(10));
    return histogram.getValueAtPercentile(90) / low;
  }

  return {
    samples: () => amounts.totalCount,
    record(declared, used) {
      if (amounts.totalCount >= MAX_SAMPLES) {
        amounts.reset();
        ratios.reset();
      }
      amounts.recordValue(clamp(used));
      ratios.recordValue(clamp((used / Math.max(1, declared)) * RATIO_SCALE));
    },
    quantile(declared, share) {
      const percentile = share * 100;
      if (spread(ratios) < spread(amounts)) {
        const ratio = ratios.getValueAtPercentile(percentile) / RATIO_SCALE;
        return declared * ratio;
      }
      return amounts.getValueAtPercentile(percentile);
    },
  };
}

/** One significant digit is enough: values are off by at most a tenth. */
function buildHistogram(): hdr.Histogram {
  return hdr.build({
    bitBucketSize: 16,
    numberOfSignificantValueDigits: 1,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_VALUE,
  });
}

function clamp(value: number): number {
  return Math.min(MAX_VALUE, Math.max(1, Math.round(value)));
}
