/**
 * The holder's appends to the cell's log. One batch is sent at a time, fenced
 * by the claim's epoch and numbered, so that a batch whose answer was lost can
 * be sent again and is still stored once.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as batchDelay from './batch_delay.js';
import * as hedge from './hedge.js';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';
import * as storeRecords from './store_records.js';
import * as failoverPolicy from './failover_policy.js';

/**
 * Timeout of one call. A hedged append may have several calls in flight;
 * milliseconds.
 */
const CALL_TIMEOUT_MS = 2_000;
/**
 * An append that fails for this long is logged and tried again; milliseconds.
 */
const RETRY_ROUND_MS = 4_000;
/**
 * Pause between batches, so that the task ends of some milliseconds share one
 * call. Each call has a cost, and a start that has to wait for a write is
 * delayed by at most one pause; milliseconds.
 */
const BATCH_PAUSE_MS = 10;
/** Keeps a batch well below the store's limit for one call. */
const MAX_BATCH_RECORDS = 500;

/** Options of a writer. */
export interface CellWriterOptions {
  readonly log: ports.KeyedLog;
  readonly epoch: number;
  /** When the claim was sent; nothing before it counts as confirmed. */
  readonly claimSentAt: types.clock.MonotonicMs;
  readonly storeHealth: storeHealth.StoreHealth;
  /** Busy share of this process's event loop, from 0 to 1. */
  readonly loopUtilization: () => number;
  /** The record that is written while there is nothing else to write. */
  readonly heartbeat?: () => storeRecords.StoreRecord;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  /**
   * The store has seen a higher epoch: this process no longer holds the cell.
   */
  readonly onFenced: () => void;
  /** Called when the log contains entries from this offset on. */
  readonly onAppended: (
    entries: readonly ports.KeyedEntry[],
    firstOffset: number,
    sentAt: types.clock.MonotonicMs,
  ) => void;
}

/** Appends to the cell's log for the holder. */
export interface CellWriter {
  /** Resolves once the records are stored in the log. */
  write(records: readonly storeRecords.StoreRecord[]): Promise<void>;
  /** When the last confirmed append was sent. */
  confirmedAt(): types.clock.MonotonicMs;
  /**
   * When the last confirmed append was sent for the first time. Its records
   * weren't in the log before; a repeat is confirmed later than it is stored.
   */
  firstSentAt(): types.clock.MonotonicMs;
  /** Recent latency of appends; 0 without a recent one; milliseconds. */
  latencyMs(): number;
  /** Appends until the writer is stopped or fenced. */
  run(): Promise<void>;
  stop(): void;
}

interface AppendAnswer {
  readonly outcome: ports.AppendOutcome;
  /** When the answered call was sent. */
  readonly askedAt: types.clock.MonotonicMs;
}

interface PendingWrite {
  readonly records: readonly storeRecords.StoreRecord[];
  readonly resolve: () => void;
}

/** Creates the writer of a claim that was just read from the log. */
export function createCellWriter(options: CellWriterOptions): CellWriter {
  const {log, clock, logger, heartbeat = () => ({kind: 'heartbeat'})} = options;
  const stopping = new AbortController();
  const hedger = hedge.createHedger(clock, options.storeHealth, {
    hasSingleWriter: true,
  });
  let queue: PendingWrite[] = [];
  let resume = () => {};
  // Sequence 0 of the epoch is the claim itself.
  let sequence = 1;
  let confirmedAt = options.claimSentAt;
  let firstSentAt = confirmedAt;

  async function append(
    records: readonly storeRecords.StoreRecord[],
  ): Promise<void> {
    const entries = records.map(storeRecords.encode);
    const fence = {epoch: options.epoch, sequence};
    const startedAt = clock.monotonic();
    while (!stopping.signal.aborted) {
      const answer = await hedger.hedge({
        signal: stopping.signal,
        until: types.clock.after(clock.monotonic(), RETRY_ROUND_MS),
        call: () => appendOnce(entries, fence),
      });
      if (result.isOk(answer)) {
        const {outcome, askedAt} = answer.value;
        if (!isAppended(outcome)) return;
        confirmedAt = askedAt;
        firstSentAt = startedAt;
        sequence++;
        if (outcome.type === 'appended')
          options.onAppended(entries, outcome.firstOffset, askedAt);
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

  /** Whether the batch is stored in the log. */
  function isAppended(outcome: ports.AppendOutcome): boolean {
    switch (outcome.type) {
      case 'appended':
        return true;
      case 'out_of_sequence':
        // An earlier call stored the batch, too long ago for the store to
        // recognise the repeat.
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

  /** Waits for records to write, at most for one heartbeat interval. */
  async function waitForWork(): Promise<void> {
    if (queue.length > 0) return;
    const resumed = new AbortController();
    resume = () => resumed.abort(types.clock.WAIT_ENDED);
    const until = types.clock.after(
      clock.monotonic(),
      failoverPolicy.HEARTBEAT_MS,
    );
    await clock.sleepUntil(until, resumed.signal);
  }

  function takeBatch(): PendingWrite[] {
    let records = 0;
    let count = 0;
    while (count < queue.length && records < MAX_BATCH_RECORDS) {
      records += queue[count++]!.records.length;
    }
    return queue.splice(0, count);
  }

  function stop(): void {
    stopping.abort();
    resume();
  }

  return {
    write(records) {
      return new Promise((resolve) => {
        queue.push({records, resolve});
        resume();
      });
    },
    confirmedAt: () => confirmedAt,
    firstSentAt: () => firstSentAt,
    latencyMs: () => hedger.latencyMs() ?? 0,
    async run() {
      while (!stopping.signal.aborted) {
        await waitForWork();
        if (stopping.signal.aborted) break;
        const batch = takeBatch();
        const records = batch.flatMap((pending) => pending.records);
        await append(records.length > 0 ? records : [heartbeat()]);
        if (stopping.signal.aborted) break;
        for (const pending of batch) pending.resolve();
        await pause(
          batchDelay.batchDelayMs(BATCH_PAUSE_MS, options.loopUtilization()),
        );
      }
      // The remaining records were never stored, so their promises must not
      // resolve.
      queue = [];
    },
    stop,
  };
}
