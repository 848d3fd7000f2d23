/**
 * Stores single records in the jobs' log for callers who wait for the outcome.
 * All records here are idempotent, so that an append may be repeated.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as batchAppender from './batch_appender.js';
import type * as logFollower from './log_follower.js';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';
import * as storeRecords from './store_records.js';

/** How long an append is tried; callers wait for 3 s; milliseconds. */
const APPEND_TIMEOUT_MS = 2_400;
/**
 * A record that can't be sent within this time is refused, so that its caller
 * has time for another try; milliseconds.
 */
const SEND_TIMEOUT_MS = 1_000;
/**
 * An append that is unanswered for this long triggers a read of the log, to
 * detect that the store is unavailable. An append usually takes 10 ms;
 * milliseconds.
 */
const OVERDUE_APPEND_MS = 150;
/** Timeout of the read that follows a refused append; milliseconds. */
const READ_TIMEOUT_MS = 300;

/** Outcome of storing a record. */
export type StoreOutcome = 'stored' | 'not_run' | 'unknown';

/** Stores records of one log. */
export interface RecordStore {
  store(record: storeRecords.StoreRecord): Promise<StoreOutcome>;
  /** See `BatchAppender`. */
  waitMs(): number;
  latencyMs(): number | undefined;
}

/** Options of a record store. */
export interface RecordStoreOptions {
  readonly log: ports.KeyedLog;
  readonly follower: logFollower.LogFollower;
  readonly storeHealth: storeHealth.StoreHealth;
  /** Whether another entry may append what the store refuses here. */
  readonly canForward: () => boolean;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
}

/** Creates the record store of one entry. */
export function createRecordStore(options: RecordStoreOptions): RecordStore {
  const {follower, clock, logger} = options;
  const appender = batchAppender.createBatchAppender({
    log: options.log,
    clock,
    storeHealth: options.storeHealth,
    isStoreUnavailable: () => follower.reachableSince() === undefined,
    canForward: options.canForward,
    onAppended: (entries, firstOffset) =>
      follower.applyAppended(entries, firstOffset),
  });

  /**
   * Reads the log to find out why an append was refused. A store that refuses
   * this entry refuses reads as well; a store with too many queued appends
   * still answers reads. A peer can do better only in the first case; in the
   * second its appends would lengthen the queue.
   */
  async function checkReachability(): Promise<void> {
    const timeout = types.clock.sleepFor(clock, READ_TIMEOUT_MS);
    await Promise.race([follower.catchUp(), timeout]);
  }

  /**
   * Reads the log if an append is overdue, to detect an unavailable store;
   * reads are rare otherwise.
   */
  async function readLogIfOverdue(appended: Promise<unknown>): Promise<void> {
    const answered = new AbortController();
    void appended.then(() => answered.abort(types.clock.WAIT_ENDED));
    await types.clock.sleepFor(clock, OVERDUE_APPEND_MS, answered.signal);
    if (!answered.signal.aborted) await follower.catchUp();
  }

  function outcomeOf(key: string, {type}: ports.AppendOutcome): StoreOutcome {
    switch (type) {
      case 'appended':
        return 'stored';
      case 'moved':
      case 'fenced':
      case 'out_of_sequence':
        // These answer conditions that the append didn't have, and another call
        // of the same append may still be open.
        logger.error('append_misanswered', {key, outcome: type});
        return 'unknown';
    }
  }

  return {
    async store(record) {
      const entry = storeRecords.encode(record);
      const startedAt = clock.monotonic();
      const appended = appender.append(entry, {
        sendBy: types.clock.after(startedAt, SEND_TIMEOUT_MS),
        until: types.clock.after(startedAt, APPEND_TIMEOUT_MS),
      });
      void readLogIfOverdue(appended);
      const answer = await appended;
      if (result.isOk(answer)) return outcomeOf(entry.key, answer.value);
      logger.info('append_failed', {
        key: entry.key,
        error: types.stepError.describeError(answer.error),
      });
      if (answer.error.effect === 'unknown') return 'unknown';
      // A record that wasn't sent shows nothing about the store.
      if (answer.error.kind !== 'too_late') await checkReachability();
      return 'not_run';
    },
    waitMs: () => appender.waitMs(),
    latencyMs: () => appender.latencyMs(),
  };
}
