/**
 * Hands the view on at a steady beat, changed or not: who uses it must know
 * that it is current, and a process that was paused must not act on what it
 * believed before.
 */
import type * as membership from '@gypsumwall/membership';
import * as types from '@gypsumwall/types';

/** What the ticker needs. */
export interface ViewTickerOptions {
  readonly clock: types.clock.Clock;
  readonly intervalMs: number;
  /** A longer gap between two beats means that this process was paused. */
  readonly pauseThresholdMs: number;
  /** Time that a fetch of the list takes at most. */
  readonly maxFetchMs: number;
  readonly view: () => membership.domainView.DomainView;
  readonly onView: (view: membership.domainView.DomainView) => void;
}

/**
 * Beats until the signal aborts. After a pause the view waits until the list
 * was fetched anew, or could not be: an outage of the list must not stop an
 * entry that is cut off from the platform.
 */
export async function tickView(
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
