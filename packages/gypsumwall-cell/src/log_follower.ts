/**
 * Follows a keyed log: reads the newest record of each key first, then every
 * new record. Each record is passed on once, in the order of offsets.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';

/** Pause after a failed call, doubled up to the maximum; milliseconds. */
const FIRST_RETRY_MS = 50;
const MAX_RETRY_MS = 400;
/**
 * A replica that was older than this is logged when it is up to date again.
 * Healthy replicas are up to 0.4 s old, and that of the configuration up to 1.2
 * s, because each read waits for new records; milliseconds.
 */
const STALE_REPLICA_MS = 2_000;

/**
 * Pause between two reads of a follower that is behind, as a multiple of the
 * time in which the last answer was transferred. Otherwise the reads of a long
 * backlog take all of a slow link, and calls to workers time out behind them.
 */
const TRANSFER_PAUSE_FACTOR = 0.5;

/** Options of a follower. */
export interface FollowerOptions {
  readonly log: ports.KeyedLog;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly storeHealth: storeHealth.StoreHealth;
  /**
   * Receives records in order; `reloaded` means that older ones may be missing.
   */
  readonly onRecords: (
    records: readonly ports.KeyedRecord[],
    reloaded: boolean,
  ) => void;
  /**
   * Pause between two reads, in milliseconds. Records of one pause are read
   * together, which saves calls where a single record isn't urgent.
   */
  readonly pauseMs: () => number;
  /**
   * How long a read waits at the store for a record, in milliseconds. An
   * unresponsive store is detected that much later.
   */
  readonly readWaitMs: number;
  /**
   * Age up to which the replica is current enough without a read, in
   * milliseconds; 0 by default. Own appends keep it current where nobody else
   * appends: reads would bring the same records once more.
   */
  readonly maxAgeMs?: () => number;
}

/** Follows one log. */
export interface LogFollower {
  /** Reads until it is stopped. */
  run(): Promise<void>;
  stop(): void;
  /** Offset of the next record; undefined before the first load. */
  position(): number | undefined;
  /**
   * How long the newest load took, or has taken so far; 0 before the first one;
   * milliseconds.
   */
  loadMs(): number;
  /**
   * Passes on records that this entry has appended at an offset, without reading
   * them, if every record before them was passed on. The replica is then
   * complete up to the sending of the append.
   */
  applyAppended(
    entries: readonly ports.KeyedEntry[],
    firstOffset: number,
    sentAt?: types.clock.MonotonicMs,
  ): void;
  /** Reads to the log's current end; false if that failed. */
  catchUp(): Promise<boolean>;
  /** Since when every call has been answered; undefined while calls fail. */
  reachableSince(): types.clock.MonotonicMs | undefined;
  /**
   * Every record that was in the log at this moment has been passed on;
   * undefined before the first load.
   */
  completeUntil(): types.clock.MonotonicMs | undefined;
  /**
   * The same moment on both clocks, because the monotonic one stops during a
   * suspension.
   */
  completeUntilReading(): ClockReading | undefined;
}

/** A moment on both clocks. */
export interface ClockReading {
  readonly at: types.clock.MonotonicMs;
  readonly wall: types.clock.WallMs;
}

/** The log's end according to an answered read or load. */
interface LogEnd {
  readonly sentAt: types.clock.MonotonicMs;
  readonly sentWall: types.clock.WallMs;
  /** Where the log ended; for a load, according to its first page. */
  readonly endOffset: number;
}

