/** One stream of the log as an entry uses it: read, appended to, restored. */
import type * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as records from '@gypsumwall/records';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';

/** What a stream needs. */
export interface EntryStreamOptions {
  readonly stream: string;
  readonly self: types.ids.EntryId;
  readonly log: platform.platformLog.PlatformLog;
  readonly fold: records.streamFold.StreamFold;
  /** See `LogAppenderOptions.minGapMs`. */
  readonly minGapMs: number;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly signal: AbortSignal;
}

/** A stream with its reader and its writer. */
export interface EntryStream {
  readonly name: string;
  readonly follower: records.streamFollower.StreamFollower;
  readonly appender: records.logAppender.LogAppender;
  /** Appends a record, for a caller that has no deadline of its own. */
  append(
    record: object,
  ): Promise<result.Result<{offset: number}, types.stepError.StepError>>;
  /**
   * Appends, and waits until the record is applied here. The log's answer can
   * come before the record is read back: a task's end would then be released
   * while the job's state still lacks its result, and the task would be
   * started a second time.
   */
  appendAndApply(record: object): Promise<boolean>;
  /** Whether the stream has lately been read up to its end. */
  isCurrent(): boolean;
}

const APPEND_TIMEOUT_MS = 10_000;
/** A log unheard for this long is not known to its end. */
const MAX_AGE_MS = 2_500;

/** Makes reader and writer; the reader is started by its `run`. */
export function createEntryStream(options: EntryStreamOptions): EntryStream {
  const {stream, log, clock, logger, signal} = options;
  const follower = records.streamFollower.createStreamFollower({
    stream,
    log,
    fold: options.fold,
    clock,
    logger,
    onRecord: (record) => appender.observe(record),
  });
  const appender = records.logAppender.createLogAppender({
    stream,
    // The id is new with each process, so its count begins anew with it.
    producer: options.self,
    log,
    clock,
    logger,
    follower,
    minGapMs: options.minGapMs,
    signal,
  });

  const appendDeadline = () =>
    types.clock.after(clock.monotonic(), APPEND_TIMEOUT_MS);
  const append: EntryStream['append'] = (record) =>
    appender.append(records.envelope.encodeRecord(record), appendDeadline());
  return {
    name: stream,
    follower,
    appender,
    append,
    appendAndApply: async (record) => {
      const appended = await append(record);
      if (appended.isErr) return false;
      return follower.waitFor(appended.value.offset, appendDeadline());
    },
    isCurrent: () => {
      const answeredAt = follower.lastAnswerAt();
      if (!follower.caughtUp() || answeredAt === undefined) return false;
      return clock.monotonic() < types.clock.after(answeredAt, MAX_AGE_MS);
    },
  };
}
