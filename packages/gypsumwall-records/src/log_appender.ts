/**
 * Appends to one stream by group commit: records that arrive while an append is
 * in flight are batched for the next one. The log accepts hundreds of appends
 * per second, but peak load brings thousands of records.
 *
 * An append whose answer was lost is not simply repeated. Instead, void records
 * with higher sequences are appended until the log confirms one. The records
 * that are in the log before it have taken effect; the others never will (see
 * `producer_sequences.ts`). So callers get `not_run` only if it is certain.
 */
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as envelope from './envelope.js';
import type * as streamFollower from './stream_follower.js';

/** Options of `createLogAppender`. */
export interface LogAppenderOptions {
  readonly stream: string;
  /** Unique to this process: a new one must not continue an old sequence. */
  readonly producer: string;
  readonly log: platform.platformLog.PlatformLog;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly follower: Pick<
    streamFollower.StreamFollower,
    'waitFor' | 'restores' | 'lastAnswerAt'
  >;
  /**
   * Minimum time between the starts of two appends. The log accepts some
   * hundreds of appends per second from all entries together; under load the
   * gap leads to larger batches. An append after a pause is sent at once.
   */
  readonly minGapMs: number;
  /** Stops the loops that may outlast a call. */
  readonly signal: AbortSignal;
}

type AppendResult = result.Result<
  {readonly offset: number},
  types.stepError.StepError
>;

/** Appends records. */
export interface LogAppender {
  /**
   * Resolves by the deadline. An error has the effect `not_run` if the record
   * certainly does not take effect now or later, or else `unknown`.
   */
  append(
    body: string,
    deadline: types.clock.MonotonicMs,
  ): Promise<AppendResult>;
  /** The follower must call this for each valid record of the stream. */
  observe(record: platform.platformLog.LogRecord): void;
  /** Returns when to retry if an append would be refused now. */
  outage(): {readonly retryAfterMs: number} | undefined;
}

const MAX_BATCH_RECORDS = 512;
const VOID_RETRY_MS = 300;
/** Longer than the follower's long poll plus a slow answer to it. */
const MAX_SILENCE_MS = 4_000;
const RETRY_AFTER_MS = 1_000;
/** Interval at which the wait for the follower checks for a stop. */
const FOLLOWER_WAIT_MS = 1_000;

interface PendingAppend {
  readonly body: string;
  readonly deadline: types.clock.MonotonicMs;
  /** Settles the caller's promise; later calls have no effect. */
  readonly settle: (answer: AppendResult) => void;
  isSettled: boolean;
}

interface SentBatch {
  readonly sequence: number;
  readonly pendings: readonly PendingAppend[];
}

