/**
 * Publishes the view at regular intervals, changed or not. Its users must know
 * that it is current, and a process that was paused must not act on the view
 * from before the pause.
 */
import type * as membership from '@gypsumwall/membership';
import * as types from '@gypsumwall/types';

/** Options of `tickView`. */
export interface ViewTickerOptions {
  readonly clock: types.clock.Clock;
  readonly intervalMs: number;
  /** A longer gap between two ticks means that this process was paused. */
  readonly pauseThresholdMs: number;
  /** Longest time that a fetch of the list takes. */
  readonly maxFetchMs: number;
  readonly view: () => membership.domainView.DomainView;
  readonly onView: (view: membership.domainView.DomainView) => void;
}

/**
 * Publishes until the signal aborts. After a pause it holds the view back until
 * the list was fetched again or the fetch has timed out. The timeout keeps an
 * entry working that is cut off from the platform.
 */
export async function publishView(
  options: ViewTickerOptions,
  signal: AbortSignal,
): Promise<void> {
  const {clock} = options;
  let lastTickAt = clock.monotonic();
  let resumedAt = lastTickAt;
  while (!signal.aborted) {
    const now = clock.monotonic();
    if (now > types.clock.after(lastTickAt, options.pauseThresholdMs))
      resumedAt = now;
    lastTickAt = now;
    const view = options.view();
    const wasFetched = (view.listFetchedAt ?? -Infinity) >= resumedAt;
    const hasFetchTimedOut =
      now >= types.clock.after(resumedAt, options.maxFetchMs);
    if (wasFetched || hasFetchTimedOut) options.onView(view);
    await clock.sleepUntil(types.clock.after(now, options.intervalMs), signal);
  }
}
