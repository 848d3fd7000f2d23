/** Measures the rate of events over a span that ends now. */
import * as types from '@gypsumwall/types';

/** Events within a span of time. */
export interface RateMeter {
  /** Records an event now. */
  add(): void;
  /** Events in a millisecond. */
  perMs(): number;
}

/** Creates a meter that remembers events for a span in milliseconds. */
export function createRateMeter(
  clock: types.clock.Clock,
  spanMs: number,
): RateMeter {
  /** In the order in which they happened. */
  let events: types.clock.MonotonicMs[] = [];

  return {
    add() {
      const now = clock.monotonic();
      events.push(now);
      // Dropped in bulk, so that each of them is copied a few times at most.
      if (now - events[0]! > 2 * spanMs)
        events = events.filter((at) => now - at <= spanMs);
    },
    perMs() {
      const oldest = clock.monotonic() - spanMs;
      let first = 0;
      let end = events.length;
      while (first < end) {
        const middle = (first + end) >> 1;
        if (events[middle]! < oldest) first = middle + 1;
        else end = middle;
      }
      return (events.length - first) / spanMs;
    },
  };
}
