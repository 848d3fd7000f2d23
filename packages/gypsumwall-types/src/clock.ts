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
  /**
   * Waits by the signal that ends them. A signal has one listener for all its
   * waits, since a listener costs many times the processor time of a timer.
   */
  const waitsBySignal = new WeakMap<AbortSignal, Set<() => void>>();

  function waitsOf(signal: AbortSignal): Set<() => void> {
    const known = waitsBySignal.get(signal);
    if (known !== undefined) return known;
    const waits = new Set<() => void>();
    const endAll = () => {
      for (const end of waits) end();
    };
    signal.addEventListener('abort', endAll, {once: true});
    waitsBySignal.set(signal, waits);
    return waits;
  }

  function sleepUntil(
    deadline: MonotonicMs,
    signal?: AbortSignal,
  ): Promise<void> {
    if (signal?.aborted === true) return Promise.resolve();
    return new Promise<void>((resolve) => {
      // A fraction changes no timer's end but takes a queue of its own.
      const spanMs = Math.ceil(Math.max(0, deadline - performance.now()));
      const waits = signal && waitsOf(signal);
      const end = () => {
        clearTimeout(timer);
        waits?.delete(end);
        resolve();
      };
      const timer = setTimeout(end, Math.min(spanMs, MAX_TIMER_MS));
      waits?.add(end);
    });
  }

  return {
    monotonic: () => performance.now() as MonotonicMs,
    wall: () => Date.now() as WallMs,
    sleepUntil,
  };
}

/** Maximum delay of a Node timer; a longer one overflows and fires at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;
