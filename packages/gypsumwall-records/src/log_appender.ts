/**
 * Appends to one stream by group commit: while one append is under way, what
 * comes in the meantime gathers for the next. The log takes hundreds of
 * appends a second, the peak brings thousands of records.
 *
 * An append whose answer was lost is never sent again blindly. A void record
 * with a higher sequence is appended until the log confirms it; what then
 * stands before it has taken effect, and what doesn't never will (see
 * `producer_counts.ts`). So a caller is told `not_run` only when it is proved.
 */
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as envelope from './envelope.js';
import type * as streamFollower from './stream_follower.js';

/** What the appender needs. */
export interface LogAppenderOptions {
  readonly stream: string;
  /** Unique to this process: a new process must not go on in an old count. */
  readonly producer: string;
  readonly log: platform.platformLog.PlatformLog;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly follower: Pick<
    streamFollower.StreamFollower,
    'waitFor' | 'restores' | 'lastAnswerAt'
  >;
  /**
   * Least time between the beginnings of two appends. The log takes some
   * hundreds of appends a second from all entries together: under load this
   * fills the batches instead. An append after a pause goes at once.
   */
  readonly minGapMs: number;
  /** Ends the loops that outlast a caller. */
  readonly signal: AbortSignal;
}

type AppendResult = result.Result<
  {readonly offset: number},
  types.stepError.StepError
>;

/** Appends records. */
export interface LogAppender {
  /**
   * Resolves at the deadline at the latest. Errors: effect `not_run` when the
   * record surely does not and will not stand in the log, else `unknown`.
   */
  append(
    body: string,
    deadline: types.clock.MonotonicMs,
  ): Promise<AppendResult>;
  /** The follower hands in each record of the stream that counted. */
  observe(record: platform.platformLog.LogRecord): void;
  /** Whether an append would be refused at once, and when to come back. */
  outage(): {readonly retryAfterMs: number} | undefined;
}

const MAX_BATCH_RECORDS = 512;
const VOID_RETRY_MS = 300;
/** Longer than a long poll of the follower and a slow answer to it. */
const MAX_SILENCE_MS = 4_000;
const RETRY_AFTER_MS = 1_000;
/** How often the wait for the follower looks whether the process is closing. */
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

/** Makes an appender with an empty queue. */
export function createLogAppender(options: LogAppenderOptions): LogAppender {
  const {stream, producer, log, clock} = options;
  const logger = options.logger.with({stream});
  const queue: PendingAppend[] = [];
  /** Own records seen by the follower while a batch is in doubt. */
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
   * The log has answered no read for long. An append would wait for its
   * deadline and then be `unknown`; refused before, it is surely `not_run`.
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
    // Whoever waits in the queue was never sent: told so at once.
    for (const pending of queue.splice(0)) {
      settleWithError(pending, 'not_run', 'an earlier append is in doubt');
    }
    const restoresBefore = options.follower.restores();
    const isFollowed = await waitForFollower(await appendVoid());
    // A snapshot in between covers records without showing them one by one.
    const hasSeenEach =
      isFollowed && options.follower.restores() === restoresBefore;
    batch.pendings.forEach((pending, index) => {
      const offset = observed.get(batch.sequence + index);
      if (offset !== undefined) pending.settle(result.ok({offset}));
      else if (hasSeenEach)
        settleWithError(pending, 'not_run', 'the log did not take it');
      else
        settleWithError(pending, 'unknown', 'the log could not be read back');
    });
    observed.clear();
    isInDoubt = false;
    logger.info('append_doubt_resolved', {records: batch.pendings.length});
  }

  /** Waits until the follower has seen the offset; false when closing. */
  async function waitForFollower(offset: number | undefined): Promise<boolean> {
    while (offset !== undefined && !options.signal.aborted) {
      const deadline = types.clock.after(clock.monotonic(), FOLLOWER_WAIT_MS);
      if (await options.follower.waitFor(offset, deadline)) return true;
    }
    return false;
  }

  /** Appends void records until one is confirmed; its offset. */
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
      // Kept only until the batch it belongs to is settled.
      if (isSending) observed.set(record.sequence, record.offset);
    },
    outage: () =>
      isInDoubt || isLogSilent() ? {retryAfterMs: RETRY_AFTER_MS} : undefined,
  };
}
