/** Random amounts, drawn with the handed-in source. */
import type * as types from '@gypsumwall/types';

/** A log-normal amount within bounds. */
export interface HeavyTailed {
  readonly median: number;
  /** Standard deviation of the logarithm; 1.5 has a heavy tail. */
  readonly sigma: number;
  readonly low: number;
  readonly high: number;
}

/** Draws a heavy-tailed amount. */
export function heavyTailed(
  random: types.random.Random,
  shape: HeavyTailed,
): number {
  const drawn = shape.median * Math.exp(shape.sigma * normal(random));
  return Math.min(shape.high, Math.max(shape.low, drawn));
}

/** A log-normal amount with the given mean. */
export function logNormalMean(
  random: types.random.Random,
  mean: number,
  sigma: number,
): number {
  return mean * Math.exp(sigma * normal(random) - (sigma * sigma) / 2);
}

/** A factor around 1; a tenth either way is usual. */
export function jitter(random: types.random.Random): number {
  return Math.exp(0.1 * normal(random));
}

/** Box-Muller. */
function normal(random: types.random.Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}
