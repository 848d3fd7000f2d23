/** Lets one loop sleep until a deadline or until something has happened. */
import type * as types from '@gypsumwall/types';

/** A sleep that others can end. */
export interface WakeUp {
  wake(): void;
  /** Ends at the deadline, or as soon as `done` holds after a wake. */
  waitUntil(
    deadline: types.clock.MonotonicMs,
    done: () => boolean,
  ): Promise<void>;
  /** Ends at the deadline or at the next wake. */
  sleepUntil(deadline: types.clock.MonotonicMs): Promise<void>;
}

/** Makes one; all waits end at once when `signal` aborts. */
export function createWakeUp(clock: types.clock.Clock): WakeUp {
  let sleepers = new AbortController();

  function sleepUntil(deadline: types.clock.MonotonicMs) {
    return clock.sleepUntil(deadline, sleepers.signal);
  }

  return {
    sleepUntil,
    wake: () => {
      const woken = sleepers;
      sleepers = new AbortController();
      woken.abort();
    },
    waitUntil: async (deadline, done) => {
      while (!done() && clock.monotonic() < deadline) {
        await sleepUntil(deadline);
      }
    },
  };
}
