/**
 * Detects when an unavailable store recovers. Calls that wait for an answer
 * notice it only after their own timeout, which is up to 1.2 s, and callers
 * have 3 s in all. So the probe sends short reads without waiting for the
 * earlier ones, and the first answer notifies all waiting calls.
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import type * as logFollower from './log_follower.js';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';

/**
 * Interval between two probes. Callers retry within a second, so each tenth of
 * a second of delay costs one in thirty of their tries. With ten reads a second
 * an outage costs no more reads than normal operation; milliseconds.
 */
const PROBE_INTERVAL_MS = 100;
/**
 * Interval at which it is checked whether the store is unavailable;
 * milliseconds.
 */
const CHECK_INTERVAL_MS = 250;

/**
 * If there was no answer for this long, the next one counts as a recovery. A
 * slow store still answers short reads while long ones time out. Calls that
 * failed must not be retried at each of these answers, because that would slow
 * the store down further; milliseconds.
 */
const MIN_OUTAGE_MS = 400;

/** Dependencies of a store probe. */
export interface StoreProbeParts {
  readonly log: ports.KeyedLog;
  readonly follower: logFollower.LogFollower;
  readonly storeHealth: storeHealth.StoreHealth;
  readonly clock: types.clock.Clock;
}

/**
 * Probes the store while the log's follower gets no answer, until the signal
 * aborts.
 */
export async function runStoreProbe(
  {log, follower, storeHealth: health, clock}: StoreProbeParts,
  signal: AbortSignal,
): Promise<void> {
  let answeredAt = clock.monotonic();

  async function probe(from: number): Promise<void> {
    const sentAt = clock.monotonic();
    const answer = await log.probe(from);
    if (result.isErr(answer)) return;
    const now = clock.monotonic();
    health.recordRead({sentAt, answeredAt: now, waitMs: 0, isEmpty: true});
    if (now - answeredAt >= MIN_OUTAGE_MS) health.recordRecovery();
    answeredAt = now;
  }

  let isUnavailable = false;
  while (!signal.aborted) {
    const pauseMs = isUnavailable ? PROBE_INTERVAL_MS : CHECK_INTERVAL_MS;
    await types.clock.sleepFor(clock, pauseMs, signal);
    isUnavailable = follower.reachableSince() === undefined;
    if (!isUnavailable) answeredAt = clock.monotonic();
    const position = follower.position();
    if (!isUnavailable || position === undefined || signal.aborted) continue;
    void probe(position);
  }
}
