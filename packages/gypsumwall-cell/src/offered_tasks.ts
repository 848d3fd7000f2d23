/** Measures how many tasks callers offer to one entry, by priority. */
import type * as types from '@gypsumwall/types';

/** Time over which the rate is averaged; milliseconds. */
const AVERAGING_MS = 3_000;

/** Rates of offered tasks. */
export interface OfferedTasks {
  add(priority: number, tasks: number): void;
  /** Tasks offered in a millisecond. */
  perMs(priority: number): number;
}

interface DecayingSum {
  readonly value: number;
  readonly at: types.clock.MonotonicMs;
}

/** Creates rates of zero. */
export function createOfferedTasks(clock: types.clock.Clock): OfferedTasks {
  const sums = new Map<number, DecayingSum>();

  function sumAt(priority: number, now: types.clock.MonotonicMs): number {
    const sum = sums.get(priority);
    if (sum === undefined) return 0;
    return sum.value * Math.exp((sum.at - now) / AVERAGING_MS);
  }

  return {
    add(priority, tasks) {
      const now = clock.monotonic();
      sums.set(priority, {value: sumAt(priority, now) + tasks, at: now});
    },
    perMs: (priority) => sumAt(priority, clock.monotonic()) / AVERAGING_MS,
  };
}
