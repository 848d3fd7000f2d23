/**
 * Shares few clock timers among many timeouts. Every request has timeouts, most
 * of which are cancelled before they expire. A clock timer with an abort signal
 * for each would cost more than all other routing decisions on the request.
 */
import type * as types from '@gypsumwall/types';

/** A timeout that was set. */
export interface SharedTimer {
  /** Cancels the timeout; has no effect after it has expired. */
  cancel(): void;
}

/** Calls callbacks at given times, at most `RESOLUTION_MS` late. */
export interface SharedTimers {
  set(at: types.clock.MonotonicMs, callback: () => void): SharedTimer;
}

/** Times are rounded up to multiples of this, and equal ones share a timer. */
export const RESOLUTION_MS = 10;

/**
 * Creates timers without any callbacks. When `closing` aborts, all callbacks
 * are called at once, so that no timer keeps the process running.
 */
export function createSharedTimers(
  clock: types.clock.Clock,
  closing: AbortSignal,
): SharedTimers {
  const callbacksByTick = new Map<number, Set<() => void>>();

  const fireTick = async (tick: number, callbacks: Set<() => void>) => {
    const at = (tick * RESOLUTION_MS) as types.clock.MonotonicMs;
    await clock.sleepUntil(at, closing);
    callbacksByTick.delete(tick);
    for (const callback of callbacks) callback();
  };
  return {
    set: (at, callback) => {
      const earliest = Math.max(at, clock.monotonic());
      const tick = Math.ceil(earliest / RESOLUTION_MS);
      let callbacks = callbacksByTick.get(tick);
      if (callbacks === undefined) {
        callbacks = new Set();
        callbacksByTick.set(tick, callbacks);
        void fireTick(tick, callbacks);
      }
      const tickCallbacks = callbacks;
      tickCallbacks.add(callback);
      return {cancel: () => void tickCallbacks.delete(callback)};
    },
  };
}
