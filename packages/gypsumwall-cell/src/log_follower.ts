/**
 * Follows a keyed log: first the newest record of each key, then each record
 * as it comes. Records are handed on once and in the order of their offsets.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';
import type * as storePulse from './store_pulse.js';

/** Pause after a failed call, doubled up to the longest; milliseconds. */
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 400;

/** What a follower is made with. */
export interface FollowerOptions {
  readonly log: ports.KeyedLog;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly pulse: storePulse.StorePulse;
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
}

/** Creates a follower; nothing is read before `run`. */
export function createLogFollower(options: FollowerOptions): LogFollower {
  const {log, clock, logger} = options;
  const stopping = new AbortController();
  let position: number | undefined;
  let reachableSince: types.clock.MonotonicMs | undefined;
  let failing = false;
  let loading: Promise<boolean> | undefined;

  function answered(): void {
    reachableSince ??= clock.monotonic();
    if (!failing) return;
    failing = false;
    logger.info('dependency_regained', {dependency: `log ${log.name}`});
  }

  function failed(err: types.stepError.StepError): void {
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
    position = fresh[fresh.length - 1]!.offset + 1;
    options.onRecords(fresh, false);
  }

  /** One load at a time: a large log takes a while, and a second as long. */
  function load(): Promise<boolean> {
    loading ??= loadOnce().finally(() => (loading = undefined));
    return loading;
  }

  async function loadOnce(): Promise<boolean> {
    const found: ports.KeyedRecord[] = [];
    let after: string | undefined;
    let end: number | undefined;
    do {
      const page = await log.newest(after);
      if (result.isErr(page)) {
        failed(page.error);
        return false;
      }
      answered();
      found.push(...page.value.records);
      // Pages are no snapshot: go on from where the first one was made.
      end ??= page.value.endOffset;
      after = page.value.nextAfter;
    } while (after !== undefined);
    found.sort((a, b) => a.offset - b.offset);
    position = end;
    options.onRecords(found, true);
    logger.info('log_loaded', {log: log.name, records: found.length, end});
    return true;
  }

  async function readOnce(waitMs: number): Promise<boolean> {
    if (position === undefined) return load();
    const sentAt = clock.monotonic();
    const read = await log.read(position, waitMs);
    if (result.isErr(read)) {
      failed(read.error);
      return false;
    }
    answered();
    options.pulse.noteRead(sentAt, clock.monotonic());
    switch (read.value.type) {
      case 'records':
        apply(read.value.records);
        return true;
      case 'compacted':
        logger.warn('log_compacted', {log: log.name, position});
        return load();
    }
  }

  /**
   * Waits after a failed call, or until another read of this entry is
   * answered: then the store is back.
   */
  function pauseForReturn(spanMs: number): Promise<void> {
    const until = types.clock.after(clock.monotonic(), spanMs);
    return clock.sleepUntil(until, options.pulse.nextAnswer());
  }

  return {
    async run() {
      let failurePauseMs = FIRST_PAUSE_MS;
      while (!stopping.signal.aborted) {
        // A read that waits would notice the return only with its end.
        const away = reachableSince === undefined;
        if (await readOnce(away ? 0 : options.readWaitMs)) {
          failurePauseMs = FIRST_PAUSE_MS;
          const spanMs = options.pauseMs();
          await types.clock.pause(clock, spanMs, stopping.signal);
        } else {
          await pauseForReturn(failurePauseMs);
          failurePauseMs = Math.min(LONGEST_PAUSE_MS, failurePauseMs * 2);
        }
      }
    },
    stop: () => stopping.abort(),
    position: () => position,
    catchUp: () => readOnce(0),
    reachableSince: () => reachableSince,
  };
}
