/** Measures how often something happens, over a span that ends now. */
import * as types from '@gypsumwall/types';

/** Events within a span of time. */
export interface RateMeter {
  add(): void;
  /** Events in a millisecond, over the last `spanMs` of the meter's span. */
  perMs(spanMs?: number): number;
}

/** Creates a meter that remembers events for a span in milliseconds. */
export function createRateMeter(
  clock: types.clock.Clock,
  maxSpanMs: number,
): RateMeter {
  /** When they happened, ascending. */
  let events: types.clock.MonotonicMs[] = [];

  return {
    add() {
      const now = clock.monotonic();
      events.push(now);
      // Dropped in bulk, so that each of them is copied a few times at most.
      if (now - events[0]! > 2 * maxSpanMs)
        events = events.filter((at) => now - at <= maxSpanMs);
    },
    perMs(spanMs = maxSpanMs) {
      const oldest = clock.monotonic() - spanMs;
      let first = events.length;
      while (first > 0 && events[first - 1]! >= oldest) first--;
      return (events.length - first) / spanMs;
    },
  };
}