/** Creates a follower; it reads nothing until `run` or `catchUp` is called. */
export function createLogFollower(options: FollowerOptions): LogFollower {
  const {log, clock, logger} = options;
  const stopping = new AbortController();
  let position: number | undefined;
  /** Where the log ended at the newest read. */
  let newestEnd = 0;
  let reachableSince: types.clock.MonotonicMs | undefined;
  let isFailing = false;
  /** When the newest answered call was sent. */
  let newestAnsweredAt = 0;
  /** How long the newest answer to a read was transferred; milliseconds. */
  let transferMs = 0;
  let loading: Promise<LogEnd | undefined> | undefined;
  let loadStartedAt: types.clock.MonotonicMs | undefined;
  /** How long the newest complete load took; milliseconds. */
  let loadMs = 0;
  let completeUntil: types.clock.MonotonicMs | undefined;
  let completeWall: types.clock.WallMs | undefined;
  /** The read to the log's end in progress, and the one queued after it. */
  let reading: Promise<boolean> | undefined;
  let queued: Promise<boolean> | undefined;

  /**
   * Records how complete the replica is; call it once the records have been
   * applied.
   */
  function recordComplete({sentAt, sentWall, endOffset}: LogEnd): void {
    if (position === undefined || position < endOffset) return;
    if (sentAt <= (completeUntil ?? 0)) return;
    const ageMs = sentAt - (completeUntil ?? sentAt);
    completeUntil = sentAt;
    completeWall = sentWall;
    if (ageMs <= STALE_REPLICA_MS) return;
    logger.info('log_caught_up', {
      log: log.name,
      position,
      ageMs: Math.round(ageMs),
    });
  }

  function onAnswered(sentAt: types.clock.MonotonicMs): void {
    newestAnsweredAt = Math.max(newestAnsweredAt, sentAt);
    reachableSince ??= clock.monotonic();
    if (!isFailing) return;
    isFailing = false;
    logger.info('dependency_regained', {dependency: `log ${log.name}`});
  }

  function onFailed(
    err: types.stepError.StepError,
    sentAt: types.clock.MonotonicMs,
  ): void {
    // A call sent to an unresponsive store may fail long after a later one was
    // answered.
    if (sentAt < newestAnsweredAt) return;
    reachableSince = undefined;
    if (isFailing) return;
    isFailing = true;
    logger.warn('dependency_lost', {
      dependency: `log ${log.name}`,
      error: types.stepError.describeError(err),
    });
  }

  /** Applies the records that are new; two reads may overlap. */
  function apply(records: readonly ports.KeyedRecord[]): void {
    const from = position ?? 0;
    const newRecords = records.filter((record) => record.offset >= from);
    if (newRecords.length === 0) return;
    options.onRecords(newRecords, false);
    position = newRecords[newRecords.length - 1]!.offset + 1;
  }

  /**
   * Runs one load at a time, because a large log takes a while and a second
   * load would take as long.
   */
  function load(): Promise<LogEnd | undefined> {
    loading ??= loadOnce().finally(() => {
      loading = undefined;
      loadStartedAt = undefined;
    });
    return loading;
  }

  async function loadOnce(): Promise<LogEnd | undefined> {
    const records: ports.KeyedRecord[] = [];
    let after: string | undefined;
    let loadedTo: number | undefined;
    const startedAt = clock.monotonic();
    loadStartedAt = startedAt;
    const sentWall = clock.wall();
    do {
      const sentAt = clock.monotonic();
      const page = await log.newest(after);
      if (result.isErr(page)) {
        onFailed(page.error, sentAt);
        return undefined;
      }
      onAnswered(sentAt);
      types.lists.append(records, page.value.records);
      // Pages are not a snapshot: continue from where the log ended at the
      // first one.
      loadedTo ??= page.value.endOffset;
      after = page.value.nextAfter;
    } while (after !== undefined);
    records.sort((a, b) => a.offset - b.offset);
    options.onRecords(records, true);
    position = loadedTo;
    loadMs = clock.monotonic() - startedAt;
    newestEnd = Math.max(newestEnd, loadedTo);
    const found = {sentAt: startedAt, sentWall, endOffset: loadedTo};
    recordComplete(found);
    logger.info('log_loaded', {
      log: log.name,
      records: records.length,
      chars: records.reduce((sum, {value}) => sum + value.length, 0),
      tookMs: Math.round(loadMs),
      end: loadedTo,
    });
    return found;
  }

  function recordLatency(
    read: ports.ReadOutcome,
    sentAt: types.clock.MonotonicMs,
    waitMs: number,
  ): void {
    const isEmpty = read.type === 'records' && read.records.length === 0;
    transferMs = read.type === 'records' ? (read.transferMs ?? 0) : 0;
    // A long answer on a slow link says nothing about the store.
    const answeredAt = types.clock.after(clock.monotonic(), -transferMs);
    options.storeHealth.recordRead({sentAt, answeredAt, waitMs, isEmpty});
  }

  /** Undefined if the read failed. */
  async function readOnce(waitMs: number): Promise<LogEnd | undefined> {
    if (position === undefined) return load();
    const sentAt = clock.monotonic();
    const sentWall = clock.wall();
    const from = position;
    const read = await log.read(from, waitMs);
    if (result.isErr(read)) {
      onFailed(read.error, sentAt);
      return undefined;
    }
    onAnswered(sentAt);
    recordLatency(read.value, sentAt, waitMs);
    switch (read.value.type) {
      case 'records': {
        const {endOffset} = read.value;
        const found = {sentAt, sentWall, endOffset};
        newestEnd = Math.max(newestEnd, found.endOffset);
        apply(read.value.records);
        recordComplete(found);
        return found;
      }
      case 'compacted':
        // Another read has loaded the log meanwhile, so this answer refers to
        // an old position. A load because of it would undo what was read since,
        // and a read in flight from there would skip the records between.
        if (position !== from) return readOnce(waitMs);
        logger.warn('log_compacted', {log: log.name, position});
        return load();
    }
  }

  const isBehind = () => position !== undefined && position < newestEnd;

  const pause = (spanMs: number) =>
    types.clock.sleepFor(clock, spanMs, stopping.signal);

  /** Leaves a part of the link to other calls before a backlog is read on. */
  async function pauseForLink(): Promise<void> {
    const pauseMs = transferMs * TRANSFER_PAUSE_FACTOR;
    if (pauseMs >= 1) await pause(pauseMs);
  }

  /**
   * Reads to where the log ends according to a call sent from now on. One read
   * returns a limited number of records, and a shared load may have begun long
   * before. An entry that took either for the whole log told its callers that
   * jobs don't exist which had been accepted seconds before.
   */
  async function readToEnd(): Promise<boolean> {
    const askedAt = clock.monotonic();
    let targetOffset: number | undefined;
    while (targetOffset === undefined || (position ?? 0) < targetOffset) {
      const before = position;
      const found = stopping.signal.aborted ? undefined : await readOnce(0);
      if (found === undefined) return false;
      if (found.sentAt >= askedAt) targetOffset ??= found.endOffset;
      if (targetOffset !== undefined && position === before) break;
      if (isBehind()) await pauseForLink();
    }
    return (position ?? 0) >= targetOffset;
  }

  /**
   * Callers that arrive while the log is being read to its end share the next
   * read, since the one in progress may have determined the end before. When
   * each read by itself, they read the backlog as many times in parallel as
   * there were queries: 9.5 MB for 6 of them over a link of 10 Mbit/s, where
   * the reads then timed out.
   */
  function catchUp(): Promise<boolean> {
    if (reading === undefined) {
      reading = readToEnd().finally(() => (reading = undefined));
      return reading;
    }
    queued ??= reading
      .catch(() => false)
      .then(() => {
        queued = undefined;
        return catchUp();
      });
    return queued;
  }

  /**
   * Reads once, and pauses if that failed. Both end when the store recovers,
   * because a read that was sent during the outage is never answered.
   */
  async function readDuringOutage(failurePauseMs: number): Promise<boolean> {
    const recovered = options.storeHealth.nextRecovery();
    if (await completesBeforeAbort(readOnce(0), recovered)) return true;
    const until = types.clock.after(clock.monotonic(), failurePauseMs);
    await clock.sleepUntil(until, recovered);
    return false;
  }

  function isCurrentEnough(): boolean {
    if (reachableSince === undefined || isBehind()) return false;
    const ageMs = clock.monotonic() - (completeUntil ?? -Infinity);
    return ageMs < (options.maxAgeMs?.() ?? 0);
  }

  async function readNext(failurePauseMs: number): Promise<boolean> {
    if (isCurrentEnough()) return true;
    if (reachableSince === undefined) return readDuringOutage(failurePauseMs);
    if (isBehind()) return catchUp();
    return (await readOnce(options.readWaitMs)) !== undefined;
  }

  return {
    async run() {
      let failurePauseMs = FIRST_RETRY_MS;
      while (!stopping.signal.aborted) {
        const ok = await readNext(failurePauseMs);
        if (ok) {
          failurePauseMs = FIRST_RETRY_MS;
          if (isBehind()) await pauseForLink();
          else await pause(options.pauseMs());
          continue;
        }
        // A read during an outage includes the pause.
        if (reachableSince !== undefined) {
          await types.clock.sleepFor(clock, failurePauseMs, stopping.signal);
        }
        failurePauseMs = Math.min(MAX_RETRY_MS, failurePauseMs * 2);
      }
    },
    stop: () => stopping.abort(),
    applyAppended(entries, firstOffset, sentAt) {
      // Otherwise another entry has appended in between.
      if (position !== firstOffset || stopping.signal.aborted) return;
      const records = entries.map((entry, nth) => ({
        ...entry,
        offset: firstOffset + nth,
      }));
      const endOffset = firstOffset + records.length;
      newestEnd = Math.max(newestEnd, endOffset);
      apply(records);
      if (sentAt === undefined) return;
      const sentWall = types.clock.after(
        clock.wall(),
        sentAt - clock.monotonic(),
      );
      recordComplete({sentAt, sentWall, endOffset});
    },
    position: () => position,
    loadMs: () =>
      loadStartedAt === undefined
        ? loadMs
        : Math.max(loadMs, clock.monotonic() - loadStartedAt),
    catchUp,
    reachableSince: () => reachableSince,
    completeUntil: () => completeUntil,
    completeUntilReading: () =>
      completeUntil === undefined || completeWall === undefined
        ? undefined
        : {at: completeUntil, wall: completeWall},
  };
}

/** Whether the work returned a result before the signal aborted. */
function completesBeforeAbort(
  work: Promise<unknown>,
  signal: AbortSignal,
): Promise<boolean> {
  return new Promise((resolve) => {
    const giveUp = () => resolve(false);
    signal.addEventListener('abort', giveUp, {once: true});
    void work.then((found) => {
      signal.removeEventListener('abort', giveUp);
      resolve(found !== undefined);
    });
  });
}
