/** A worker's own clock, on which its lease is measured. */
import * as types from '@gypsumwall/types';

/** A clock and the lease on it. */
export interface LeaseClock {
  /** The reading, in whole milliseconds. */
  readMs(): number;
  /** Moves the lease; it never gets shorter, nor longer than the most. */
  extend(until: number | undefined): void;
  /** The moment of the lease's end on the platform's clock. */
  endsAt(): types.clock.MonotonicMs;
}

/** What the clock is made with. */
export interface LeaseClockOptions {
  readonly clock: types.clock.Clock;
  /** Milliseconds on this clock for one of the platform's. */
  readonly rate: number;
  readonly initialReadingMs: number;
  readonly maxLeaseMs: number;
}

/** Creates a clock without a lease. */
export function createLeaseClock(options: LeaseClockOptions): LeaseClock {
  const {clock, rate, initialReadingMs, maxLeaseMs} = options;
  const createdAt = clock.monotonic();
  let leaseUntil = initialReadingMs;

  const exactReadingMs = () =>
    initialReadingMs + (clock.monotonic() - createdAt) * rate;

  return {
    readMs: () => Math.floor(exactReadingMs()),
    extend(until) {
      if (until === undefined) return;
      const cappedUntil = Math.min(until, exactReadingMs() + maxLeaseMs);
      leaseUntil = Math.max(leaseUntil, cappedUntil);
    },
    endsAt: () =>
      types.clock.after(createdAt, (leaseUntil - initialReadingMs) / rate),
  };
}
