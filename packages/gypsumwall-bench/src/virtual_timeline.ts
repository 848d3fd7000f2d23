/** A virtual clock with an event queue, for discrete-event simulation. */
import type * as types from '@gypsumwall/types';

/** A virtual clock and its scheduled events. */
export interface VirtualTimeline {
  now(): types.clock.MonotonicMs;
  schedule(delayMs: number, callback: () => void): void;
  /** Runs all events that are due at or before `endMs`. */
  runUntil(endMs: number): void;
}

/** Creates a timeline without scheduled events. */
export function createVirtualTimeline(startMs: number): VirtualTimeline {
  /** Ordered latest first, so that the next event is popped off the end. */
  const events: {at: number; callback: () => void}[] = [];
  let now = startMs;

  return {
    now: () => now as types.clock.MonotonicMs,
    schedule(delayMs, callback) {
      const at = now + delayMs;
      let low = 0;
      let high = events.length;
      while (low < high) {
        const middle = (low + high) >> 1;
        if (events[middle]!.at > at) low = middle + 1;
        else high = middle;
      }
      events.splice(low, 0, {at, callback});
    },
    runUntil(endMs) {
      for (;;) {
        const next = events.pop();
        if (next === undefined || next.at > endMs) break;
        now = next.at;
        next.callback();
      }
      now = endMs;
    },
  };
}
