/** A time of its own: events in order, each at its virtual moment. */
import type * as types from '@gypsumwall/types';

/** What happens, and when. */
export interface VirtualTimeline {
  now(): types.clock.MonotonicMs;
  schedule(delayMs: number, callback: () => void): void;
  /** Lets everything happen up to a moment. */
  runUntil(endMs: number): void;
}

/** Creates a timeline on which nothing is planned. */
export function createVirtualTimeline(startMs: number): VirtualTimeline {
  /** Latest first, so that the next one is taken off the end. */
  const events: {at: number; work: () => void}[] = [];
  let now = startMs;

  return {
    now: () => now as types.clock.MonotonicMs,
    schedule(spanMs, work) {
      const at = now + spanMs;
      let low = 0;
      let high = events.length;
      while (low < high) {
        const middle = (low + high) >> 1;
        if (events[middle]!.at > at) low = middle + 1;
        else high = middle;
      }
      events.splice(low, 0, {at, work});
    },
    runUntil(endMs) {
      for (;;) {
        const next = events.pop();
        if (next === undefined || next.at > endMs) break;
        now = next.at;
        next.work();
      }
      now = endMs;
    },
  };
}
