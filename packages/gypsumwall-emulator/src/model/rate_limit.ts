/** Limits the calls per second of all callers together. */
import type * as types from '@gypsumwall/types';

/** A token bucket. */
export interface RateLimit {
  /** Returns false if the call exceeds the rate. */
  tryAcquire(): boolean;
}

const SECOND_MS = 1_000;

/** Creates a token bucket that holds the calls of one second. */
export function createRateLimit(
  clock: types.clock.Clock,
  perSecond: number,
): RateLimit {
  let tokens = perSecond;
  let refilledAt = clock.monotonic();
  return {
    tryAcquire() {
      const now = clock.monotonic();
      const gained = ((now - refilledAt) / SECOND_MS) * perSecond;
      tokens = Math.min(perSecond, tokens + gained);
      refilledAt = now;
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
