/** Measures incoming work as the number of slots that it needs. */
import type * as types from '@gypsumwall/types';

/** An exponentially decaying average of the incoming work. */
export interface WorkRate {
  /** Adds work with the given expected slot time. */
  add(workMs: number, now: types.clock.MonotonicMs): void;
  /** The average number of slots that the work needs. */
  slots(now: types.clock.MonotonicMs): number;
}

/** The time constant of the decay: work this old counts for 1/e. */
const DECAY_TIME_MS = 2_000;

/** Creates an average without any work. */
export function createWorkRate(): WorkRate {
  let decayedWorkMs = 0;
  let decayedAt = 0;
  const decay = (now: number) => {
    decayedWorkMs *= Math.exp((decayedAt - now) / DECAY_TIME_MS);
    decayedAt = now;
  };
  return {
    add: (workMs, now) => {
      decay(now);
      decayedWorkMs += workMs;
    },
    slots: (now) => {
      decay(now);
      return decayedWorkMs / DECAY_TIME_MS;
    },
  };
}
