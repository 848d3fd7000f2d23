/**
 * Estimates a worker's clock, and when a lease on it has expired for certain.
 * Each answer contains a reading; when it arrives, the worker's clock shows
 * that or more. The worker's clock may be slow by a limited rate.
 */
import * as types from '@gypsumwall/types';

/** Minimum rate of a worker's clock, as specified by the platform. */
const MIN_CLOCK_RATE = 0.98;
/** Allowance for the granularity of timers on both sides; milliseconds. */
const TIMER_MARGIN_MS = 150;

/** The clock and the lease of one worker. */
export interface WorkerClock {
  recordReading(
    clockMs: number,
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
  ): void;
  /**
   * A lower bound of the worker's clock; undefined before the first reading.
   */
  lowerBound(now: types.clock.MonotonicMs): number | undefined;
  /**
   * The worker's clock if it is not slow. Counts a suspension of this process,
   * during which the monotonic clock stops. Undefined before the first reading.
   */
  estimate(
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
  ): number | undefined;
  /** Records a lease that was sent, whether or not it was answered. */
  recordLease(until: number): void;
  /** Whether every lease that was sent has expired for certain. */
  hasLeaseExpired(now: types.clock.MonotonicMs): boolean;
}

/** Creates the estimate before the first reading. */
export function createWorkerClock(): WorkerClock {
  let reading:
    | {
        readonly clockMs: number;
        readonly at: types.clock.MonotonicMs;
        readonly wall: types.clock.WallMs;
      }
    | undefined;
  let leaseUntil: number | undefined;

  return {
    recordReading(clockMs, now, wall) {
      reading = {clockMs, at: now, wall};
    },
    estimate(now, wall) {
      if (reading === undefined) return undefined;
      return reading.clockMs + Math.max(now - reading.at, wall - reading.wall);
    },
    lowerBound(now) {
      if (reading === undefined) return undefined;
      return reading.clockMs + (now - reading.at) * MIN_CLOCK_RATE;
    },
    recordLease(until) {
      leaseUntil = Math.max(leaseUntil ?? 0, until);
    },
    hasLeaseExpired(now) {
      if (leaseUntil === undefined) return true;
      if (reading === undefined) return false;
      const elapsed = (now - reading.at - TIMER_MARGIN_MS) * MIN_CLOCK_RATE;
      return reading.clockMs + elapsed > leaseUntil;
    },
  };
}
