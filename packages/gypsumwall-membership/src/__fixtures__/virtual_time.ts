/**
 * Virtual time that advances from event to event, so that hours of a protocol
 * run in milliseconds and each run is reproducible. Processes have clocks with
 * their own rates. A paused process gets its events after the pause.
 */
import * as types from '@gypsumwall/types';

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** The world's time in milliseconds; processes read only their own clocks. */
export interface VirtualTime {
  now(): number;
  at(moment: number, run: () => void): void;
  /** Runs all events up to the moment, and `afterEach` after each of them. */
  advanceTo(moment: number, afterEach: () => void): Promise<void>;
}

/** Creates a time that starts at 0. */
export function createVirtualTime(): VirtualTime {
  const events: Event[] = [];
  let now = 0;
  let order = 0;

  function removeNextDue(moment: number): Event | undefined {
    let earliestIndex = -1;
    for (const [index, event] of events.entries()) {
      if (event.at > moment) continue;
      const earliest = events[earliestIndex];
      const isEarlier =
        earliest === undefined ||
        event.at < earliest.at ||
        (event.at === earliest.at && event.order < earliest.order);
      if (isEarlier) earliestIndex = index;
    }
    return earliestIndex < 0 ? undefined : events.splice(earliestIndex, 1)[0];
  }

  return {
    now: () => now,
    at: (moment, run) => {
      events.push({at: Math.max(moment, now), order: order++, run});
    },
    advanceTo: async (moment, afterEach) => {
      for (let due = removeNextDue(moment); due; due = removeNextDue(moment)) {
        now = due.at;
        due.run();
        // All promise callbacks run before the next turn of the event loop.
        await new Promise((resolve) => setImmediate(resolve));
        afterEach();
      }
      now = moment;
    },
  };
}

/** A process on virtual time. */
export interface VirtualProcess {
  readonly clock: types.clock.Clock;
  /** Runs `run` in the process at the moment, or after the process's pause. */
  deliverAt(moment: number, run: () => void): void;
  /** Pauses the process; its clock continues. */
  pauseUntil(moment: number): void;
  kill(): void;
  isAlive(): boolean;
  isPaused(): boolean;
}

/** Starts a process whose clock runs `rate` times as fast as virtual time. */
export function createVirtualProcess(
  time: VirtualTime,
  rate: number,
): VirtualProcess {
  const startedAt = time.now();
  let isRunning = true;
  let pausedUntil = 0;

  function deliverAt(moment: number, run: () => void) {
    time.at(moment, () => {
      if (!isRunning) return;
      if (time.now() < pausedUntil) deliverAt(pausedUntil, run);
      else run();
    });
  }

  const monotonic = () =>
    ((time.now() - startedAt) * rate) as types.clock.MonotonicMs;
  return {
    deliverAt,
    isAlive: () => isRunning,
    isPaused: () => time.now() < pausedUntil,
    pauseUntil: (moment) => {
      pausedUntil = Math.max(pausedUntil, moment);
    },
    kill: () => {
      isRunning = false;
    },
    clock: {
      monotonic,
      wall: () => time.now() as types.clock.WallMs,
      sleepUntil: (deadline, signal) =>
        new Promise((resolve) => {
          if (signal?.aborted === true) {
            resolve();
            return;
          }
          const finish = () => {
            signal?.removeEventListener('abort', finish);
            resolve();
          };
          // Not before the deadline on this process's own clock.
          deliverAt(Math.ceil(startedAt + deadline / rate) + 1, finish);
          signal?.addEventListener('abort', finish, {once: true});
        }),
    },
  };
}
