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
  readonly everyMs: number;
  /** A longer gap between two beats means that this process was paused. */
  readonly pauseMs: number;
  /** Time that a fetch of the list takes at most. */
  readonly fetchMs: number;
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
  let lastBeat = clock.monotonic();
  let wokeAt = lastBeat;
  while (!signal.aborted) {
    const now = clock.monotonic();
    if (now > types.clock.after(lastBeat, options.pauseMs)) wokeAt = now;
    lastBeat = now;
    const view = options.view();
    const fetchedSince = (view.listFetchedAt ?? -Infinity) >= wokeAt;
    const triedSince = now >= types.clock.after(wokeAt, options.fetchMs);
    if (fetchedSince || triedSince) options.onView(view);
    await clock.sleepUntil(types.clock.after(now, options.everyMs), signal);
  }
}
