/** Lets one loop sleep until a deadline or until something has happened. */
import type * as types from '@gypsumwall/types';

/** A sleep that others can end. */
export interface LoopTrigger {
  trigger(): void;
  /** Ends at the deadline, or as soon as `done` holds after a wake. */
  waitUntil(
    deadline: types.clock.MonotonicMs,
    done: () => boolean,
  ): Promise<void>;
  /** Ends at the deadline or at the next wake. */
  waitForTrigger(deadline: types.clock.MonotonicMs): Promise<void>;
}

/** Makes one; all waits end at once when `signal` aborts. */
export function createLoopTrigger(clock: types.clock.Clock): LoopTrigger {
  let waiters = new AbortController();

  function waitForTrigger(deadline: types.clock.MonotonicMs) {
    return clock.sleepUntil(deadline, waiters.signal);
  }

  return {
    waitForTrigger,
    trigger: () => {
      const triggered = waiters;
      waiters = new AbortController();
      triggered.abort();
    },
    waitUntil: async (deadline, done) => {
      while (!done() && clock.monotonic() < deadline) {
        await waitForTrigger(deadline);
      }
    },
  };
}
