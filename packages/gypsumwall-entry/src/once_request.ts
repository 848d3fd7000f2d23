/**
 * Runs a request that may not be repeated: at most one attempt, ever, per team
 * and idempotency key. Each entry first appends an intent to the log, and only
 * the entry whose intent is the key's first in log order sends the request. If
 * that entry crashes, its intent stays without an outcome: further calls with
 * the key get `unknown`, never a second attempt.
 */
import * as result from 'true-myth/result';
import * as records from '@gypsumwall/records';
import type * as routing from '@gypsumwall/routing';
import * as types from '@gypsumwall/types';
import * as authenticate from './authenticate.js';
import * as logProblem from './log_problem.js';
import * as problem from './problem.js';
import * as wholeAnswer from './whole_answer.js';

/** Options of `createOnceRequest`. */
export interface OnceRequestOptions {
  readonly self: types.ids.EntryId;
  readonly clock: types.clock.Clock;
  readonly requests: records.requestFold.RequestFold;
  readonly follower: records.streamFollower.StreamFollower;
  readonly appender: records.logAppender.LogAppender;
  readonly router: routing.router.Router;
}

/** A request with its idempotency key. */
export type KeyedRequest = routing.router.RoutedRequest & {
  readonly key: types.ids.IdempotencyKey;
};

/** Deadline for the append of an outcome. */
const OUTCOME_APPEND_TIMEOUT_MS = 10_000;
/** Longest time that an answer is delayed until its outcome is recorded. */
const OUTCOME_WAIT_MS = 200;
/** Added to the window, so that an outcome whose append is in flight counts. */
const WINDOW_SLACK_MS = 5_000;
const RETRY_AFTER_MS = 1_000;
/** Larger answers are not stored for repeated calls. */
const MAX_STORED_ANSWER_BYTES = 64 * 1024;

type Answer = Promise<result.Result<wholeAnswer.WholeAnswer, problem.Problem>>;

