/**
 * Group commit for one log: records that arrive while an append is in flight
 * are sent with the next one. Only one batch is in flight, because the store
 * handles the appends of a log one by one. When the store is sixty times slower
 * than usual, a few more appends of each entry make a queue of several seconds,
 * and the store then refuses all appends.
 */
import * as result from 'true-myth/result';
import type * as types from '@gypsumwall/types';
import * as hedge from './hedge.js';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';

/** Maximum number of records in one call. */
const MAX_BATCH_RECORDS = 200;
/**
 * Timeout of one call; hedging may send further calls meanwhile; milliseconds.
 */
const CALL_TIMEOUT_MS = 2_000;
/** How long a refusal counts as infinite latency of the store; milliseconds. */
const REFUSAL_MEMORY_MS = 1_000;

/** Dependencies of an appender. */
export interface BatchAppenderParts {
  readonly log: ports.KeyedLog;
  readonly clock: types.clock.Clock;
  readonly storeHealth: storeHealth.StoreHealth;
  readonly isStoreUnavailable: () => boolean;
  /** Whether another entry may append what the store refuses here. */
  readonly canForward: () => boolean;
  /** Called when the log contains entries from this offset on. */
  readonly onAppended: (
    entries: readonly ports.KeyedEntry[],
    firstOffset: number,
  ) => void;
}

/** Appends single records. */
export interface BatchAppender {
  /** Resolves with the outcome of the calls that contained the record. */
  append(
    entry: ports.KeyedEntry,
    until: types.clock.MonotonicMs,
  ): ports.Answer<ports.AppendOutcome>;
  /**
   * Recent latency of appends, or the age of the open one if that is larger, in
   * milliseconds. Undefined without a recent append, infinite after a refusal.
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
 * Creates the appender of a log. Once the store is known to be unavailable, an
 * append in flight is given up with an unknown effect: its caller has 3 s for
 * five tries, and used to be blocked for 2.4 s of them.
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
    if (result.isOk(answer) && answer.value.type === 'appended')
      parts.onAppended(entries, answer.value.firstOffset);
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
        // Records that arrive in the same turn of the event loop join this
        // batch.
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
