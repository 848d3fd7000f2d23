/** A clock that advances only when a test advances it. */
import * as timers from 'node:timers/promises';
import type * as types from '@gypsumwall/types';

/** A clock controlled by a test. */
export interface ManualClock extends types.clock.Clock {
  /** Advances the clock by `byMs` and ends each sleep at its time. */
  advance(byMs: number): Promise<void>;
  /** The number of pending sleeps. */
  pendingSleeps(): number;
}

interface PendingSleep {
  readonly at: number;
  readonly end: () => void;
}

/** Creates a clock at time 0. */
export function createManualClock(): ManualClock {
  let now = 0;
  const pendingSleeps = new Set<PendingSleep>();

  const sleepUntil = (deadline: number, signal?: AbortSignal) =>
    new Promise<void>((resolve) => {
      if (signal?.aborted === true || deadline <= now) {
        resolve();
        return;
      }
      const end = () => {
        pendingSleeps.delete(pendingSleep);
        signal?.removeEventListener('abort', end);
        resolve();
      };
      const pendingSleep = {at: deadline, end};
      pendingSleeps.add(pendingSleep);
      signal?.addEventListener('abort', end, {once: true});
    });

  const earliest = (until: number) =>
    [...pendingSleeps]
      .filter((one) => one.at <= until)
      .sort((left, right) => left.at - right.at)[0];

  return {
    monotonic: () => now as types.clock.MonotonicMs,
    wall: () => now as types.clock.WallMs,
    sleepUntil,
    pendingSleeps: () => pendingSleeps.size,
    advance: async (byMs) => {
      const until = now + byMs;
      await timers.setImmediate();
      for (let due = earliest(until); due; due = earliest(until)) {
        now = due.at;
        due.end();
        await timers.setImmediate();
      }
      now = until;
      await timers.setImmediate();
    },
  };
}
