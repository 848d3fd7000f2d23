/** Lets a loop wait for a deadline or for a trigger, whichever is first. */
import type * as types from '@gypsumwall/types';

/** A wait that other code can end. */
export interface LoopTrigger {
  /** Ends all current waits, or makes them check their condition. */
  trigger(): void;
  /** Resolves at the deadline, or when `done` is true after a trigger. */
  waitUntil(
    deadline: types.clock.MonotonicMs,
    isDone: () => boolean,
  ): Promise<void>;
  /** Resolves at the deadline or at the next trigger. */
  waitForTrigger(deadline: types.clock.MonotonicMs): Promise<void>;
}

/** Creates a trigger whose deadlines are moments of the clock. */
export function createLoopTrigger(clock: types.clock.Clock): LoopTrigger {
  let waitAbort = new AbortController();

  function waitForTrigger(deadline: types.clock.MonotonicMs) {
    return clock.sleepUntil(deadline, waitAbort.signal);
  }

  return {
    waitForTrigger,
    trigger: () => {
      const previousAbort = waitAbort;
      waitAbort = new AbortController();
      previousAbort.abort();
    },
    waitUntil: async (deadline, isDone) => {
      while (!isDone() && clock.monotonic() < deadline) {
        await waitForTrigger(deadline);
      }
    },
  };
}
