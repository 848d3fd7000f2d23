/** Random numbers are handed in, so that a run can be repeated from a seed. */
import * as pureRand from 'pure-rand';

/** A source of random numbers. */
export interface Random {
  /** At least 0, below 1. */
  next(): number;
  /** A whole number from `low` to `high`, both included. */
  integer(low: number, high: number): number;
}

/** A source that gives the same numbers for the same seed. */
export function createRandom(seed: number): Random {
  const generator = pureRand.xoroshiro128plus(seed);
  const integer = (low: number, high: number) =>
    pureRand.unsafeUniformIntDistribution(low, high, generator);
  return {
    integer,
    next: () => integer(0, 2 ** 32 - 1) / 2 ** 32,
  };
}
