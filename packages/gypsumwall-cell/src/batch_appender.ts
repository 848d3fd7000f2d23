/**
 * Group commit for one log: what comes while an append is on its way goes
 * with the next one. One batch at a time: the store handles the appends of a
 * log one by one, and when it is sixty times slower than usual, a few more of
 * each entry make a line of seconds, at which it refuses them all.
 */
import * as result from 'true-myth/result';
import type * as types from '@gypsumwall/types';
import * as hedge from './hedge.js';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';

/** The most records in one call. */
const MAX_BATCH_RECORDS = 200;
/** Time given to one call; others are sent meanwhile, see hedging. */
const CALL_TIMEOUT_MS = 2_000;
/** How long a refusal counts as the store's pace; milliseconds. */
const REFUSAL_MEMORY_MS = 1_000;

/** What an appender is made with. */
export interface BatchAppenderParts {
  readonly log: ports.KeyedLog;
  readonly clock: types.clock.Clock;
  readonly storeHealth: storeHealth.StoreHealth;
  readonly isStoreUnavailable: () => boolean;
  /** Whether another entry may append what the store refuses here. */
  readonly canForward: () => boolean;
}

/** Appends single records. */
export interface BatchAppender {
  /** Resolves with the fate of the calls that carried the record. */
  append(
    entry: ports.KeyedEntry,
    until: types.clock.MonotonicMs,
  ): ports.Answer<ports.AppendOutcome>;
  /**
   * What appends took lately, or the open one until now, in milliseconds;
   * undefined if there was none lately, infinite if one was refused.
   */
  latencyMs(): number | undefined;
}

interface PendingAppend {
  readonly entry: ports.KeyedEntry;
  readonly until: types.clock.MonotonicMs;
  readonly resolve: (
    answer: Awaited<ports.Answer<ports.AppendOutcome>>,
  ) => void;
}

/**
 * Creates the appender of a log. Once the store is known to be away, an append
 * that was sent before is given up with its effect unknown: its caller has 3 s
 * for five tries, and was held for 2.4 s of them.
 */
export function createBatchAppender(parts: BatchAppenderParts): BatchAppender {
  const {log, clock} = parts;
  const hedger = hedge.createHedger(clock, parts.storeHealth);
  let refusedAt = -Infinity;
  let pending: PendingAppend[] = [];
  let sentAt: types.clock.MonotonicMs | undefined;
  let isSendScheduled = false;

  async function send(batch: readonly PendingAppend[]): Promise<void> {
    sentAt = clock.monotonic();
    const entries = batch.map((one) => one.entry);
    const until = Math.max(...batch.map((one) => one.until));
    const answer = await hedger.hedge({
      until: until as types.clock.MonotonicMs,
      call: () => log.append(entries, {timeoutMs: CALL_TIMEOUT_MS}),
      shouldGiveUp: parts.isStoreUnavailable,
      isRefusalFinal: parts.canForward,
    });
    sentAt = undefined;
    if (result.isErr(answer) && answer.error.effect === 'not_run') {
      refusedAt = clock.monotonic();
    }
    for (const one of batch) one.resolve(answer);
    sendNext();
  }

  function sendNext(): void {
    isSendScheduled = false;
    if (pending.length === 0 || sentAt !== undefined) return;
    const batch = pending.slice(0, MAX_BATCH_RECORDS);
    pending = pending.slice(MAX_BATCH_RECORDS);
    void send(batch);
  }

  return {
    append(entry, until) {
      return new Promise((resolve) => {
        pending.push({entry, until, resolve});
        if (isSendScheduled) return;
        isSendScheduled = true;
        // What the same turn of the event loop brings goes along.
        setImmediate(sendNext);
      });
    },
    latencyMs() {
      if (clock.monotonic() - refusedAt < REFUSAL_MEMORY_MS) return Infinity;
      const recentMs = hedger.latencyMs();
      if (sentAt === undefined) return recentMs;
      return Math.max(clock.monotonic() - sentAt, recentMs ?? 0);
    },
  };
}
