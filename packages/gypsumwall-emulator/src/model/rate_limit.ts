/** Calls a second, for all callers together. */
import type * as types from '@gypsumwall/types';

/** Grants calls up to a rate. */
export interface RateLimit {
  /** False if the call is over the rate. */
  tryAcquire(): boolean;
}

const SECOND_MS = 1_000;

/** Creates a limit whose burst is what one second allows. */
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
