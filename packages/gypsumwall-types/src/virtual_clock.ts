/**
 * Virtual clock for tests and simulations. Time advances without waiting, so a
 * run takes only its processor time.
 */
import * as timers from 'node:timers/promises';
import type * as clock from './clock.js';

/** A clock that advances directly to the earliest deadline waited for. */
export interface VirtualClock extends clock.Clock {
  /**
   * Advances to `end`. Resumes all waits with a deadline up to then, in the
   * order of their deadlines.
   */
  runUntil(end: number): Promise<void>;
}

interface Waiter {
  readonly at: number;
  readonly resume: () => void;
}

/** Creates a virtual clock at time 0. */
export function createVirtualClock(): VirtualClock {
  let now = 0;
  /** Sorted by deadline, the earliest last. */
  const waiters: Waiter[] = [];

  const sleepUntil = (deadline: number, signal?: AbortSignal) =>
    new Promise<void>((resolve) => {
      if (signal?.aborted === true || deadline <= now) {
        resolve();
        return;
      }
      const resume = () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      };
      const waiter = {at: deadline, resume};
      const onAbort = () => {
        const index = waiters.indexOf(
          waiter,
          findInsertionIndex(waiters, deadline),
        );
        if (index >= 0) waiters.splice(index, 1);
        resume();
      };
      waiters.splice(findInsertionIndex(waiters, deadline), 0, waiter);
      signal?.addEventListener('abort', onAbort, {once: true});
    });

  return {
    monotonic: () => now as clock.MonotonicMs,
    wall: () => now as clock.WallMs,
    sleepUntil,
    runUntil: async (end) => {
      // Lets all work that is due at the current time run before it advances.
      await timers.setImmediate();
      for (;;) {
        const next = waiters.at(-1);
        if (next === undefined || next.at > end) break;
        waiters.pop();
        now = next.at;
        next.resume();
        await timers.setImmediate();
      }
      now = Math.max(now, end);
    },
  };
}

/**
 * First index whose waiter is not later than `at`. Waiters with the same
 * deadline are thereby resumed in the order in which they were added.
 */
function findInsertionIndex(waiters: readonly Waiter[], at: number): number {
  let low = 0;
  let high = waiters.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((waiters[middle]?.at ?? -Infinity) > at) low = middle + 1;
    else high = middle;
  }
  return low;
}
