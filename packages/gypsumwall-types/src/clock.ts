/**
 * Interface of the clock. Code gets its clock as an argument, so that tests and
 * benchmarks can run it on a virtual clock.
 */

/** A moment on this process's monotonic clock, in milliseconds. */
export type MonotonicMs = number & {readonly __unit: 'MonotonicMs'};

/** A moment on the wall clock, in milliseconds since the Unix epoch. */
export type WallMs = number & {readonly __unit: 'WallMs'};

/** Source of the current time, and of delays. */
export interface Clock {
  /**
   * Monotonic time, for deadlines and durations. It can't be compared with that
   * of another process.
   */
  monotonic(): MonotonicMs;
  /**
   * Wall-clock time, for display and for job deadlines. No safety property may
   * depend on it.
   */
  wall(): WallMs;
  /** Resolves at the deadline, or at once when `signal` aborts. */
  sleepUntil(deadline: MonotonicMs, signal?: AbortSignal): Promise<void>;
}

/** Returns the moment `spanMs` after `from`, on the same clock. */
export function after<Moment extends number>(
  from: Moment,
  spanMs: number,
): Moment {
  return (from + spanMs) as Moment;
}

/**
 * Reason of an abort that only ends a wait. Without a reason, each abort creates
 * an error with its stack trace.
 */
export const WAIT_ENDED = null;

/** Waits for `spanMs`, or until the signal aborts. */
export function sleepFor(
  clock: Clock,
  spanMs: number,
  signal?: AbortSignal,
): Promise<void> {
  return clock.sleepUntil(after(clock.monotonic(), spanMs), signal);
}

/** Creates a clock that reads the real time of this process. */
export function createSystemClock(): Clock {
  return {
    monotonic: () => performance.now() as MonotonicMs,
    wall: () => Date.now() as WallMs,
    sleepUntil: (deadline, signal) => sleepUntil(deadline, signal),
  };
}

/** Maximum delay of a Node timer; a longer one overflows and fires at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

function sleepUntil(deadline: MonotonicMs, signal?: AbortSignal) {
  return new Promise<void>((resolve) => {
    if (signal?.aborted === true) {
      resolve();
      return;
    }
    const spanMs = Math.max(0, deadline - performance.now());
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, Math.min(spanMs, MAX_TIMER_MS));
    signal?.addEventListener('abort', finish, {once: true});
  });
}
