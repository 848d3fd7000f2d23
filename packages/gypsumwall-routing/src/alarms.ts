/**
 * Many moments on few timers. Each request waits for moments that mostly
 * never come; a timer and an abort signal for each cost more than all else
 * that is decided about it.
 */
import type * as types from '@gypsumwall/types';

/** A moment that is waited for. */
export interface Alarm {
  /** It won't ring any more; no harm when it has rung. */
  cancel(): void;
}

/** Rings at moments, at most `GRAIN_MS` late. */
export interface Alarms {
  set(at: types.clock.MonotonicMs, ring: () => void): Alarm;
}

/** Moments within this many milliseconds of each other share a timer. */
export const GRAIN_MS = 10;

/**
 * Makes one without alarms. When `closing` aborts, all ring at once: no timer
 * keeps the process from ending.
 */
export function createAlarms(
  clock: types.clock.Clock,
  closing: AbortSignal,
): Alarms {
  const ringsAt = new Map<number, Set<() => void>>();

  const ringTogether = async (grain: number, rings: Set<() => void>) => {
    const at = (grain * GRAIN_MS) as types.clock.MonotonicMs;
    await clock.sleepUntil(at, closing);
    ringsAt.delete(grain);
    for (const ring of rings) ring();
  };
  return {
    set: (at, ring) => {
      const soonest = Math.max(at, clock.monotonic());
      const grain = Math.ceil(soonest / GRAIN_MS);
      let rings = ringsAt.get(grain);
      if (rings === undefined) {
        rings = new Set();
        ringsAt.set(grain, rings);
        void ringTogether(grain, rings);
      }
      const own = rings;
      own.add(ring);
      return {cancel: () => void own.delete(ring)};
    },
  };
}