/** Creates the function that runs such requests. */
export function createOnceRequest(
  options: OnceRequestOptions,
): (req: KeyedRequest) => Answer {
  const {clock, requests, follower, appender} = options;

  async function runOnce(req: KeyedRequest): Answer {
    const known = requests.key(req.team, req.key);
    const bodyHash = authenticate.sha256(req.body);
    if (known !== undefined && known.outcome?.outcome.type !== 'not_run') {
      return answerOfFirstIntent(req, bodyHash);
    }
    const intent = await appendIntent(req, bodyHash);
    if (intent.isErr) return result.err(intent.error);
    const current = requests.key(req.team, req.key);
    if (current?.offset !== intent.value)
      return answerOfFirstIntent(req, bodyHash);
    // The wait for the log or a pause of this process may have taken too long.
    if (clock.monotonic() >= req.deadline) {
      const late = notRun(
        'deadline_passed',
        'the request was not recorded in time',
      );
      await appendOutcome(req, late);
      return result.err(problem.ofOutcome(late));
    }
    return run(req);
  }

  async function appendIntent(
    req: KeyedRequest,
    bodyHash: string,
  ): Promise<result.Result<number, problem.Problem>> {
    const outage = appender.outage();
    if (outage !== undefined) {
      return result.err(logProblem.logUnavailable(outage.retryAfterMs));
    }
    const remainingMs = Math.max(0, req.deadline - clock.monotonic());
    const appended = await appendRecord(
      {
        type: 'intent',
        team: req.team,
        key: req.key,
        requestId: req.requestId,
        entryId: options.self,
        operation: req.operation,
        bodyHash,
        windowMs: Math.ceil(remainingMs) + WINDOW_SLACK_MS,
        acceptedAt: clock.wall(),
      },
      req.deadline,
    );
    // The request is sent only after its intent has been read back as the
    // first one. So it did not run, whether or not the append took effect.
    if (appended.isErr) {
      const message = types.stepError.describeError(appended.error);
      if (appended.error.effect === 'unknown') void withdraw(req, message);
      return result.err(
        problem.notRun('log_unavailable', message, RETRY_AFTER_MS),
      );
    }
    const {offset} = appended.value;
    if (await follower.waitFor(offset, req.deadline)) return result.ok(offset);
    const message = 'the intent could not be read back from the log';
    void withdraw(req, message);
    return result.err(
      problem.notRun('log_unavailable', message, RETRY_AFTER_MS),
    );
  }

  /**
   * Records that the intent will never run, which frees its key for a retry.
   * Otherwise the key would be blocked until the window ends, and its outcome
   * would be `unknown` after that.
   */
  function withdraw(req: KeyedRequest, message: string): Promise<void> {
    return appendOutcome(req, notRun('log_unavailable', message));
  }

  async function run(req: KeyedRequest): Answer {
    const routed = await options.router.route({...req, idempotent: false});
    if (routed.isErr) {
      await appendOutcome(req, routed.error);
      return result.err(problem.ofOutcome(routed.error));
    }
    const whole = await wholeAnswer.readWholeAnswer(routed.value);
    if (whole.isErr) {
      const unknown = unknownOutcome(whole.error);
      await appendOutcome(req, unknown);
      return result.err(problem.ofOutcome(unknown));
    }
    await appendOutcome(req, {type: 'done'}, whole.value);
    return result.ok(whole.value);
  }

  /** Waits for the outcome of the key's first intent and returns its answer. */
  async function answerOfFirstIntent(
    req: KeyedRequest,
    bodyHash: string,
  ): Answer {
    const keyState = requests.key(req.team, req.key);
    if (keyState === undefined) {
      return result.err(
        problem.notRun(
          'key_in_use',
          `key "${req.key}" is in use`,
          RETRY_AFTER_MS,
        ),
      );
    }
    if (keyState.intent.bodyHash !== bodyHash) {
      return result.err(
        problem.notRun(
          'key_in_use',
          `idempotency-key "${req.key}" was used with another body: use a ` +
            'new key for a new request',
        ),
      );
    }
    const waitUntil = Math.min(
      req.deadline,
      keyState.windowEnds,
    ) as types.clock.MonotonicMs;
    await requests.waitForOutcome(req.team, req.key, waitUntil);
    return answerFromLog(requests.key(req.team, req.key));
  }

  async function appendRecord(
    record: records.requestRecords.RequestRecord,
    deadline: types.clock.MonotonicMs,
  ) {
    return appender.append(records.envelope.encodeRecord(record), deadline);
  }

  /**
   * Records the outcome of the attempt. The append usually takes milliseconds,
   * and the answer waits for it, so that a repeated call finds the outcome. A
   * log that is slow or down must not delay the caller's answer: the append
   * then continues in the background. If it fails, a repeated call gets
   * `unknown`, which is correct.
   */
  async function appendOutcome(
    req: KeyedRequest,
    outcome: types.outcome.Outcome,
    answer?: wholeAnswer.WholeAnswer,
  ): Promise<void> {
    const deadline = types.clock.after(
      clock.monotonic(),
      OUTCOME_APPEND_TIMEOUT_MS,
    );
    const recorded = appendRecord(
      {
        type: 'outcome',
        team: req.team,
        key: req.key,
        requestId: req.requestId,
        outcome,
        ...(answer === undefined || answer.body.length > MAX_STORED_ANSWER_BYTES
          ? {}
          : {
              answer: Buffer.from(answer.body).toString('base64'),
              contentType: answer.contentType,
            }),
      },
      deadline,
    );
    const timer = new AbortController();
    const waitUntil = types.clock.after(clock.monotonic(), OUTCOME_WAIT_MS);
    await Promise.race([recorded, clock.sleepUntil(waitUntil, timer.signal)]);
    timer.abort();
  }

  return runOnce;
}

const ANSWER_NOT_STORED =
  'the request with this key has already run; its answer is not ' +
  'available, because it was too large or is too old';

function answerFromLog(
  known: records.requestFold.KeyState | undefined,
): result.Result<wholeAnswer.WholeAnswer, problem.Problem> {
  const recorded = known?.outcome;
  if (recorded === undefined) {
    return result.err(
      problem.unknownOutcome(
        'the only attempt for this key has no recorded end: it may have run',
      ),
    );
  }
  switch (recorded.outcome.type) {
    case 'done':
      return recorded.answer === undefined
        ? result.err(problem.unknownOutcome(ANSWER_NOT_STORED))
        : result.ok({
            contentType: recorded.contentType ?? 'application/octet-stream',
            body: Buffer.from(recorded.answer, 'base64'),
          });
    case 'not_run':
    case 'unknown':
      return result.err(problem.ofOutcome(recorded.outcome));
  }
}

function notRun(
  reason: types.outcome.RefusalReason,
  message: string,
): Extract<types.outcome.Outcome, {type: 'not_run'}> {
  return {type: 'not_run', reason, message, retryAfterMs: RETRY_AFTER_MS};
}

function unknownOutcome(
  message: string,
): Extract<types.outcome.Outcome, {type: 'unknown'}> {
  return {type: 'unknown', message};
}
