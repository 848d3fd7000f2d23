/** A clock that advances only when a test advances it. */
import * as timers from 'node:timers/promises';
import type * as types from '@gypsumwall/types';

/** A clock controlled by a test. */
export interface ManualClock extends types.clock.Clock {
  /** Advances the clock by `spanMs` and ends each sleep at its time. */
  advance(spanMs: number): Promise<void>;
  /** The number of pending sleeps. */
  sleepers(): number;
}

interface Sleeper {
  readonly at: number;
  readonly wake: () => void;
}

/** Creates a clock at time 0. */
export function createManualClock(): ManualClock {
  let now = 0;
  const sleepers = new Set<Sleeper>();

  const sleepUntil = (deadline: number, signal?: AbortSignal) =>
    new Promise<void>((resolve) => {
      if (signal?.aborted === true || deadline <= now) {
        resolve();
        return;
      }
      const wake = () => {
        sleepers.delete(sleeper);
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      const sleeper = {at: deadline, wake};
      sleepers.add(sleeper);
      signal?.addEventListener('abort', wake, {once: true});
    });

  const earliest = (until: number) =>
    [...sleepers]
      .filter((one) => one.at <= until)
      .sort((left, right) => left.at - right.at)[0];

  return {
    monotonic: () => now as types.clock.MonotonicMs,
    wall: () => now as types.clock.WallMs,
    sleepUntil,
    sleepers: () => sleepers.size,
    advance: async (spanMs) => {
      const until = now + spanMs;
      await timers.setImmediate();
      for (let due = earliest(until); due; due = earliest(until)) {
        now = due.at;
        due.wake();
        await timers.setImmediate();
      }
      now = until;
      await timers.setImmediate();
    },
  };
}
