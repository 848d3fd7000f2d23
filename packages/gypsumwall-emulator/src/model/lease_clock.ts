/** A worker's own clock, on which its lease is measured. */
import * as types from '@gypsumwall/types';

/** A clock and the lease on it. */
export interface LeaseClock {
  /** The reading, in whole milliseconds. */
  read(): number;
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
  readonly startsAt: number;
  readonly longestMs: number;
}

/** Creates a clock without a lease. */
export function createLeaseClock(options: LeaseClockOptions): LeaseClock {
  const {clock, rate, startsAt, longestMs} = options;
  const bornAt = clock.monotonic();
  let leaseUntil = startsAt;

  const exact = () => startsAt + (clock.monotonic() - bornAt) * rate;

  return {
    read: () => Math.floor(exact()),
    extend(until) {
      if (until === undefined) return;
      const capped = Math.min(until, exact() + longestMs);
      leaseUntil = Math.max(leaseUntil, capped);
    },
    endsAt: () => types.clock.after(bornAt, (leaseUntil - startsAt) / rate),
  };
}
