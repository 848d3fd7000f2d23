/**
 * Interface of random numbers. Code gets its source as an argument, so that a
 * run can be repeated with the same seed.
 */
import * as pureRand from 'pure-rand';

/** A source of random numbers. */
export interface Random {
  /** Returns a number from 0, inclusive, to 1, exclusive. */
  next(): number;
  /** Returns an integer from `low` to `high`, both inclusive. */
  integer(low: number, high: number): number;
}

/** Creates a source that returns the same sequence for the same seed. */
export function createRandom(seed: number): Random {
  const generator = pureRand.xoroshiro128plus(seed);
  const integer = (low: number, high: number) =>
    pureRand.unsafeUniformIntDistribution(low, high, generator);
  return {
    integer,
    next: () => integer(0, 2 ** 32 - 1) / 2 ** 32,
  };
}
