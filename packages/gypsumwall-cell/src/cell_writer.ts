/**
 * The holder's appends to the cell's log: one batch at a time, fenced by the
 * claim's epoch and numbered, so that a batch whose answer was lost is sent
 * again and still stands once.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as hedge from './hedge.js';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';
import * as storeRecords from './store_records.js';
import * as failoverPolicy from './failover_policy.js';

/** Time given to one call; many are on their way at once, see hedging. */
const CALL_TIMEOUT_MS = 2_000;
/** An append is tried this long before it is reported and tried anew. */
const ROUND_MS = 4_000;
/**
 * Pause between batches, so that the ends of some milliseconds share a call;
 * each call is paid for, and a start waits for one at most; milliseconds.
 */
const BATCH_PAUSE_MS = 10;
/** A batch stays well below what the store takes in one call. */
const MOST_RECORDS_IN_BATCH = 500;

/** What a writer is made with. */
export interface CellWriterOptions {
  readonly log: ports.KeyedLog;
  readonly epoch: number;
  readonly storeHealth: storeHealth.StoreHealth;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  /** A higher epoch was seen: this process doesn't hold the cell any more. */
  readonly onFenced: () => void;
}

/** Writes for the holder. */
export interface CellWriter {
  /** Resolves once the records stand in the log. */
  write(records: readonly storeRecords.StoreRecord[]): Promise<void>;
  /** Sending time of the last append that was confirmed. */
  confirmedAt(): types.clock.MonotonicMs;
  /** Appends until it is stopped or fenced. */
  run(): Promise<void>;
  stop(): void;
}

interface AppendAnswer {
  readonly outcome: ports.AppendOutcome;
  /** When the call that was answered had been sent. */
  readonly askedAt: types.clock.MonotonicMs;
}

interface Pending {
  readonly records: readonly storeRecords.StoreRecord[];
  readonly resolve: () => void;
}

/** Creates the writer of a claim that was just read in the log. */
export function createCellWriter(options: CellWriterOptions): CellWriter {
  const {log, clock, logger} = options;
  const stopping = new AbortController();
  const hedger = hedge.createHedger(clock, options.storeHealth);
  let waiting: Pending[] = [];
  let wake = () => {};
  // The claim itself was sequence 0 of its epoch.
  let sequence = 1;
  let confirmedAt = clock.monotonic();

  async function append(
    records: readonly storeRecords.StoreRecord[],
  ): Promise<void> {
    const entries = records.map(storeRecords.encode);
    const fence = {epoch: options.epoch, sequence};
    while (!stopping.signal.aborted) {
      const answer = await hedger.hedged({
        signal: stopping.signal,
        until: types.clock.after(clock.monotonic(), ROUND_MS),
        call: () => appendOnce(entries, fence),
      });
      if (result.isOk(answer)) {
        const {outcome, askedAt} = answer.value;
        if (!settled(outcome)) return;
        confirmedAt = askedAt;
        sequence++;
        return;
      }
      logger.warn('cell_append_failed', {
        sequence,
        error: types.stepError.describeError(answer.error),
      });
    }
  }

  async function appendOnce(
    entries: readonly ports.KeyedEntry[],
    fence: {readonly epoch: number; readonly sequence: number},
  ): ports.Answer<AppendAnswer> {
    const askedAt = clock.monotonic();
    const timeoutMs = CALL_TIMEOUT_MS;
    const answer = await log.append(entries, {fence, timeoutMs});
    return result.map((outcome) => ({outcome, askedAt}), answer);
  }

  /** Whether the batch stands in the log. */
  function settled(outcome: ports.AppendOutcome): boolean {
    switch (outcome.type) {
      case 'appended':
        return true;
      case 'out_of_sequence':
        // The batch arrived before, longer ago than the store remembers.
        if (outcome.expected === sequence + 1) return true;
        logger.error('cell_sequence_lost', {
          sequence,
          expected: outcome.expected,
        });
        stop();
        options.onFenced();
        return false;
      case 'moved':
      case 'fenced':
        stop();
        options.onFenced();
        return false;
    }
  }

  const pause = (spanMs: number) =>
    types.clock.sleepFor(clock, spanMs, stopping.signal);

  /** Waits for something to write, a heartbeat's span at most. */
  async function waitForWork(): Promise<void> {
    if (waiting.length > 0) return;
    const woken = new AbortController();
    wake = () => woken.abort();
    const until = types.clock.after(
      clock.monotonic(),
      failoverPolicy.HEARTBEAT_MS,
    );
    await clock.sleepUntil(until, woken.signal);
  }

  function takeBatch(): Pending[] {
    let records = 0;
    let count = 0;
    while (count < waiting.length && records < MOST_RECORDS_IN_BATCH) {
      records += waiting[count++]!.records.length;
    }
    return waiting.splice(0, count);
  }

  function stop(): void {
    stopping.abort();
    wake();
  }

  return {
    write(records) {
      return new Promise((resolve) => {
        waiting.push({records, resolve});
        wake();
      });
    },
    confirmedAt: () => confirmedAt,
    async run() {
      while (!stopping.signal.aborted) {
        await waitForWork();
        if (stopping.signal.aborted) break;
        const batch = takeBatch();
        const records = batch.flatMap((pending) => pending.records);
        await append(
          records.length > 0 ? records : [{kind: 'heartbeat' as const}],
        );
        if (stopping.signal.aborted) break;
        for (const pending of batch) pending.resolve();
        await pause(BATCH_PAUSE_MS);
      }
      // What is left was never stored, and its callers must not go on.
      waiting = [];
    },
    stop,
  };
}
