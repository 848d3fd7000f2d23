/**
 * What a class of jobs was seen to use of one quantity, beside what it had
 * declared. Some teams declare a constant that is always off by the same
 * factor, others declare noise around a constant truth; so both the used
 * amount and its ratio to the declared one are kept, and the one that scatters
 * less is believed.
 */
import * as hdr from 'hdr-histogram-js';

/** Ratios are recorded in thousandths. */
const RATIO_SCALE = 1000;
const MAX_VALUE = 2 ** 31 - 1;
/** Counts are 16 bits wide; old samples make way well before that. */
const SAMPLES_PER_GENERATION = 2000;

/** Declared and used amounts of one quantity. */
export interface QuantityHistory {
  samples(): number;
  record(declared: number, used: number): void;
  /** The amount that the given share of uses stayed at or under. */
  quantile(declared: number, share: number): number;
}

/** Creates an empty history. */
export function createQuantityHistory(): QuantityHistory {
  const amounts = buildHistogram();
  const ratios = buildHistogram();

  /** How wide the middle of the samples lies, as a factor. */
  function spread(histogram: hdr.Histogram): number {
    const low = Math.max(1, histogram.getValueAtPercentile(10));
    return histogram.getValueAtPercentile(90) / low;
  }

  return {
    samples: () => amounts.totalCount,
    record(declared, used) {
      if (amounts.totalCount >= SAMPLES_PER_GENERATION) {
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

/** Two significant bits more than needed: errors of at most a tenth. */
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
