/**
 * The holder's session with one incarnation of a worker: it polls the worker
 * continuously, renews its lease, passes its reports to the scheduler, and
 * sends the orders.
 */
import * as events from 'node:events';
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as pollDelays from './poll_delay.js';
import * as pollWithRetry from './poll_with_retry.js';
import type * as orderWindow from './order_window.js';
import type * as ports from './ports.js';
import * as unansweredStarts from './unanswered_starts.js';
import * as workerClocks from './worker_clock.js';
import type * as workerSessionOptions from './worker_session_options.js';
import * as workerStops from './worker_stops.js';

/**
 * How long a worker may hold back its answer to a poll if no attempt ends;
 * milliseconds.
 */
const POLL_WAIT_MS = 700;
/**
 * Timeout of an answer in addition to the wait, a hundred times the usual
 * latency; milliseconds.
 */
const ANSWER_TIMEOUT_MS = 500;
/** Pause after an unanswered poll; milliseconds. */
const RETRY_PAUSE_MS = 150;
/**
 * Pause while ended attempts can't be stored. The worker answers at once with
 * the same ones, and would be polled without a pause otherwise; milliseconds.
 */
const UNSTORED_PAUSE_MS = 200;

/** The session with one worker. */
export interface WorkerSession {
  readonly workerId: types.ids.WorkerId;
  run(): Promise<void>;
  start(
    order: scheduling.schedulerTypes.StartOrder,
  ): Promise<orderWindow.OrderResult>;
  stopAttempt(attempt: scheduling.activeJob.Attempt): Promise<void>;
  /**
   * Whether the worker is reachable: false from an unanswered poll or start
   * until its next report.
   */
  isReachable(): boolean;
  /** Whether the worker has ever answered in this session. */
  hasReported(): boolean;
  /** Whether it has answered nothing yet, and a poll has failed. */
  isSilent(): boolean;
  /**
   * When the newest answered poll was sent. Until then the worker had not
   * answered a newer holder.
   */
  lastAskedAt(): types.clock.MonotonicMs;
  /** Estimate of the worker's clock; undefined before its first report. */
  clockMs(): number | undefined;
  /** Start orders, also to incarnations before, that were not answered. */
  unansweredStarts(): readonly unansweredStarts.UnansweredStart[];
  /** Stops the attempts of the orders to the incarnation before. */
  stopEarlierStarts(): Promise<void>;
  close(): void;
}

