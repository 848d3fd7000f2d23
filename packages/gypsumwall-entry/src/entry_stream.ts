/** One stream of the log with the entry's follower and appender for it. */
import type * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as records from '@gypsumwall/records';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';

/** Options of `createEntryStream`. */
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

/** A stream with its follower and its appender. */
export interface EntryStream {
  readonly name: string;
  readonly follower: records.streamFollower.StreamFollower;
  readonly appender: records.logAppender.LogAppender;
  /** Appends a record with a default deadline of 10 s. */
  append(
    record: object,
  ): Promise<result.Result<{offset: number}, types.stepError.StepError>>;
  /**
   * Appends a record and waits until the fold has applied it. The log can
   * acknowledge a record before the follower has read it. Without the wait,
   * the scheduler would release an ended task while the job's state still
   * lacks the result, and would start the task a second time.
   */
  appendAndWait(record: object): Promise<boolean>;
  /** Whether the state is complete and the log answered in the last 2.5 s. */
  isCurrent(): boolean;
}

const APPEND_TIMEOUT_MS = 10_000;
/** After this time without an answer of the log, the state may be stale. */
const MAX_AGE_MS = 2_500;

/** Creates follower and appender; the follower reads once `run` is called. */
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
    // The id is new for each process, so its sequence may start at 0.
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
    appendAndWait: async (record) => {
      const appended = await append(record);
      if (appended.isErr) return false;
      return follower.waitFor(appended.value.offset, appendDeadline());
    },
    isCurrent: () => {
      const answeredAt = follower.lastAnswerAt();
      if (!follower.isCaughtUp() || answeredAt === undefined) return false;
      return clock.monotonic() < types.clock.after(answeredAt, MAX_AGE_MS);
    },
  };
}