/** Creates an appender with an empty queue. */
export function createLogAppender(options: LogAppenderOptions): LogAppender {
  const {stream, producer, log, clock} = options;
  const logger = options.logger.with({stream});
  const queue: PendingAppend[] = [];
  /** Offsets, by sequence, of own records that the follower has read. */
  const observed = new Map<number, number>();
  let sequence = 0;
  let isSending = false;
  let nextAppendAt = clock.monotonic();
  let isInDoubt = false;

  function settleWithError(
    pending: PendingAppend,
    effect: types.stepError.Effect,
    message: string,
  ): void {
    pending.settle(
      result.err({
        kind: effect === 'unknown' ? 'timeout' : 'unreachable',
        step: 'log.append',
        peer: stream,
        effect,
        message,
        retryAfterMs: VOID_RETRY_MS * 2,
      }),
    );
  }

  /**
   * Whether the log has not answered the follower for a while. An append would
   * probably time out and be `unknown`; refusing it makes it `not_run`.
   */
  function isLogSilent(): boolean {
    const answeredAt = options.follower.lastAnswerAt();
    if (answeredAt === undefined) return true;
    return clock.monotonic() > types.clock.after(answeredAt, MAX_SILENCE_MS);
  }

  async function sendAll(): Promise<void> {
    if (isSending) return;
    isSending = true;
    while (queue.length > 0) {
      await clock.sleepUntil(nextAppendAt, options.signal);
      nextAppendAt = types.clock.after(clock.monotonic(), options.minGapMs);
      const pendings = queue
        .splice(0, MAX_BATCH_RECORDS)
        .filter((pending) => !pending.isSettled);
      if (pendings.length > 0) await sendBatch(pendings);
    }
    isSending = false;
  }

  async function sendBatch(pendings: readonly PendingAppend[]): Promise<void> {
    const batch: SentBatch = {sequence, pendings};
    observed.clear();
    sequence += pendings.length;
    const answer = await log.append({
      stream,
      producer,
      sequence: batch.sequence,
      bodies: pendings.map((pending) => pending.body),
    });
    if (answer.isOk) {
      const first = answer.value.firstOffset;
      pendings.forEach((pending, index) =>
        pending.settle(result.ok({offset: first + index})),
      );
      return;
    }
    logger.warn('append_failed', {
      records: pendings.length,
      reason: types.stepError.describeError(answer.error),
    });
    if (answer.error.effect === 'not_run') {
      for (const pending of pendings) {
        settleWithError(pending, 'not_run', answer.error.message);
      }
      return;
    }
    await resolveUnknownBatch(batch);
  }

  async function resolveUnknownBatch(batch: SentBatch): Promise<void> {
    isInDoubt = true;
    // Queued records were never sent, so they are refused at once.
    for (const pending of queue.splice(0)) {
      settleWithError(pending, 'not_run', 'an earlier append is in doubt');
    }
    const restoresBefore = options.follower.restores();
    const isFollowed = await waitForFollower(await appendVoid());
    // If the follower restored a snapshot, it did not see each record.
    const hasSeenEach =
      isFollowed && options.follower.restores() === restoresBefore;
    batch.pendings.forEach((pending, index) => {
      const offset = observed.get(batch.sequence + index);
      if (offset !== undefined) pending.settle(result.ok({offset}));
      else if (hasSeenEach)
        settleWithError(pending, 'not_run', 'the log did not store the record');
      else
        settleWithError(
          pending,
          'unknown',
          'the record could not be read back from the log',
        );
    });
    observed.clear();
    isInDoubt = false;
    logger.info('append_doubt_resolved', {records: batch.pendings.length});
  }

  /** Waits until the follower has read the offset; false if closing. */
  async function waitForFollower(offset: number | undefined): Promise<boolean> {
    while (offset !== undefined && !options.signal.aborted) {
      const deadline = types.clock.after(clock.monotonic(), FOLLOWER_WAIT_MS);
      if (await options.follower.waitFor(offset, deadline)) return true;
    }
    return false;
  }

  /** Appends void records until one is confirmed, and returns its offset. */
  async function appendVoid(): Promise<number | undefined> {
    const body = envelope.encode({type: 'void', v: envelope.RECORD_VERSION});
    while (!options.signal.aborted) {
      const answer = await log.append({
        stream,
        producer,
        sequence,
        bodies: [body],
      });
      sequence += 1;
      if (answer.isOk) return answer.value.firstOffset;
      const retryAt = types.clock.after(clock.monotonic(), VOID_RETRY_MS);
      await clock.sleepUntil(retryAt, options.signal);
    }
    return undefined;
  }

  return {
    append: (body, deadline) =>
      new Promise<AppendResult>((resolve) => {
        const timer = new AbortController();
        const pending: PendingAppend = {
          body,
          deadline,
          isSettled: false,
          settle: (answer) => {
            if (pending.isSettled) return;
            pending.isSettled = true;
            timer.abort();
            resolve(answer);
          },
        };
        if (isInDoubt) {
          settleWithError(pending, 'not_run', 'the log does not answer');
          return;
        }
        queue.push(pending);
        void clock.sleepUntil(deadline, timer.signal).then(() => {
          const isUnsent = queue.includes(pending);
          settleWithError(
            pending,
            isUnsent ? 'not_run' : 'unknown',
            'the log did not answer in time',
          );
        });
        void sendAll();
      }),
    observe: (record) => {
      if (record.producer !== producer) return;
      // The offset is needed only until the record's batch is settled.
      if (isSending) observed.set(record.sequence, record.offset);
    },
    outage: () =>
      isInDoubt || isLogSilent() ? {retryAfterMs: RETRY_AFTER_MS} : undefined,
  };
}
