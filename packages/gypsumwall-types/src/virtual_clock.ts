/** A clock on which a run takes as long as its processor time, no longer. */
import * as timers from 'node:timers/promises';
import type * as clock from './clock.js';

/** A clock that jumps to the next moment for which anything waits. */
export interface VirtualClock extends clock.Clock {
  /** Runs until the moment, or until nothing waits. */
  runUntil(end: number): Promise<void>;
}

interface Sleeper {
  readonly at: number;
  readonly wake: () => void;
}

/** Makes a clock at time 0. */
export function createVirtualClock(): VirtualClock {
  let now = 0;
  /** Sorted, the earliest last. */
  const sleepers: Sleeper[] = [];

  const sleepUntil = (deadline: number, signal?: AbortSignal) =>
    new Promise<void>((resolve) => {
      if (signal?.aborted === true || deadline <= now) {
        resolve();
        return;
      }
      const wake = () => {
        signal?.removeEventListener('abort', leave);
        resolve();
      };
      const sleeper = {at: deadline, wake};
      const leave = () => {
        const index = sleepers.indexOf(sleeper, placeFor(sleepers, deadline));
        if (index >= 0) sleepers.splice(index, 1);
        wake();
      };
      sleepers.splice(placeFor(sleepers, deadline), 0, sleeper);
      signal?.addEventListener('abort', leave, {once: true});
    });

  return {
    monotonic: () => now as clock.MonotonicMs,
    wall: () => now as clock.WallMs,
    sleepUntil,
    runUntil: async (end) => {
      // Everything that follows from the last moment happens before the next.
      await timers.setImmediate();
      for (;;) {
        const next = sleepers.at(-1);
        if (next === undefined || next.at > end) break;
        sleepers.pop();
        now = next.at;
        next.wake();
        await timers.setImmediate();
      }
      now = Math.max(now, end);
    },
  };
}

/** First place whose sleeper is not later, so that equal ones keep order. */
function placeFor(sleepers: readonly Sleeper[], at: number): number {
  let low = 0;
  let high = sleepers.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sleepers[middle]?.at ?? -Infinity) > at) low = middle + 1;
    else high = middle;
  }
  return low;
}
