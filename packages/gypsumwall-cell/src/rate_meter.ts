/** Measures the rate of events over a span that ends now. */
import * as types from '@gypsumwall/types';

/** Events within a span of time. */
export interface RateMeter {
  /** Records an event now, or several of them. */
  add(count?: number): void;
  /** Events in a millisecond, over the last `spanMs` of the meter's span. */
  perMs(spanMs?: number): number;
}

/** Creates a meter that remembers events for a span in milliseconds. */
export function createRateMeter(
  clock: types.clock.Clock,
  maxSpanMs: number,
): RateMeter {
  /** In the order in which they happened. */
  let events: {
    readonly at: types.clock.MonotonicMs;
    readonly count: number;
  }[] = [];

  return {
    add(count = 1) {
      const now = clock.monotonic();
      events.push({at: now, count});
      // Dropped in bulk, so that each of them is copied a few times at most.
      if (now - events[0]!.at > 2 * maxSpanMs)
        events = events.filter(({at}) => now - at <= maxSpanMs);
    },
    perMs(spanMs = maxSpanMs) {
      const oldest = clock.monotonic() - spanMs;
      let total = 0;
      for (let nth = events.length - 1; nth >= 0; nth--) {
        const {at, count} = events[nth]!;
        if (at < oldest) break;
        total += count;
      }
      return total / spanMs;
    },
  };
}
