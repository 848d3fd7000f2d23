/**
 * Follows a keyed log: first the newest record of each key, then each record
 * as it comes. Records are handed on once and in the order of their offsets.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';

/** Pause after a failed call, doubled up to the longest; milliseconds. */
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 400;
/**
 * A copy that was older than this tells in the log when it is up to date
 * again. Sound ones are up to 0.4 s old, the configuration's up to 1.2 s, as
 * each read waits for news; milliseconds.
 */
const OLD_COPY_MS = 2_000;

/** What a follower is made with. */
export interface FollowerOptions {
  readonly log: ports.KeyedLog;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly storeHealth: storeHealth.StoreHealth;
  /** Gets records in order; `reloaded` when older ones may be missing. */
  readonly onRecords: (
    records: readonly ports.KeyedRecord[],
    reloaded: boolean,
  ) => void;
  /**
   * Pause between reads, in milliseconds: what comes meanwhile is read at
   * once, which saves calls where nobody waits for a single record.
   */
  readonly pauseMs: () => number;
  /**
   * How long a read waits at the store for a record, in milliseconds. A store
   * that went silent is noticed that much later.
   */
  readonly readWaitMs: number;
}

/** Follows one log. */
export interface LogFollower {
  /** Runs until it is stopped. */
  run(): Promise<void>;
  stop(): void;
  /** Offset of the next record; undefined before the first load. */
  position(): number | undefined;
  /** Reads to the end that the log has now; false if that failed. */
  catchUp(): Promise<boolean>;
  /** Since when each call has been answered; undefined while one isn't. */
  reachableSince(): types.clock.MonotonicMs | undefined;
  /**
   * Every record that stood in the log by this moment has been handed on;
   * undefined before the first load.
   */
  completeUntil(): types.clock.MonotonicMs | undefined;
  /** The same moment on both clocks: the monotonic one may be suspended. */
  completeUntilReading(): ClockReading | undefined;
}

/** A moment on both clocks. */
export interface ClockReading {
  readonly at: types.clock.MonotonicMs;
  readonly wall: types.clock.WallMs;
}

/** What a read or a load that was answered has found. */
interface Found {
  readonly sentAt: types.clock.MonotonicMs;
  readonly sentWall: types.clock.WallMs;
  /** Where the log ended; a load's first page tells. */
  readonly endOffset: number;
}

