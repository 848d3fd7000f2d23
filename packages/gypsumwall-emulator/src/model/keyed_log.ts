/**
 * One log of the store: records with keys and with offsets from 0. An append
 * can be conditional on the log's end offset, or on its producer's epoch and
 * sequence.
 */
import type * as types from '@gypsumwall/types';

/** A record's content; an empty value deletes the key. */
export interface KeyedEntry {
  readonly key: string;
  readonly value: string;
}

/** A stored record. */
export interface KeyedRecord extends KeyedEntry {
  readonly offset: number;
}

/**
 * Numbers the appends of a producer. Appends with an epoch lower than the
 * producer's highest are fenced.
 */
export interface Fence {
  readonly producer: string;
  readonly epoch: number;
  readonly sequence: number;
}

/** Conditions of an append. */
export interface AppendConditions {
  /** The append fails with `moved` unless the log ends at this offset. */
  readonly expectedEndOffset?: number;
  readonly fence?: Fence;
}

/** The result of an append. */
export type AppendOutcome =
  | {
      readonly type: 'appended';
      readonly firstOffset: number;
      readonly endOffset: number;
    }
  | {readonly type: 'moved'; readonly endOffset: number}
  | {readonly type: 'fenced'}
  | {readonly type: 'out_of_sequence'; readonly expected: number};

/** The result of a read from an offset. */
export type ReadOutcome =
  | {
      readonly type: 'records';
      readonly records: readonly KeyedRecord[];
      readonly firstOffset: number;
      readonly endOffset: number;
    }
  | {readonly type: 'compacted'; readonly firstOffset: number};

/** A page of the newest records of each key, ordered by key. */
export interface NewestPage {
  readonly records: readonly KeyedRecord[];
  readonly hasMore: boolean;
  readonly endOffset: number;
}

/** A log whose records have keys. */
export interface KeyedLog {
  append(
    entries: readonly KeyedEntry[],
    conditions: AppendConditions,
  ): AppendOutcome;
  /** Reads records from an offset on; expired records are dropped first. */
  read(from: number, maxBytes: number): ReadOutcome;
  /** Returns the newest records of the keys that sort after the given one. */
  readNewest(after: string): NewestPage;
  endOffset(): number;
  /** Resolves once the log's end is past the offset, or at the deadline. */
  waitPastOffset(
    offset: number,
    deadline: types.clock.MonotonicMs,
  ): Promise<void>;
  /** Drops all records; `readNewest` still returns the newest of each key. */
  compact(): void;
}

/** Options of {@link createKeyedLog}. */
export interface KeyedLogOptions {
  readonly clock: types.clock.Clock;
  /** Retention of records, in milliseconds. */
  readonly keepMs: number;
}

interface Producer {
  readonly epoch: number;
  readonly nextSequence: number;
  /** The latest appends and their outcomes, the newest last. */
  readonly recentAppends: readonly {sequence: number; outcome: AppendOutcome}[];
}

/** A producer can repeat this many of its latest appends and get their outcomes. */
const REMEMBERED_APPENDS = 5;
const PAGE_RECORDS = 500;
const PAGE_BYTES = 1_000_000;
/** Size of a record's length prefix and key length. */
const RECORD_HEADER_BYTES = 5;

