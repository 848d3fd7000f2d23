/**
 * Durations of the claim protocol. The protocol uses no wall clock: each
 * process counts on its own monotonic clock, the holder from before it sent a
 * renewal and all other processes from when they read it.
 */
import * as types from '@gypsumwall/types';

/**
 * How much faster one process's clock may run than another's. 1.01 is 1%,
 * about a hundred times the drift of a crystal oscillator. The holder divides
 * its durations by this factor, so that its deadline passes before any other
 * process counts the full duration.
 */
export const CLOCK_DRIFT_FACTOR = 1.01;

/** How many times per ttl the holder renews its claim through the log. */
export const RENEWALS_PER_TTL = 3;

/** The ttl divided by this is the timeout of an append or a peer call. */
export const CALL_TIMEOUTS_PER_TTL = 6;

/** Default of `allGoneMs`, as a multiple of the ttl. */
export const DEFAULT_ALL_GONE_TTLS = 50;

/** The holder's own deadline for a duration that other processes also count. */
export function holderDeadline(
  sentAt: types.clock.MonotonicMs,
  durationMs: number,
): types.clock.MonotonicMs {
  return types.clock.after(sentAt, durationMs / CLOCK_DRIFT_FACTOR);
}

/**
 * How much longer a taker waits for `all_gone` than a holder continues without
 * confirmation, in list lags. Each of these can take one list lag: the
 * holder's list still shows the holder after its removal, the taker's list
 * doesn't yet show it after its return, and the taker's list was fetched some
 * time ago.
 */
const ALL_GONE_MARGIN_LIST_LAGS = 3;

/**
 * Until when a holder may renew by promises alone, after the log or the list
 * last proved at `provedAt` that the platform sees it.
 */
export function unconfirmedDeadline(
  provedAt: types.clock.MonotonicMs,
  allGoneMs: number,
  listLagMs: number,
): types.clock.MonotonicMs {
  const durationMs = allGoneMs - ALL_GONE_MARGIN_LIST_LAGS * listLagMs;
  return holderDeadline(provedAt, Math.max(0, durationMs));
}
