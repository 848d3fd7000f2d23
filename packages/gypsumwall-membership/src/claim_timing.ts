/**
 * Spans of the claim protocol. No wall clock takes part: the holder counts
 * from before it sent, everybody else from when it read, each on its own
 * monotonic clock.
 */
import * as types from '@gypsumwall/types';

/**
 * How much faster one process's clock may run than another's: 1.01 is 1%,
 * some hundred times what a crystal drifts. The holder shortens its spans by
 * it, so that nobody else's clock can run past the holder's deadline first.
 */
export const CLOCK_DRIFT_FACTOR = 1.01;

/** The holder renews through the log this many times in a ttl. */
export const RENEWALS_PER_TTL = 3;

/** How long, as a share of the ttl, an append or a peer is waited for. */
export const CALL_TIMEOUTS_PER_TTL = 6;

/** Default of `allGoneMs`, as a multiple of the ttl. */
export const DEFAULT_ALL_GONE_TTLS = 50;

/** The deadline a holder gives itself for a span that others count too. */
export function holderDeadline(
  sentAt: types.clock.MonotonicMs,
  spanMs: number,
): types.clock.MonotonicMs {
  return types.clock.after(sentAt, spanMs / CLOCK_DRIFT_FACTOR);
}

/**
 * What a taker's wait for `all_gone` exceeds the holder's patience by, in
 * list lags: the holder's list may show it that long after it was dropped,
 * the taker's list may lack it that long after it came back, and the taker's
 * list may have been fetched that long ago.
 */
const ALL_GONE_MARGIN_LIST_LAGS = 3;

/**
 * Until when a holder may go on by promises after the log or the list last
 * proved that the platform sees it.
 */
export function unconfirmedDeadline(
  provedAt: types.clock.MonotonicMs,
  allGoneMs: number,
  listLagMs: number,
): types.clock.MonotonicMs {
  const spanMs = allGoneMs - ALL_GONE_MARGIN_LIST_LAGS * listLagMs;
  return holderDeadline(provedAt, Math.max(0, spanMs));
}
