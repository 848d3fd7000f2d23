/**
 * The holder's session with one incarnation of a worker: it polls the worker
 * continuously, renews its lease, passes its reports to the scheduler, and
 * sends the orders.
 */
import * as events from 'node:events';
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as pollDelays from './poll_delay.js';
import * as pollWithRetry from './poll_with_retry.js';
import type * as orderWindow from './order_window.js';
import type * as ports from './ports.js';
import * as workerClocks from './worker_clock.js';

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
/**
 * Timeout of the answer to an order, thirty times the usual latency. An
 * unanswered order is settled by a stop and a poll before its task starts
 * elsewhere, and urgent tasks can spare about 500 ms for all of that;
 * milliseconds.
 */
const ORDER_TIMEOUT_MS = 250;
/** Pause after an unanswered poll; milliseconds. */
const RETRY_PAUSE_MS = 150;
/**
 * Pause after an unanswered or refused stop, doubled after each further one up
 * to the maximum: the stops of all attempts on a worker fail together;
 * milliseconds.
 */
const FIRST_STOP_PAUSE_MS = 150;
const MAX_STOP_PAUSE_MS = 600;
/**
 * Pause while ended attempts can't be stored. The worker answers at once with
 * the same ones, and would be polled without a pause otherwise; milliseconds.
 */
const UNSTORED_PAUSE_MS = 200;

/** Options of a session. */
export interface SessionOptions {
  readonly worker: scheduling.workerRegistry.WorkerInfo;
  readonly link: ports.WorkerLink;
  readonly token: number;
  /** Length of the next lease on the worker's clock, in milliseconds. */
  readonly leaseMs: () => number;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  /** The delay of all workers' answers to polls. */
  readonly pollDelay?: pollDelays.PollDelay;
  /** The longest lease that an earlier holder granted, in milliseconds. */
  readonly maxLeaseMs: number;
  /** Whether the holder may renew leases now. */
  readonly mayRenew: () => boolean;
  /** The last moment at which this process is known to have held the cell. */
  readonly confirmedAt: () => types.clock.MonotonicMs;
  /** Called when a new scheduling cycle is needed. */
  readonly onChange: () => void;
  /** Resolves once everything reported so far is stored. */
  readonly flush: () => Promise<void>;
  /** The worker has answered under this holder's token for the first time. */
  readonly onFirstReport: () => void;
  readonly onFenced: () => void;
  readonly onGone: () => void;
  /** The lease expired while the worker didn't answer. */
  readonly onLeaseExpired: () => void;
}

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
  /**
   * When the newest answered poll was sent. Until then the worker had not
   * answered a newer holder.
   */
  lastAskedAt(): types.clock.MonotonicMs;
  /** Estimate of the worker's clock; undefined before its first report. */
  clockMs(): number | undefined;
  close(): void;
}

/** Creates a session; it does nothing until `run` is called. */
export function createWorkerSession(options: SessionOptions): WorkerSession {
  const {worker, link, token, clock, logger, scheduler} = options;
  const {pollDelay = pollDelays.createPollDelay()} = options;
  const closing = new AbortController();
  // Every stop in flight adds its own listener to the signal.
  events.EventEmitter.setMaxListeners(0, closing.signal);
  const workerClock = workerClocks.createWorkerClock();
  let isReachable = false;
  let hasReported = false;
  let lastSequence = 0;
  let lastAskedAt = 0 as types.clock.MonotonicMs;
  let acknowledged = 0;
  let isStoring = false;

  function setReachable(reachable: boolean, reason: string): void {
    if (isReachable === reachable) return;
    isReachable = reachable;
    scheduler.setUsable(worker.id, reachable, clock.monotonic());
    const event = reachable ? 'dependency_regained' : 'dependency_lost';
    logger.info(event, {dependency: 'worker', worker: worker.id, reason});
    options.onChange();
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
      timeoutMs: ORDER_TIMEOUT_MS,
    });
    if (closing.signal.aborted || result.isErr(answer)) return;
    if (answer.value.type !== 'report') return;
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
      await onPollFailed(answer.error);
      return;
    }
    switch (answer.value.type) {
      case 'report':
        await applyReport(answer.value, askedAt);
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

  async function onPollFailed(err: types.stepError.StepError): Promise<void> {
    setReachable(false, types.stepError.describeError(err));
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
      setReachable(false, types.stepError.describeError(answer.error));
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
      const answer = await link.start({
        taskId: attempt.taskId,
        attempt: attempt.number,
        payload,
        checkpoint,
        ticket,
        token,
        leaseUntil,
        timeoutMs: ORDER_TIMEOUT_MS,
      });
      const latencyMs = clock.monotonic() - sentAt;
      const type = result.isOk(answer) ? 'answered' : 'lost';
      if (closing.signal.aborted) return {type, latencyMs};
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
      let pauseMs = FIRST_STOP_PAUSE_MS;
      while (!closing.signal.aborted) {
        const {taskId, number: attempt} = target;
        const timeoutMs = ORDER_TIMEOUT_MS;
        const answer = await link.stop({taskId, attempt, token, timeoutMs});
        if (result.isOk(answer)) {
          if (answer.value.type === 'accepted') {
            scheduler.onStopAnswered(target, clock.monotonic());
            await pollAfterStop(target);
            return;
          }
          if (answer.value.type !== 'refused') return;
        }
        await pause(pauseMs);
        pauseMs = Math.min(MAX_STOP_PAUSE_MS, pauseMs * 2);
      }
    },
    isReachable: () => isReachable,
    hasReported: () => hasReported,
    lastAskedAt: () => lastAskedAt,
    clockMs: () => workerClock.estimate(clock.monotonic(), clock.wall()),
    close,
  };
}
