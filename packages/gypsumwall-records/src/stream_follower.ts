/**
 * Follows one stream of the platform's log and folds its records into a state.
 * `run` reads in a loop; other code can query the offset that the loop has
 * reached or wait for an offset.
 */
import * as platform from '@gypsumwall/platform';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as envelope from './envelope.js';
import * as producerSequences from './producer_sequences.js';
import * as snapshotText from './snapshot_text.js';
import type * as streamFold from './stream_fold.js';

/** Options of `createStreamFollower`. */
export interface StreamFollowerOptions {
  readonly stream: string;
  readonly log: platform.platformLog.PlatformLog;
  readonly fold: streamFold.StreamFold;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  /** Called for each valid record, after the fold has applied it. */
  readonly onRecord?: (record: platform.platformLog.LogRecord) => void;
  /** Called after each page with records and after each adopted snapshot. */
  readonly onProgress?: () => void;
}

/** Follows a stream. */
export interface StreamFollower {
  /** Reads until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
  /** Offset after the last record that was read. */
  nextOffset(): number;
  /**
   * Whether the state covered the whole stream when the log or a peer last
   * answered.
   */
  isCaughtUp(): boolean;
  /** When the log last answered; undefined before its first answer. */
  lastAnswerAt(): types.clock.MonotonicMs | undefined;
  /** Resolves to true once `offset` has been read, or false at the deadline. */
  waitFor(offset: number, deadline: types.clock.MonotonicMs): Promise<boolean>;
  /** How often the state was replaced with a snapshot. */
  restores(): number;
  /** Number of records since the last snapshot in the stream. */
  recordsSinceSnapshot(): number;
  /** Whether a new reader could rebuild the state from the log. */
  isRebuildable(): boolean;
  /** `adopt` accepts only snapshots whose `nextOffset` is above this offset. */
  adoptableAbove(): number;
  /** Returns the current state, for a snapshot record or for a peer. */
  snapshot(): snapshotText.Snapshot;
  /**
   * Replaces the state with a peer's, for use while the log is unreachable.
   * Returns false and changes nothing if the snapshot's `nextOffset` is not
   * above `adoptableAbove()`, so that the state never goes back.
   */
  adopt(snapshot: snapshotText.Snapshot): boolean;
  /**
   * Reports that another entry, which is caught up, has read the stream up to
   * `nextOffset`, so that this follower can count as caught up too.
   */
  confirmCaughtUp(nextOffset: number): void;
}

const PAGE_LIMIT = 2_000;
const LONG_POLL_MS = 1_000;
const RETRY_AFTER_MS = 200;

interface Waiter {
  readonly offset: number;
  readonly settle: (wasRead: boolean) => void;
}

