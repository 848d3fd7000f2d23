/**
 * Group commit for one log: what comes while an append is on its way goes
 * with the next one. One batch at a time: the store handles the appends of a
 * log one by one, and when it is sixty times slower than usual, a few more of
 * each entry make a line of seconds, at which it refuses them all.
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as hedge from './hedge.js';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';

/** The most records in one call. */
const MOST_RECORDS = 200;
/** Time given to one call; others are sent meanwhile, see hedging. */
const CALL_TIMEOUT_MS = 2_000;
/**
 * How long a batch is tried, also when all in it are past their deadlines: a
 * call that is given up stays in the store's line, and the next batch would
 * stand behind it; milliseconds.
 */
const BATCH_SPAN_MS = 2_400;
/** How long a refusal counts as the store's pace; milliseconds. */
const REFUSED_LATELY_MS = 1_000;

/** What an appender is made with. */
export interface BatchAppenderParts {
  readonly log: ports.KeyedLog;
  readonly clock: types.clock.Clock;
  readonly storeHealth: storeHealth.StoreHealth;
  readonly isStoreAway: () => boolean;
  /** Whether another entry may append what the store refuses here. */
  readonly mayHandOn: () => boolean;
}

/** Appends single records. */
export interface BatchAppender {
  /**
   * Resolves with the fate of the calls that carried the record, or at the
   * deadline: with its effect unknown, or as not run if it wasn't sent by then.
   * One that can't be sent by then is refused at once.
   */
  append(
    entry: ports.KeyedEntry,
    until: types.clock.MonotonicMs,
  ): ports.Answer<ports.AppendOutcome>;
  /**
   * What appends took lately, or the open one until now, in milliseconds;
   * undefined if there was none lately, infinite if one was refused.
   */
  latencyMs(): number | undefined;
  /** When a record that comes now would be sent; milliseconds from now. */
  waitMs(): number;
}

interface Waiting {
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
  let waiting: Waiting[] = [];
  /** On their way and not given up. */
  let sent: readonly Waiting[] = [];
  let sentAt: types.clock.MonotonicMs | undefined;
  let pumpPlanned = false;
  /** Ends the wait for the next deadline. */
  let expiry: {readonly at: number; readonly end: AbortController} | undefined;

  function waitMs(): number {
    if (sentAt === undefined) return 0;
    const expectedMs = hedger.latencyMs() ?? 0;
    return Math.max(0, expectedMs - (clock.monotonic() - sentAt));
  }

  /** Gives up what is past its deadline. */
  function expire(): void {
    const now = clock.monotonic();
    const isPast = ({until}: Waiting) => until <= now;
    const late = waiting.filter(isPast);
    waiting = waiting.filter((one) => !isPast(one));
    for (const one of late) one.resolve(result.err(NOT_SENT));
    for (const one of sent.filter(isPast)) one.resolve(result.err(UNANSWERED));
    sent = sent.filter((one) => !isPast(one));
  }

  async function watchDeadlines(): Promise<void> {
    while (sent.length + waiting.length > 0) {
      const at = Math.min(...[...sent, ...waiting].map(({until}) => until));
      const end = new AbortController();
      expiry = {at, end};
      await clock.sleepUntil(at as types.clock.MonotonicMs, end.signal);
      expire();
    }
    expiry = undefined;
  }

  async function send(batch: readonly Waiting[]): Promise<void> {
    sentAt = clock.monotonic();
    sent = batch;
    if (expiry === undefined) void watchDeadlines();
    const entries = batch.map((one) => one.entry);
    const answer = await hedger.hedged({
      until: types.clock.after(sentAt, BATCH_SPAN_MS),
      call: () => log.append(entries, {timeoutMs: CALL_TIMEOUT_MS}),
      isHopeless: parts.isStoreAway,
      endsOnRefusal: parts.mayHandOn,
    });
    sentAt = undefined;
    sent = [];
    if (result.isErr(answer) && answer.error.effect === 'not_run') {
      refusedAt = clock.monotonic();
    }
    for (const one of batch) one.resolve(answer);
    pump();
    if (sentAt === undefined) expiry?.end.abort();
  }

  function pump(): void {
    pumpPlanned = false;
    if (waiting.length === 0 || sentAt !== undefined) return;
    const batch = waiting.slice(0, MOST_RECORDS);
    waiting = waiting.slice(MOST_RECORDS);
    void send(batch);
  }

  return {
    append(entry, until) {
      if (clock.monotonic() + waitMs() >= until) {
        return Promise.resolve(result.err(NOT_SENT));
      }
      return new Promise((resolve) => {
        waiting.push({entry, until, resolve});
        if (expiry !== undefined && until < expiry.at) expiry.end.abort();
        if (pumpPlanned) return;
        pumpPlanned = true;
        // What the same turn of the event loop brings goes along.
        setImmediate(pump);
      });
    },
    waitMs,
    latencyMs() {
      if (clock.monotonic() - refusedAt < REFUSED_LATELY_MS) return Infinity;
      const lately = hedger.latencyMs();
      if (sentAt === undefined) return lately;
      return Math.max(clock.monotonic() - sentAt, lately ?? 0);
    },
  };
}

const NOT_SENT: types.stepError.StepError = {
  kind: 'timeout',
  step: 'batch append',
  peer: '',
  effect: 'not_run',
  message: 'the appends before it take too long',
};

const UNANSWERED: types.stepError.StepError = {
  kind: 'timeout',
  step: 'batch append',
  peer: '',
  effect: 'unknown',
  message: 'no answer within the deadline of the call',
};
