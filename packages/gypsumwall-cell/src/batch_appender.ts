/**
 * Group commit for one log: records that arrive while an append is in flight
 * are sent with the next one. Only one batch is in flight, because the store
 * handles the appends of a log one by one. When the store is sixty times slower
 * than usual, a few more appends of each entry make a queue of several seconds,
 * and the store then refuses all appends. A record that can't be sent in time is
 * refused here: its caller can then try elsewhere, and is promised that the call
 * has no effect.
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as hedge from './hedge.js';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';

/** Maximum number of records in one call. */
const MAX_BATCH_RECORDS = 200;
/**
 * Timeout of one call; hedging may send further calls meanwhile; milliseconds.
 */
const CALL_TIMEOUT_MS = 2_000;
/**
 * Pause after the store has refused a batch, doubled after each further refusal
 * up to the maximum; milliseconds.
 */
const FIRST_REFUSAL_PAUSE_MS = 40;
const MAX_REFUSAL_PAUSE_MS = 160;
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

/** Deadlines of one record. */
export interface AppendDeadlines {
  /** A record that hasn't been sent by then is refused. */
  readonly sendBy: types.clock.MonotonicMs;
  /** When a call with the record is given up. */
  readonly until: types.clock.MonotonicMs;
}

/** Appends single records. */
export interface BatchAppender {
  /**
   * Resolves with the outcome of the calls that contained the record, or with an
   * error of the kind `too_late` if none was sent: at once if it is known that
   * none can be in time.
   */
  append(
    entry: ports.KeyedEntry,
    deadlines: AppendDeadlines,
  ): ports.Answer<ports.AppendOutcome>;
  /** When a record that comes now would be sent, in milliseconds from now. */
  waitMs(): number;
  /**
   * Recent latency of appends, or the age of the open one if that is larger, in
   * milliseconds. Undefined without a recent append, infinite after a refusal.
   */
  latencyMs(): number | undefined;
}

interface PendingAppend extends AppendDeadlines {
  readonly entry: ports.KeyedEntry;
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
  let refusalPauseMs = FIRST_REFUSAL_PAUSE_MS;
  /** Ordered by the deadlines for sending. */
  let pending: PendingAppend[] = [];
  let sentAt: types.clock.MonotonicMs | undefined;
  let isSendScheduled = false;
  let isDroppingLate = false;

  async function send(batch: readonly PendingAppend[]): Promise<void> {
    sentAt = clock.monotonic();
    const entries = batch.map((one) => one.entry);
    const until = types.lists.maxOf(batch.map((one) => one.until));
    const answer = await hedger.hedge({
      until: until as types.clock.MonotonicMs,
      call: () => log.append(entries, {timeoutMs: CALL_TIMEOUT_MS}),
      shouldGiveUp: parts.isStoreUnavailable,
      // The next try contains the records that have arrived meanwhile.
      isRefusalFinal: () => true,
    });
    sentAt = undefined;
    const isRefused = result.isErr(answer) && answer.error.effect === 'not_run';
    if (isRefused) refusedAt = clock.monotonic();
    else refusalPauseMs = FIRST_REFUSAL_PAUSE_MS;
    if (isRefused && !parts.canForward()) {
      await sendAgain(batch, answer);
      return;
    }
    if (result.isOk(answer) && answer.value.type === 'appended')
      parts.onAppended(entries, answer.value.firstOffset);
    for (const one of batch) one.resolve(answer);
    sendNext();
  }

  /** Sends a refused batch again after a pause, without what is late by then. */
  async function sendAgain(
    batch: readonly PendingAppend[],
    refusal: Awaited<ports.Answer<ports.AppendOutcome>>,
  ): Promise<void> {
    const now = clock.monotonic();
    const isOver = parts.isStoreUnavailable();
    const given = batch.filter(({sendBy}) => isOver || sendBy <= now);
    for (const one of given) one.resolve(refusal);
    pending = [...batch.filter((one) => !given.includes(one)), ...pending];
    void dropLate();
    isSendScheduled = true;
    const pauseMs = refusalPauseMs;
    refusalPauseMs = Math.min(MAX_REFUSAL_PAUSE_MS, refusalPauseMs * 2);
    await types.clock.sleepFor(clock, pauseMs);
    sendNext();
  }

  function sendNext(): void {
    isSendScheduled = false;
    if (pending.length === 0 || sentAt !== undefined) return;
    const batch = pending.slice(0, MAX_BATCH_RECORDS);
    pending = pending.slice(MAX_BATCH_RECORDS);
    void send(batch);
    void dropLate();
  }

  /** Refuses pending records at their deadlines. */
  async function dropLate(): Promise<void> {
    if (isDroppingLate) return;
    isDroppingLate = true;
    while (pending.length > 0) {
      await clock.sleepUntil(pending[0]!.sendBy);
      const now = clock.monotonic();
      const late = pending.filter(({sendBy}) => sendBy <= now);
      pending = pending.filter(({sendBy}) => sendBy > now);
      for (const one of late) one.resolve(result.err(TOO_LATE));
    }
    isDroppingLate = false;
  }

  /** How long the open call takes from now on, judged by earlier ones. */
  function openCallMs(): number {
    if (sentAt === undefined) return 0;
    const openMs = clock.monotonic() - sentAt;
    const usualMs = hedger.latencyMs() ?? 0;
    // One that takes longer than usual is expected to take as long again.
    return openMs < usualMs ? usualMs - openMs : openMs;
  }

  function waitMs(): number {
    const batchesAhead = Math.floor(pending.length / MAX_BATCH_RECORDS);
    return openCallMs() + batchesAhead * (hedger.latencyMs() ?? 0);
  }

  return {
    append(entry, deadlines) {
      if (clock.monotonic() + waitMs() > deadlines.sendBy)
        return Promise.resolve(result.err(TOO_LATE));
      return new Promise((resolve) => {
        pending.push({entry, ...deadlines, resolve});
        if (sentAt !== undefined) void dropLate();
        if (isSendScheduled) return;
        isSendScheduled = true;
        // Records that arrive in the same turn of the event loop join this
        // batch.
        setImmediate(sendNext);
      });
    },
    waitMs,
    latencyMs() {
      if (clock.monotonic() - refusedAt < REFUSAL_MEMORY_MS) return Infinity;
      const recentMs = hedger.latencyMs();
      if (sentAt === undefined) return recentMs;
      return Math.max(clock.monotonic() - sentAt, recentMs ?? 0);
    },
  };
}

const TOO_LATE: types.stepError.StepError = {
  kind: 'too_late',
  step: 'batch append',
  peer: '',
  effect: 'not_run',
  message: 'the appends before it take too long',
};
