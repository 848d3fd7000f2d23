/** Draws random amounts from the given random source. */
import type * as types from '@gypsumwall/types';

/** A log-normal distribution, clamped to `low` and `high`. */
export interface HeavyTailedDistribution {
  readonly median: number;
  /** Standard deviation of the logarithm; 1.5 gives a heavy tail. */
  readonly sigma: number;
  readonly low: number;
  readonly high: number;
}

export function drawHeavyTailed(
  random: types.random.Random,
  distribution: HeavyTailedDistribution,
): number {
  const amount =
    distribution.median * Math.exp(distribution.sigma * drawNormal(random));
  return Math.min(distribution.high, Math.max(distribution.low, amount));
}

/** Draws from a log-normal distribution with the given mean. */
export function drawLogNormal(
  random: types.random.Random,
  mean: number,
  sigma: number,
): number {
  return mean * Math.exp(sigma * drawNormal(random) - (sigma * sigma) / 2);
}

/** Draws a factor around 1, with a standard deviation of about a tenth. */
export function drawJitter(random: types.random.Random): number {
  return Math.exp(0.1 * drawNormal(random));
}

/** Draws from the standard normal distribution (Box-Muller transform). */
function drawNormal(random: types.random.Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}
