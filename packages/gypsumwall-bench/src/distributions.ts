/** Random amounts, drawn with the handed-in source. */
import type * as types from '@gypsumwall/types';

/** A log-normal amount within bounds. */
export interface HeavyTailedDistribution {
  readonly median: number;
  /** Standard deviation of the logarithm; 1.5 has a heavy tail. */
  readonly sigma: number;
  readonly low: number;
  readonly high: number;
}

/** Draws a heavy-tailed amount. */
export function drawHeavyTailed(
  random: types.random.Random,
  distribution: HeavyTailedDistribution,
): number {
  const drawn =
    distribution.median * Math.exp(distribution.sigma * drawNormal(random));
  return Math.min(distribution.high, Math.max(distribution.low, drawn));
}

/** A log-normal amount with the given mean. */
export function drawLogNormal(
  random: types.random.Random,
  mean: number,
  sigma: number,
): number {
  return mean * Math.exp(sigma * drawNormal(random) - (sigma * sigma) / 2);
}

/** A factor around 1; a tenth either way is usual. */
export function drawJitter(random: types.random.Random): number {
  return Math.exp(0.1 * drawNormal(random));
}

/** Box-Muller. */
function drawNormal(random: types.random.Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}
