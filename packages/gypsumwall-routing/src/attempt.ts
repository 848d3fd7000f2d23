/**
 * An attempt sends a request to one upstream. It ends with the head of an
 * answer or with an error. The slot is released when the upstream has finished
 * the request.
 */
import * as stream from 'node:stream';
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import type * as sharedTimers from './shared_timers.js';
import * as attemptTimeout from './attempt_timeout.js';
import type * as retryBudget from './retry_budget.js';
import type * as router from './router.js';
import type * as serviceTimes from './service_times.js';
import type * as upstreamHealth from './upstream_health.js';
import type * as upstreamState from './upstream_state.js';

/** The dependencies of attempts. */
export interface AttemptOptions {
  readonly clock: types.clock.Clock;
  readonly timers: sharedTimers.SharedTimers;
  readonly times: serviceTimes.ServiceTimes;
  readonly requestBoundMs: number;
  /** Called once for each attempt, when its slot may be used again. */
  readonly release: (upstream: upstreamState.UpstreamState) => void;
  /** Called when the body of an answer has ended, completely or not. */
  readonly onAnswerEnd: (req: router.RoutedRequest, tookMs: number) => void;
  /** Called when the health of the upstream was updated. */
  readonly onHealthUpdate: (upstream: upstreamState.UpstreamState) => void;
}

type SendResult = result.Result<
  platform.upstream.UpstreamAnswer,
  types.stepError.StepError
>;

/** The result of an attempt. */
export interface AttemptResult {
  readonly answer: SendResult;
  /** Whether the next retry has been taken out of the budget already. */
  readonly hasTakenRetry: boolean;
}

/** Sends one request to one upstream. */
export type Attempt = (
  req: router.RoutedRequest,
  upstream: upstreamState.UpstreamState,
  budget: retryBudget.RetryBudget,
) => Promise<AttemptResult>;

/**
 * Service times have long tails. Abandoning an attempt that is merely slow
 * wastes the work done for it, and its slot until the upstream has finished. So
 * the timeout of an attempt is within this range of multiples of the
 * pessimistic service time, and as late as a retry can still meet the deadline.
 */
const MIN_TIMEOUT_FACTOR = 3;
const MAX_TIMEOUT_FACTOR = 8;
const MIN_TIMEOUT_MS = 50;