/** Creates an empty log. */
export function createKeyedLog(options: KeyedLogOptions): KeyedLog {
  const {clock, keepMs} = options;
  let records: (KeyedRecord & {at: types.clock.MonotonicMs})[] = [];
  let firstOffset = 0;
  const newestByKey = new Map<string, KeyedRecord>();
  const producers = new Map<string, Producer>();
  const waiters = new Set<AbortController>();

  const endOffset = () => firstOffset + records.length;

  function dropRecordsBefore(offset: number): void {
    if (offset <= firstOffset) return;
    records = records.slice(offset - firstOffset);
    firstOffset = offset;
  }

  function dropExpiredRecords(): void {
    const oldestKeptAt = clock.monotonic() - keepMs;
    const firstLive = records.findIndex((record) => record.at >= oldestKeptAt);
    dropRecordsBefore(firstLive < 0 ? endOffset() : firstOffset + firstLive);
  }

  function appendRecords(entries: readonly KeyedEntry[]): AppendOutcome {
    const start = endOffset();
    const at = clock.monotonic();
    for (const entry of entries) {
      const record = {...entry, offset: endOffset()};
      records.push({...record, at});
      if (entry.value === '') newestByKey.delete(entry.key);
      else newestByKey.set(entry.key, record);
    }
    for (const waiter of waiters) waiter.abort();
    return {type: 'appended', firstOffset: start, endOffset: endOffset()};
  }

  /**
   * Checks an append against the producer's state. Returns its outcome if it is
   * rejected or a repetition, and undefined if it may be carried out.
   */
  function checkFence({
    producer,
    epoch,
    sequence,
  }: Fence): AppendOutcome | undefined {
    const producerState = producers.get(producer);
    if (producerState === undefined || epoch > producerState.epoch)
      return undefined;
    if (epoch < producerState.epoch) return {type: 'fenced'};
    const repeated = producerState.recentAppends.find(
      (one) => one.sequence === sequence,
    );
    if (repeated !== undefined) return repeated.outcome;
    if (sequence === producerState.nextSequence) return undefined;
    return {type: 'out_of_sequence', expected: producerState.nextSequence};
  }

  function recordProducerAppend(fence: Fence, outcome: AppendOutcome): void {
    const {producer, epoch, sequence} = fence;
    const producerState = producers.get(producer);
    const earlier =
      producerState?.epoch === epoch ? producerState.recentAppends : [];
    producers.set(producer, {
      epoch,
      nextSequence: sequence + 1,
      recentAppends: [...earlier, {sequence, outcome}].slice(
        -REMEMBERED_APPENDS,
      ),
    });
  }

  return {
    endOffset,
    append(entries, {expectedEndOffset, fence}) {
      const rejected = fence === undefined ? undefined : checkFence(fence);
      if (rejected !== undefined) return rejected;
      if (
        expectedEndOffset !== undefined &&
        expectedEndOffset !== endOffset()
      ) {
        return {type: 'moved', endOffset: endOffset()};
      }
      const outcome = appendRecords(entries);
      if (fence !== undefined) recordProducerAppend(fence, outcome);
      return outcome;
    },
    read(from, maxBytes) {
      dropExpiredRecords();
      if (from < firstOffset) return {type: 'compacted', firstOffset};
      const limited = limitBytes(records.slice(from - firstOffset), maxBytes);
      const end = endOffset();
      return {type: 'records', records: limited, firstOffset, endOffset: end};
    },
    readNewest(after) {
      const later = [...newestByKey.values()]
        .filter((record) => record.key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      const page = limitBytes(later.slice(0, PAGE_RECORDS), PAGE_BYTES);
      const hasMore = page.length < later.length;
      return {records: page, hasMore, endOffset: endOffset()};
    },
    async waitPastOffset(offset, deadline) {
      while (endOffset() <= offset && clock.monotonic() < deadline) {
        const waiter = new AbortController();
        waiters.add(waiter);
        await clock.sleepUntil(deadline, waiter.signal);
        waiters.delete(waiter);
      }
    },
    compact: () => dropRecordsBefore(endOffset()),
  };
}

/** Returns the first records that fit into the limit together. */
function limitBytes<Found extends KeyedRecord>(
  records: readonly Found[],
  maxBytes: number,
): Found[] {
  let remainingBytes = maxBytes;
  const end = records.findIndex(({key, value}) => {
    remainingBytes -=
      RECORD_HEADER_BYTES + Buffer.byteLength(key) + Buffer.byteLength(value);
    return remainingBytes < 0;
  });
  return records.slice(0, end < 0 ? records.length : end);
}