/** Creates a follower; it reads nothing until `run` is called. */
export function createStreamFollower(
  options: StreamFollowerOptions,
): StreamFollower {
  const {stream, log, fold, clock} = options;
  const logger = options.logger.with({stream});
  const sequences = producerSequences.createProducerSequences();
  const waiters = new Set<Waiter>();
  let nextOffset = 0;
  let isComplete = false;
  /** Whether the last page reached the stream's end; if so, reads long-poll. */
  let isAtEnd = false;
  let recordsAfterSnapshot = 0;
  /** Offset of the oldest record in the log, as of the log's last answer. */
  let firstRetainedOffset = 0;
  /** A snapshot in the stream covers all records below this offset. */
  let snapshotEndOffset = 0;
  let restoreCount = 0;
  let lastAnsweredAt: types.clock.MonotonicMs | undefined;
  /**
   * Set if retention has dropped records that this reader needs. Later records
   * are buffered here until a snapshot is found that covers the dropped ones.
   */
  let awaitingSnapshot: AwaitingSnapshot | undefined;

  /**
   * Records the end offset of a snapshot at its last part. Takes the maximum,
   * because an older snapshot may arrive late.
   */
  function recordSnapshotPart(
    part: Extract<envelope.Envelope, {readonly type: 'snapshot'}>,
  ): void {
    const isLastPart = part.part === part.parts - 1;
    if (isLastPart)
      snapshotEndOffset = Math.max(snapshotEndOffset, part.nextOffset);
  }

  function applyRecord(record: platform.platformLog.LogRecord): void {
    const decoded = envelope.decode(record.body);
    switch (decoded.type) {
      case 'malformed':
        logger.warn('record_malformed', {
          offset: record.offset,
          reason: decoded.message,
        });
        return;
      case 'newer':
        // The record stays in the log for entries of the newer release.
        logger.warn('record_from_newer_version', {
          offset: record.offset,
          version: decoded.version,
          known: envelope.RECORD_VERSION,
        });
        return;
      case 'known':
        break;
    }
    if (decoded.envelope.type === 'snapshot') {
      recordsAfterSnapshot = 0;
      recordSnapshotPart(decoded.envelope);
      return;
    }
    if (!sequences.accept(record.producer, record.sequence)) {
      logger.info('record_void', {
        offset: record.offset,
        producer: record.producer,
        sequence: record.sequence,
      });
      return;
    }
    recordsAfterSnapshot += 1;
    if (decoded.envelope.type === 'record') {
      fold.apply(record.offset, decoded.envelope.record, clock.monotonic());
    }
    options.onRecord?.(record);
  }

  function restore(snapshot: snapshotText.Snapshot): void {
    const body = snapshotText.readText(snapshot.text);
    restoreCount += 1;
    sequences.restore(body.producers);
    fold.restore(body.state, clock.monotonic());
    logger.info('snapshot_restored', {
      next_offset: snapshot.nextOffset,
      bytes: snapshot.text.length,
    });
  }

  /** Restores the awaited snapshot and applies the records after it. */
  function restoreAndReplay(
    waiting: AwaitingSnapshot,
    snapshot: snapshotText.Snapshot,
  ): void {
    awaitingSnapshot = undefined;
    restore(snapshot);
    waiting.records
      .filter((record) => record.offset >= snapshot.nextOffset)
      .forEach(applyRecord);
  }

  function bufferRecord(
    waiting: AwaitingSnapshot,
    record: platform.platformLog.LogRecord,
  ): void {
    const decoded = envelope.decode(record.body);
    if (decoded.type === 'known' && decoded.envelope.type === 'snapshot') {
      recordSnapshotPart(decoded.envelope);
      const snapshot = waiting.collector.add(record.producer, decoded.envelope);
      if (
        snapshot !== undefined &&
        snapshot.nextOffset >= waiting.firstOffset
      ) {
        restoreAndReplay(waiting, snapshot);
      }
      return;
    }
    waiting.records.push(record);
  }

  function applyPage(page: platform.platformLog.LogPage): void {
    if (page.firstOffset > nextOffset) {
      // Retention has dropped records that this reader had not read yet, so
      // the state must be rebuilt from a snapshot.
      logger.warn('retention_passed', {
        next: nextOffset,
        first: page.firstOffset,
      });
      awaitingSnapshot = {
        firstOffset: page.firstOffset,
        records: [],
        collector: snapshotText.createSnapshotCollector(),
      };
      nextOffset = page.firstOffset;
    }
    for (const record of page.records) {
      // Pages may overlap; a record must not be applied twice.
      if (record.offset < nextOffset) continue;
      if (awaitingSnapshot === undefined) applyRecord(record);
      else bufferRecord(awaitingSnapshot, record);
      nextOffset = record.offset + 1;
    }
    isAtEnd = nextOffset >= page.endOffset;
    firstRetainedOffset = page.firstOffset;
    isComplete = awaitingSnapshot === undefined && isAtEnd;
    lastAnsweredAt = clock.monotonic();
    resolveWaiters();
    if (page.records.length > 0) options.onProgress?.();
  }

  function resolveWaiters(): void {
    if (awaitingSnapshot !== undefined) return;
    for (const waiter of waiters) {
      if (waiter.offset < nextOffset) waiter.settle(true);
    }
  }

  async function waitFor(
    offset: number,
    deadline: types.clock.MonotonicMs,
  ): Promise<boolean> {
    if (offset < nextOffset && awaitingSnapshot === undefined) return true;
    const timer = new AbortController();
    const wasRead = new Promise<boolean>((resolve) => {
      const waiter: Waiter = {
        offset,
        settle: (value) => {
          waiters.delete(waiter);
          timer.abort();
          resolve(value);
        },
      };
      waiters.add(waiter);
      void clock
        .sleepUntil(deadline, timer.signal)
        .then(() => waiter.settle(false));
    });
    return wasRead;
  }

  function adoptableAbove(): number {
    return awaitingSnapshot === undefined
      ? nextOffset
      : awaitingSnapshot.firstOffset - 1;
  }

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const page = await log.read({
        stream,
        from: nextOffset,
        limit: PAGE_LIMIT,
        waitMs: isAtEnd ? LONG_POLL_MS : 0,
        signal,
      });
      if (signal.aborted) return;
      if (page.isOk) {
        applyPage(page.value);
        continue;
      }
      logger.debug('log_read_failed', {
        reason: types.stepError.describeError(page.error),
      });
      const retryAt = types.clock.after(clock.monotonic(), RETRY_AFTER_MS);
      await clock.sleepUntil(retryAt, signal);
    }
  }

  return {
    run,
    waitFor,
    nextOffset: () => nextOffset,
    isCaughtUp: () => isComplete,
    lastAnswerAt: () => lastAnsweredAt,
    restores: () => restoreCount,
    recordsSinceSnapshot: () => recordsAfterSnapshot,
    isRebuildable: () => snapshotEndOffset >= firstRetainedOffset,
    adoptableAbove,
    snapshot: () => ({
      nextOffset,
      text: snapshotText.writeText(sequences, fold),
    }),
    confirmCaughtUp: (peerNextOffset) => {
      if (awaitingSnapshot === undefined && peerNextOffset === nextOffset) {
        isComplete = true;
      }
    },
    adopt: (snapshot) => {
      if (snapshot.nextOffset <= adoptableAbove()) return false;
      if (awaitingSnapshot === undefined) restore(snapshot);
      else restoreAndReplay(awaitingSnapshot, snapshot);
      nextOffset = Math.max(nextOffset, snapshot.nextOffset);
      isComplete = true;
      resolveWaiters();
      options.onProgress?.();
      return true;
    },
  };
}

interface AwaitingSnapshot {
  readonly firstOffset: number;
  readonly records: platform.platformLog.LogRecord[];
  readonly collector: snapshotText.SnapshotCollector;
}