/** Creates a follower; nothing is read before `run`. */
export function createLogFollower(options: FollowerOptions): LogFollower {
  const {log, clock, logger} = options;
  const stopping = new AbortController();
  let position: number | undefined;
  /** Where the log ended at the newest read. */
  let end = 0;
  let reachableSince: types.clock.MonotonicMs | undefined;
  let failing = false;
  /** Sending time of the newest call that was answered. */
  let newestAnsweredAt = 0;
  let loading: Promise<Found | undefined> | undefined;
  let completeUntil: types.clock.MonotonicMs | undefined;
  let completeWall: types.clock.WallMs | undefined;
  /** The reading to the log's end that is on its way, and the one after it. */
  let reading: Promise<boolean> | undefined;
  let queued: Promise<boolean> | undefined;

  /** To be called once what was found has been applied. */
  function noteComplete({sentAt, sentWall, endOffset}: Found): void {
    if (position === undefined || position < endOffset) return;
    if (sentAt <= (completeUntil ?? 0)) return;
    const ageMs = sentAt - (completeUntil ?? sentAt);
    completeUntil = sentAt;
    completeWall = sentWall;
    if (ageMs <= OLD_COPY_MS) return;
    logger.info('log_caught_up', {
      log: log.name,
      position,
      ageMs: Math.round(ageMs),
    });
  }

  function answered(sentAt: types.clock.MonotonicMs): void {
    newestAnsweredAt = Math.max(newestAnsweredAt, sentAt);
    reachableSince ??= clock.monotonic();
    if (!failing) return;
    failing = false;
    logger.info('dependency_regained', {dependency: `log ${log.name}`});
  }

  function failed(
    err: types.stepError.StepError,
    sentAt: types.clock.MonotonicMs,
  ): void {
    // A call into the silence may end long after a later one was answered.
    if (sentAt < newestAnsweredAt) return;
    reachableSince = undefined;
    if (failing) return;
    failing = true;
    logger.warn('dependency_lost', {
      dependency: `log ${log.name}`,
      error: types.stepError.describeError(err),
    });
  }

  /** Applies what is new; two reads may overlap. */
  function apply(records: readonly ports.KeyedRecord[]): void {
    const from = position ?? 0;
    const fresh = records.filter((record) => record.offset >= from);
    if (fresh.length === 0) return;
    options.onRecords(fresh, false);
    position = fresh[fresh.length - 1]!.offset + 1;
  }

  /** One load at a time: a large log takes a while, and a second as long. */
  function load(): Promise<Found | undefined> {
    loading ??= loadOnce().finally(() => (loading = undefined));
    return loading;
  }

  async function loadOnce(): Promise<Found | undefined> {
    const records: ports.KeyedRecord[] = [];
    let after: string | undefined;
    let loadedTo: number | undefined;
    const startedAt = clock.monotonic();
    const sentWall = clock.wall();
    do {
      const sentAt = clock.monotonic();
      const page = await log.newest(after);
      if (result.isErr(page)) {
        failed(page.error, sentAt);
        return undefined;
      }
      answered(sentAt);
      records.push(...page.value.records);
      // Pages are no snapshot: go on from where the first one was made.
      loadedTo ??= page.value.endOffset;
      after = page.value.nextAfter;
    } while (after !== undefined);
    records.sort((a, b) => a.offset - b.offset);
    options.onRecords(records, true);
    position = loadedTo;
    end = Math.max(end, loadedTo);
    const found = {sentAt: startedAt, sentWall, endOffset: loadedTo};
    noteComplete(found);
    logger.info('log_loaded', {
      log: log.name,
      records: records.length,
      end: loadedTo,
    });
    return found;
  }

  /** Undefined if it failed. */
  async function readOnce(waitMs: number): Promise<Found | undefined> {
    if (position === undefined) return load();
    const sentAt = clock.monotonic();
    const sentWall = clock.wall();
    const from = position;
    const read = await log.read(from, waitMs);
    if (result.isErr(read)) {
      failed(read.error, sentAt);
      return undefined;
    }
    answered(sentAt);
    options.storeHealth.noteRead(sentAt, clock.monotonic());
    switch (read.value.type) {
      case 'records': {
        const {endOffset} = read.value;
        const found = {sentAt, sentWall, endOffset};
        end = Math.max(end, found.endOffset);
        apply(read.value.records);
        noteComplete(found);
        return found;
      }
      case 'compacted':
        // A word that comes after another read's load is about a position of
        // before it. A load for it would put back what was read since, and a
        // read that is on its way from there would pass over what lies between.
        if (position !== from) return readOnce(waitMs);
        logger.warn('log_compacted', {log: log.name, position});
        return load();
    }
  }

  const isBehind = () => position !== undefined && position < end;

  /**
   * Reads to where a call that is sent from now on finds the log to end. One
   * read brings a bounded part, and a load that is shared may have begun long
   * before: an entry that took either for the whole log told its callers that
   * jobs don't exist which had been accepted, seconds before.
   */
  async function readToEnd(): Promise<boolean> {
    const askedAt = clock.monotonic();
    let goal: number | undefined;
    while (goal === undefined || (position ?? 0) < goal) {
      const before = position;
      const found = stopping.signal.aborted ? undefined : await readOnce(0);
      if (found === undefined) return false;
      if (found.sentAt >= askedAt) goal ??= found.endOffset;
      if (goal !== undefined && position === before) break;
    }
    return (position ?? 0) >= goal;
  }

  /**
   * Whoever comes while the log is read to its end shares the next reading,
   * since the one on its way may have found the end before. Each by itself
   * they read the backlog as many times side by side as there were questions:
   * 9.5 MB for 6 over a link of 10 Mbit/s, where reads then ran out of time.
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
   * Reads once, and pauses if that failed. Both end with the store's return:
   * a read that was sent into the silence is answered by nobody.
   */
  async function readAway(failurePauseMs: number): Promise<boolean> {
    const returned = options.storeHealth.nextReturn();
    if (await unlessAborted(readOnce(0), returned)) return true;
    const until = types.clock.after(clock.monotonic(), failurePauseMs);
    await clock.sleepUntil(until, returned);
    return false;
  }

  async function readNext(failurePauseMs: number): Promise<boolean> {
    if (reachableSince === undefined) return readAway(failurePauseMs);
    if (isBehind()) return catchUp();
    return (await readOnce(options.readWaitMs)) !== undefined;
  }

  return {
    async run() {
      let failurePauseMs = FIRST_PAUSE_MS;
      while (!stopping.signal.aborted) {
        const ok = await readNext(failurePauseMs);
        if (ok) {
          failurePauseMs = FIRST_PAUSE_MS;
          const spanMs = isBehind() ? 0 : options.pauseMs();
          await types.clock.sleepFor(clock, spanMs, stopping.signal);
          continue;
        }
        // Reading while the store is away has paused already.
        if (reachableSince !== undefined) {
          await types.clock.sleepFor(clock, failurePauseMs, stopping.signal);
        }
        failurePauseMs = Math.min(LONGEST_PAUSE_MS, failurePauseMs * 2);
      }
    },
    stop: () => stopping.abort(),
    position: () => position,
    catchUp,
    reachableSince: () => reachableSince,
    completeUntil: () => completeUntil,
    completeUntilReading: () =>
      completeUntil === undefined || completeWall === undefined
        ? undefined
        : {at: completeUntil, wall: completeWall},
  };
}

/** Whether the work came to something before the signal aborted. */
function unlessAborted(
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
