/**
 * What is known of a worker's clock, and from when on a lease on it has surely
 * passed. Each answer carries a reading; on receipt the worker's clock shows
 * that or more. Its rate may be slow by the given share.
 */
import * as types from '@gypsumwall/types';

/** A worker's clock may be this much slow, as the platform tells. */
const MIN_CLOCK_RATE = 0.98;
/** For the granularity of timers on both sides; milliseconds. */
const TIMER_MARGIN_MS = 150;

/** One worker's clock and lease. */
export interface WorkerClock {
  recordReading(clockMs: number, now: types.clock.MonotonicMs): void;
  /** A lower bound of what the clock shows; undefined before a reading. */
  lowerBound(now: types.clock.MonotonicMs): number | undefined;
  /** Notes a lease that was sent, whether or not it was answered. */
  recordLease(until: number): void;
  /** Whether every lease that was sent has surely passed. */
  hasLeaseExpired(now: types.clock.MonotonicMs): boolean;
}

/** Creates the view of a clock of which nothing is known. */
export function createWorkerClock(): WorkerClock {
  let reading: {clockMs: number; at: types.clock.MonotonicMs} | undefined;
  let leaseUntil: number | undefined;

  return {
    recordReading(clockMs, now) {
      reading = {clockMs, at: now};
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