/** Creates a session; it does nothing until `run` is called. */
export function createWorkerSession(
  options: workerSessionOptions.SessionOptions,
): WorkerSession {
  const {worker, link, token, clock, logger, scheduler} = options;
  const {pollDelay = pollDelays.createPollDelay()} = options;
  const closing = new AbortController();
  // Every stop in flight adds its own listener to the signal.
  events.EventEmitter.setMaxListeners(0, closing.signal);
  const workerClock = workerClocks.createWorkerClock();
  const {earlierStarts} = options;
  const starts = unansweredStarts.createUnansweredStarts(
    clock,
    earlierStarts ?? [],
  );
  /** Until then calls to the incarnation before may be carried out. */
  const earlierCallsUntil =
    earlierStarts &&
    types.clock.after(clock.monotonic(), unansweredStarts.MAX_ORDER_DELAY_MS);
  let {bornMs} = worker;
  let isReachable = false;
  let hasReported = false;
  let hasFailed = false;
  let lastSequence = 0;
  let lastAskedAt = 0 as types.clock.MonotonicMs;
  let acknowledged = 0;
  let isStoring = false;

  function setReachable(
    reachable: boolean,
    reason: string,
    isSilent = false,
  ): void {
    if (isReachable === reachable) return;
    isReachable = reachable;
    scheduler.setUsable(worker.id, reachable, clock.monotonic(), isSilent);
    const event = reachable ? 'dependency_regained' : 'dependency_lost';
    logger.info(event, {dependency: 'worker', worker: worker.id, reason});
    options.onChange();
  }

  /** Whether an answer is from the incarnation of this session. */
  function isOwnAnswer(answer: ports.OrderAnswer | ports.PollAnswer): boolean {
    const answered = 'bornMs' in answer ? answer.bornMs : undefined;
    if (answered === undefined || answered === bornMs) return true;
    if (!options.isOwnBirth(answered)) return false;
    bornMs = answered;
    return true;
  }

  function extendLease(): number | undefined {
    const now = workerClock.lowerBound(clock.monotonic());
    if (now === undefined || !options.mayRenew()) return undefined;
    const until = Math.floor(now + options.leaseMs());
    workerClock.recordLease(until);
    return until;
  }

  /**
   * Polls once more, in parallel with the poll that waits for the next ended
   * attempt. An attempt that never started doesn't end, so its task would wait
   * for the other poll.
   */
  async function pollAfterStop(
    attempt: scheduling.activeJob.Attempt,
  ): Promise<void> {
    await pause(1);
    const askedAt = clock.monotonic();
    const answer = await link.poll({
      token,
      acknowledged,
      waitMs: 0,
      timeoutMs: workerStops.ORDER_TIMEOUT_MS,
    });
    if (closing.signal.aborted || result.isErr(answer)) return;
    if (answer.value.type !== 'report' || !hasReported) return;
    if (!isOwnAnswer(answer.value)) return;
    logger.debug('run_settled', {
      task: attempt.taskId,
      attempt: attempt.number,
    });
    await applyReport(answer.value, askedAt);
  }

  async function poll(): Promise<void> {
    // The first poll must return at once, because it reads the worker's clock.
    // So must a poll of an unreachable worker, since nothing starts there until
    // it answers.
    const waitMs = isReachable && !isStoring ? POLL_WAIT_MS : 0;
    // An unreachable worker gets no new lease: a poll that seems lost may
    // arrive late, and then the lease would never expire for certain. Neither
    // does an idle worker: an unneeded long lease would outlast a task that
    // starts there later.
    const needsLease = isReachable && !scheduler.isIdle(worker.id);
    const leaseUntil = needsLease ? extendLease() : undefined;
    const timeoutMs = waitMs + ANSWER_TIMEOUT_MS;
    const {answer, askedAt} = await pollWithRetry.pollWithRetry(
      link,
      {token, acknowledged, leaseUntil, waitMs, timeoutMs},
      clock,
      pollDelay,
    );
    if (closing.signal.aborted) return;
    if (result.isErr(answer)) {
      const {error} = answer;
      const isSilent = error.kind === 'timeout';
      await onPollFailed(types.stepError.describeError(error), isSilent);
      return;
    }
    if (!isOwnAnswer(answer.value)) {
      await onPollFailed('an earlier incarnation answered', false);
      return;
    }
    switch (answer.value.type) {
      case 'report':
        if (!hasReported && (await options.beforeFirstReport())) return;
        if (!closing.signal.aborted) await applyReport(answer.value, askedAt);
        return;
      case 'fenced':
        options.onFenced();
        await pause(RETRY_PAUSE_MS);
        return;
      case 'gone':
        close();
        options.onGone();
        return;
    }
  }

  async function onPollFailed(
    reason: string,
    isSilent: boolean,
  ): Promise<void> {
    if (closing.signal.aborted) return;
    hasFailed = true;
    setReachable(false, reason, isSilent);
    scheduler.onWorkerUnreachable(worker.id);
    // Only leases that expired before the last confirmed append count: a
    // successor may have renewed one that expires later.
    if (hasReported && workerClock.hasLeaseExpired(options.confirmedAt())) {
      options.onLeaseExpired();
    }
    await pause(RETRY_PAUSE_MS);
  }

  async function applyReport(
    report: Extract<ports.PollAnswer, {type: 'report'}>,
    askedAt: types.clock.MonotonicMs,
  ): Promise<void> {
    // Answers may arrive out of order; the newer answer repeats what this one
    // reports.
    if (askedAt < lastAskedAt) return;
    lastAskedAt = askedAt;
    const now = clock.monotonic();
    workerClock.recordReading(report.clockMs, now, clock.wall());
    // An earlier holder may have granted a longer lease than this one does. It
    // can't grant one after this answer, because the worker now refuses its
    // token.
    if (!hasReported && report.running.length > 0) {
      workerClock.recordLease(report.clockMs + options.maxLeaseMs);
    }
    // A late call to the incarnation before names a time on another clock, and
    // may have extended the lease up to its maximum.
    if (earlierCallsUntil !== undefined && now < earlierCallsUntil)
      workerClock.recordLease(report.clockMs + options.maxLeaseMs);
    const ends = report.ends.filter((end) => end.sequence > lastSequence);
    for (const end of ends) lastSequence = Math.max(lastSequence, end.sequence);
    const complete = !report.hasMoreEnds;
    const {running} = report;
    scheduler.applyReport(
      {workerId: worker.id, askedAt, running, ends, complete},
      now,
    );
    setReachable(true, 'answered');
    // A report without news changes nothing that a cycle looks at before the
    // next tick.
    if (!hasReported || ends.length > 0) options.onChange();
    if (!hasReported) {
      hasReported = true;
      options.onFirstReport();
    }
    if (ends.length > 0 || isStoring) await acknowledge();
  }

  /**
   * Acknowledges ended attempts once they are stored; the worker then forgets
   * them.
   */
  async function acknowledge(): Promise<void> {
    const upTo = lastSequence;
    isStoring = true;
    const done = options.flush().then(() => {
      acknowledged = Math.max(acknowledged, upTo);
      isStoring = acknowledged < lastSequence;
    });
    await Promise.race([done, pause(UNSTORED_PAUSE_MS)]);
  }

  const pause = (spanMs: number) =>
    types.clock.sleepFor(clock, spanMs, closing.signal);

  function startOutcome(
    answer: result.Result<ports.OrderAnswer, types.stepError.StepError>,
  ): scheduling.schedulerTypes.StartOutcome {
    if (result.isErr(answer)) {
      // Nothing more is sent there until the following stop or a poll is
      // answered. A task that is sent into a network cut is blocked for as long
      // as its lease, and polls detect a cut up to 1.2 s late.
      const {error} = answer;
      const isSilent = error.kind === 'timeout';
      setReachable(false, types.stepError.describeError(error), isSilent);
      if (answer.error.effect === 'unknown') return {type: 'unknown'};
      return {type: 'refused', reason: 'other'};
    }
    switch (answer.value.type) {
      case 'accepted':
        return {type: 'started'};
      case 'refused':
        return answer.value;
      case 'fenced':
        options.onFenced();
        return {type: 'refused', reason: 'other'};
      case 'gone':
        return {type: 'refused', reason: 'other'};
    }
  }

  /**
   * Another incarnation has carried out a start. If it is the next one, the
   * session with that one stops the attempt.
   */
  function onOtherIncarnation(attempt: scheduling.activeJob.Attempt): void {
    if (closing.signal.aborted) return;
    setReachable(false, 'an earlier incarnation answered');
    scheduler.onStartAnswered(attempt, {type: 'unknown'}, clock.monotonic());
    options.onChange();
  }

  const stops = workerStops.createWorkerStops({
    link,
    token,
    closing: closing.signal,
    isOwnAnswer,
    pause,
  });

  function close(): void {
    closing.abort();
    link.close();
  }

  return {
    workerId: worker.id,
    async run() {
      while (!closing.signal.aborted) await poll();
    },
    async start(order) {
      const {attempt, payload, checkpoint, ticket} = order;
      const leaseUntil = extendLease();
      if (leaseUntil === undefined) {
        const refused = {type: 'refused', reason: 'other'} as const;
        scheduler.onStartAnswered(attempt, refused, clock.monotonic());
        return {type: 'unsent'};
      }
      const sentAt = clock.monotonic();
      const reference = {taskId: attempt.taskId, attempt: attempt.number};
      starts.add(reference);
      const answer = await link.start({
        ...reference,
        payload,
        checkpoint,
        ticket,
        token,
        leaseUntil,
        timeoutMs: workerStops.ORDER_TIMEOUT_MS,
      });
      const latencyMs = clock.monotonic() - sentAt;
      const type = result.isOk(answer) ? 'answered' : 'lost';
      if (closing.signal.aborted) return {type, latencyMs};
      // The start stays unanswered meanwhile: the next incarnation may have
      // carried it out, whose session then stops it.
      if (result.isOk(answer) && !isOwnAnswer(answer.value)) {
        onOtherIncarnation(attempt);
        return {type, latencyMs};
      }
      const isSettled =
        result.isOk(answer) || answer.error.effect === 'not_run';
      if (isSettled) starts.onAnswered(reference);
      const outcome = startOutcome(answer);
      scheduler.onStartAnswered(attempt, outcome, clock.monotonic());
      logger.info('start_answered', {
        task: attempt.taskId,
        attempt: attempt.number,
        worker: worker.id,
        outcome: outcome.type === 'refused' ? outcome.reason : outcome.type,
        tookMs: Math.round(latencyMs),
        error: result.isErr(answer)
          ? types.stepError.describeError(answer.error)
          : undefined,
      });
      options.onChange();
      return {type, latencyMs};
    },
    async stopAttempt(target) {
      const {taskId, number: attempt} = target;
      if (!(await stops.send({taskId, attempt}))) return;
      scheduler.onStopAnswered(target, clock.monotonic());
      await pollAfterStop(target);
    },
    unansweredStarts: () => starts.list(),
    async stopEarlierStarts() {
      await Promise.all((earlierStarts ?? []).map(stops.send));
    },
    isReachable: () => isReachable,
    hasReported: () => hasReported,
    isSilent: () => hasFailed && !hasReported,
    lastAskedAt: () => lastAskedAt,
    clockMs: () => workerClock.estimate(clock.monotonic(), clock.wall()),
    close,
  };
}