/** Creates the function that sends a request to an upstream. */
export function createAttempt(options: AttemptOptions): Attempt {
  const {clock, times} = options;

  const recordFault = (
    upstream: upstreamState.UpstreamState,
    fault: upstreamHealth.UpstreamFault,
  ) => {
    upstream.health.recordFault(fault, clock.monotonic());
    options.onHealthUpdate(upstream);
  };

  /**
   * After an unknown outcome the upstream may still be executing the request,
   * and another request in its slot would exceed the upstream's slots. The
   * request is assumed to take as long again as it has taken so far.
   */
  const releaseWhenLikelyDone = (
    upstream: upstreamState.UpstreamState,
    startedAt: types.clock.MonotonicMs,
    latestEnd: types.clock.MonotonicMs,
  ) => {
    const now = clock.monotonic();
    const doubledEnd = types.clock.after(now, now - startedAt);
    const likelyEndAt = doubledEnd < latestEnd ? doubledEnd : latestEnd;
    options.timers.set(likelyEndAt, () => options.release(upstream));
  };

  const computeTimeoutMs = (req: router.RoutedRequest, slackMs: number) => {
    const pessimisticMs = times.pessimisticMs(req);
    const latestRetryMs = slackMs - pessimisticMs;
    const minTimeoutMs = Math.max(
      MIN_TIMEOUT_MS,
      MIN_TIMEOUT_FACTOR * pessimisticMs,
    );
    return latestRetryMs < minTimeoutMs
      ? Infinity
      : Math.min(latestRetryMs, MAX_TIMEOUT_FACTOR * pessimisticMs);
  };

  return async (req, upstream, budget) => {
    const startedAt = clock.monotonic();
    const latestEnd = types.clock.after(startedAt, options.requestBoundMs);
    const deadline = req.deadline < latestEnd ? req.deadline : latestEnd;
    const typicalMs = times.typicalMs(req);
    const timeoutMs = computeTimeoutMs(req, req.deadline - startedAt);
    const timeoutAt = types.clock.after(startedAt, timeoutMs);
    const timeout = attemptTimeout.startAttemptTimeout(
      options.timers,
      req,
      timeoutAt,
      () => {
        recordFault(upstream, 'failing');
        return req.idempotent && budget.tryTake();
      },
    );
    const sent = await upstream.client.execute(
      createUpstreamRequest(req, deadline, timeout.signal),
    );
    timeout.stop();
    const answer = timeout.isAbandoned()
      ? discardAnswer(sent, upstream.id)
      : sent;
    const attemptResult = {answer, hasTakenRetry: timeout.isAbandoned()};
    if (answer.isErr) {
      const fault = faultOf(answer.error, req, timeout);
      if (fault !== undefined) recordFault(upstream, fault);
      if (answer.error.effect === 'not_run') options.release(upstream);
      else releaseWhenLikelyDone(upstream, startedAt, latestEnd);
      return attemptResult;
    }
    // The slot is in use until the last byte of the answer has arrived.
    stream.finished(answer.value.body, (err) => {
      const now = clock.monotonic();
      const tookMs = now - startedAt;
      if (hasUpstreamFailed(err, req)) recordFault(upstream, 'failing');
      else if (!timeout.hasExpired()) {
        upstream.health.recordAnswer(tookMs / typicalMs, now);
        options.onHealthUpdate(upstream);
      }
      options.release(upstream);
      options.onAnswerEnd(req, tookMs);
    });
    return attemptResult;
  };
}

function createUpstreamRequest(
  req: router.RoutedRequest,
  deadline: types.clock.MonotonicMs,
  signal: AbortSignal | undefined,
): platform.upstream.UpstreamRequest {
  const {requestId, team, operation, key, body, traceparent} = req;
  return {
    requestId,
    team,
    operation,
    key,
    body,
    deadline,
    signal,
    traceparent,
  };
}

/**
 * Discards an answer that arrived just when its attempt was abandoned. The
 * signal has already closed the connection, so the body would be truncated.
 */
function discardAnswer(
  sent: SendResult,
  peer: string,
): result.Result<never, types.stepError.StepError> {
  if (sent.isErr) return result.err(sent.error);
  sent.value.body.on('error', () => undefined);
  sent.value.body.destroy();
  const step = 'routing.attempt';
  const message = 'the answer arrived after the attempt had timed out';
  return result.err({kind: 'timeout', effect: 'unknown', step, peer, message});
}

/** Whether an answer was truncated because of its upstream. */
function hasUpstreamFailed(
  err: NodeJS.ErrnoException | null | undefined,
  req: router.RoutedRequest,
): boolean {
  if (err === null || err === undefined) return false;
  if (err.name === 'TimeoutError' || req.signal?.aborted === true) return false;
  // This code means that the reader closed the stream.
  return err.code !== 'ERR_STREAM_PREMATURE_CLOSE';
}

/** The fault of the upstream that an error shows, if any. */
function faultOf(
  err: types.stepError.StepError,
  req: router.RoutedRequest,
  timeout: attemptTimeout.AttemptTimeout,
): upstreamHealth.UpstreamFault | undefined {
  // A timeout was recorded as a fault when it expired. A request that its
  // caller cancelled shows nothing about the upstream.
  if (timeout.hasExpired() || req.signal?.aborted === true) return undefined;
  switch (err.kind) {
    case 'unreachable':
      return 'unreachable';
    case 'refused':
      return err.effect === 'not_run' ? 'refusing' : 'failing';
    case 'conflict':
    case 'invalid':
    case 'truncated':
    case 'stale_epoch':
    case 'closed':
      return 'failing';
    case 'timeout':
    case 'too_late':
      // The deadline of the request passed first.
      return undefined;
  }
}
