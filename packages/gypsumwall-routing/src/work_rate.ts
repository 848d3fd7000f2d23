/** How much work comes in, as the number of slots that it keeps busy. */
import type * as types from '@gypsumwall/types';

/** A mean that forgets. */
export interface WorkRate {
  /** Work of so much slot time came in. */
  add(workMs: number, now: types.clock.MonotonicMs): void;
  slots(now: types.clock.MonotonicMs): number;
}

/** What came in longer ago than this counts for less than half. */
const MEMORY_MS = 2_000;

/** Makes one that has seen nothing. */
export function createWorkRate(): WorkRate {
  let remembered = 0;
  let rememberedAt = 0;
  const forget = (now: number) => {
    remembered *= Math.exp((rememberedAt - now) / MEMORY_MS);
    rememberedAt = now;
  };
  return {
    add: (workMs, now) => {
      forget(now);
      remembered += workMs;
    },
    slots: (now) => {
      forget(now);
      return remembered / MEMORY_MS;
    },
  };
}
