/** One stream of the log as an entry uses it: read, appended to, restored. */
import type * as platform from '@gypsumwall/platform';
import * as records from '@gypsumwall/records';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';

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
}

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
  return {name: stream, follower, appender};
}
