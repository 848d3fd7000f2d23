/**
 * One try of a request at one upstream: it ends with the head of an answer or
 * with an error, and the slot is given back when the upstream is done with it.
 */
import * as stream from 'node:stream';
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import type * as alarms from './alarms.js';
import * as patienceWatch from './patience_watch.js';
import type * as retryBudget from './retry_budget.js';
import type * as router from './router.js';
import type * as serviceTimes from './service_times.js';
import type * as upstreamHealth from './upstream_health.js';
import type * as upstreamSlots from './upstream_slots.js';

/** The parts that an attempt goes through. */
export interface AttemptOptions {
  readonly clock: types.clock.Clock;
  readonly alarms: alarms.Alarms;
  readonly times: serviceTimes.ServiceTimes;
  readonly requestBoundMs: number;
  /** Called once, when the slot may be used again. */
  readonly release: (slots: upstreamSlots.UpstreamSlots) => void;
  /** Called when an answer that was promised has come to its end. */
  readonly answerEnded: (req: router.RoutedRequest, tookMs: number) => void;
  /** Called when something spoke against the upstream. */
  readonly onFault: (slots: upstreamSlots.UpstreamSlots) => void;
}

type Sent = result.Result<
  platform.upstream.UpstreamAnswer,
  types.stepError.StepError
>;

/** How a try ended. */
export interface AttemptEnd {
  readonly answer: Sent;
  /** The retry that follows has been taken out of the budget already. */
  readonly retryTaken: boolean;
}

/** Sends one request to one upstream. */
export type Attempt = (
  req: router.RoutedRequest,
  slots: upstreamSlots.UpstreamSlots,
  budget: retryBudget.RetryBudget,
) => Promise<AttemptEnd>;

/**
 * Service times have long tails: to give up a request that is merely long
 * wastes what was done for it, and a slot at the upstream until it is done.
 * So a try is given up only in this range of multiples of the pessimistic
 * time, as late as another try can still make the deadline.
 */
const SOONEST_GIVE_UP = 3;
const LATEST_GIVE_UP = 8;
const SHORTEST_PATIENCE_MS = 50;

/** Makes the function that sends. */
export function createAttempt(options: AttemptOptions): Attempt {
  const {clock, times} = options;

  const blame = (
    slots: upstreamSlots.UpstreamSlots,
    fault: upstreamHealth.UpstreamFault,
  ) => {
    slots.health.failed(fault, clock.monotonic());
    options.onFault(slots);
  };

  /**
   * After an unknown end the upstream may still be at work on the request, and
   * a new one in its place would be one too many there. It is taken to be at
   * work for as long again as it has been.
   */
  const releaseAfterLinger = (
    slots: upstreamSlots.UpstreamSlots,
    startedAt: types.clock.MonotonicMs,
    latest: types.clock.MonotonicMs,
  ) => {
    const now = clock.monotonic();
    const twice = types.clock.after(now, now - startedAt);
    const endsAt = twice < latest ? twice : latest;
    options.alarms.set(endsAt, () => options.release(slots));
  };

  const giveUpAfterMs = (req: router.RoutedRequest, slackMs: number) => {
    const pessimisticMs = times.pessimisticMs(req);
    const lastChanceMs = slackMs - pessimisticMs;
    const soonestMs = Math.max(
      SHORTEST_PATIENCE_MS,
      SOONEST_GIVE_UP * pessimisticMs,
    );
    return lastChanceMs < soonestMs
      ? Infinity
      : Math.min(lastChanceMs, LATEST_GIVE_UP * pessimisticMs);
  };

  return async (req, slots, budget) => {
    const startedAt = clock.monotonic();
    const bound = types.clock.after(startedAt, options.requestBoundMs);
    const deadline = req.deadline < bound ? req.deadline : bound;
    const typicalMs = times.typicalMs(req);
    const patienceMs = giveUpAfterMs(req, req.deadline - startedAt);
    const giveUpAt = types.clock.after(startedAt, patienceMs);
    const watch = patienceWatch.watchPatience(
      options.alarms,
      req,
      giveUpAt,
      () => {
        blame(slots, 'failing');
        return req.idempotent && budget.take();
      },
    );
    const sent = await slots.client.execute(
      upstreamRequest(req, deadline, watch.signal),
    );
    watch.stop();
    const answer = watch.gaveUp() ? withoutAnswer(sent, slots.id) : sent;
    const end = {answer, retryTaken: watch.gaveUp()};
    if (answer.isErr) {
      const fault = faultOf(answer.error, req, watch);
      if (fault !== undefined) blame(slots, fault);
      if (answer.error.effect === 'not_run') options.release(slots);
      else releaseAfterLinger(slots, startedAt, bound);
      return end;
    }
    // The slot is in use until the last byte of the answer has come.
    stream.finished(answer.value.body, (err) => {
      const now = clock.monotonic();
      const tookMs = now - startedAt;
      if (isBroken(err, req)) blame(slots, 'failing');
      else if (!watch.isOver()) {
        slots.health.answered(tookMs / typicalMs, now);
        options.onFault(slots);
      }
      options.release(slots);
      options.answerEnded(req, tookMs);
    });
    return end;
  };
}

function upstreamRequest(
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
 * An answer may come in the moment in which its try is given up. The signal
 * has cut its connection already: it would break off halfway.
 */
function withoutAnswer(
  sent: Sent,
  peer: string,
): result.Result<never, types.stepError.StepError> {
  if (sent.isErr) return result.err(sent.error);
  sent.value.body.on('error', () => undefined);
  sent.value.body.destroy();
  const step = 'routing.attempt';
  const message = 'the answer came when the try had been given up';
  return result.err({kind: 'timeout', effect: 'unknown', step, peer, message});
}

/** Whether an answer broke off for want of its upstream. */
function isBroken(
  err: NodeJS.ErrnoException | null | undefined,
  req: router.RoutedRequest,
): boolean {
  if (err === null || err === undefined) return false;
  if (err.name === 'TimeoutError' || req.signal?.aborted === true) return false;
  // The reader stopped reading.
  return err.code !== 'ERR_STREAM_PREMATURE_CLOSE';
}

/** What an error says about the upstream; undefined when it says nothing. */
function faultOf(
  err: types.stepError.StepError,
  req: router.RoutedRequest,
  watch: patienceWatch.PatienceWatch,
): upstreamHealth.UpstreamFault | undefined {
  // Blamed when the patience ended; a caller that left proves nothing.
  if (watch.isOver() || req.signal?.aborted === true) return undefined;
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
      // The request's own deadline came first.
      return undefined;
  }
}
