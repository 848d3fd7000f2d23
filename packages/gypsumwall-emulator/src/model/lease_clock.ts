/** A worker's local clock and the lease that is measured on it. */
import * as types from '@gypsumwall/types';

/** A worker's clock with its lease. */
export interface LeaseClock {
  /** Returns the clock's reading, in whole milliseconds. */
  readMs(): number;
  /**
   * Extends the lease to the given reading of this clock, but at most
   * `maxLeaseMs` from now. The lease never gets shorter.
   */
  extend(until: number | undefined): void;
  /** Returns when the lease ends, on the platform's clock. */
  endsAt(): types.clock.MonotonicMs;
}

/** Options of {@link createLeaseClock}. */
export interface LeaseClockOptions {
  readonly clock: types.clock.Clock;
  /** Milliseconds that pass on this clock per millisecond of the platform's. */
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
