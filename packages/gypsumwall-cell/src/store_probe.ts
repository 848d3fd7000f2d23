/**
 * Looks for the return of a store that doesn't answer. The calls that wait for
 * an answer of it learn of its return when their own time is up, which takes
 * up to 1.2 s; callers have 3 s in all. So short reads are sent one after the
 * other without waiting for the earlier ones, and the first answer wakes all.
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import type * as logFollower from './log_follower.js';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';

/**
 * Pause between two looks. With callers that try again within a second, each
 * tenth of a second later costs one in thirty of their tries; at ten reads a
 * second an outage costs no more reads than an ordinary second; milliseconds.
 */
const LOOK_PAUSE_MS = 100;
/** How often it is checked whether the store is away; milliseconds. */
const CHECK_PAUSE_MS = 250;

/**
 * Without an answer for so long the store was away, and its next answer is its
 * return. A slow one answers short reads all the while though long ones are
 * given up: whoever failed then must not try again at each answer, since that
 * makes it slower still; milliseconds.
 */
const AWAY_MS = 400;

/** What a probe works on. */
export interface StoreProbeParts {
  readonly log: ports.KeyedLog;
  readonly follower: logFollower.LogFollower;
  readonly storeHealth: storeHealth.StoreHealth;
  readonly clock: types.clock.Clock;
}

/** Looks whenever the log's follower gets no answer, until the abort. */
export async function runStoreProbe(
  {log, follower, storeHealth: pulse, clock}: StoreProbeParts,
  signal: AbortSignal,
): Promise<void> {
  let answeredAt = clock.monotonic();

  async function look(from: number): Promise<void> {
    const sentAt = clock.monotonic();
    const answer = await log.probe(from);
    if (result.isErr(answer)) return;
    const now = clock.monotonic();
    pulse.noteRead(sentAt, now);
    if (now - answeredAt >= AWAY_MS) pulse.noteReturn();
    answeredAt = now;
  }

  let away = false;
  while (!signal.aborted) {
    const pauseMs = away ? LOOK_PAUSE_MS : CHECK_PAUSE_MS;
    await types.clock.sleepFor(clock, pauseMs, signal);
    away = follower.reachableSince() === undefined;
    if (!away) answeredAt = clock.monotonic();
    const position = follower.position();
    if (!away || position === undefined || signal.aborted) continue;
    void look(position);
  }
}
