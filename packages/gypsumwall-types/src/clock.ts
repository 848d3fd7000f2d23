/**
 * Clocks and waiting are handed in, so that a test or another bench can drive
 * the same code on a time of its own.
 */

/** A moment on this process's monotonic clock, in milliseconds. */
export type MonotonicMs = number & {readonly __unit: 'MonotonicMs'};

/** A moment on the wall clock, in milliseconds since the Unix epoch. */
export type WallMs = number & {readonly __unit: 'WallMs'};

/** Reads time and waits. */
export interface Clock {
  /** Never runs backwards; says nothing to another process. */
  monotonic(): MonotonicMs;
  /** For people and for job deadlines; never for safety. */
  wall(): WallMs;
  /** Resolves at the deadline, or at once when `signal` aborts. */
  sleepUntil(deadline: MonotonicMs, signal?: AbortSignal): Promise<void>;
}

/** The moment `spanMs` after another on the same clock. */
export function after<Moment extends number>(
  from: Moment,
  spanMs: number,
): Moment {
  return (from + spanMs) as Moment;
}

/** Waits for a span from now, or less when the signal aborts. */
export function sleepFor(
  clock: Clock,
  spanMs: number,
  signal?: AbortSignal,
): Promise<void> {
  return clock.sleepUntil(after(clock.monotonic(), spanMs), signal);
}

/** The real clock of this process. */
export function createSystemClock(): Clock {
  return {
    monotonic: () => performance.now() as MonotonicMs,
    wall: () => Date.now() as WallMs,
    sleepUntil: (deadline, signal) => sleepUntil(deadline, signal),
  };
}

/** Timers above this many milliseconds overflow in Node and fire at once. */
const LONGEST_TIMER_MS = 2 ** 31 - 1;

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
    const timer = setTimeout(finish, Math.min(spanMs, LONGEST_TIMER_MS));
    signal?.addEventListener('abort', finish, {once: true});
  });
}
