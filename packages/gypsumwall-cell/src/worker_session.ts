/**
 * The holder's task for one stay of a worker: it looks at the worker again and
 * again, renews its lease, hands on what it reports, and sends the orders.
 */
import * as events from 'node:events';
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as pollRetry from './poll_retry.js';
import type * as ports from './ports.js';
import * as workerClocks from './worker_clock.js';

/** How long a worker may wait with its report if nothing ends; milliseconds. */
const POLL_WAIT_MS = 700;
/** Time for an answer beside the wait; a hundred times what is usual. */
const ANSWER_TIMEOUT_MS = 500;
/**
 * Time for the answer to an order, thirty times what is usual. An order
 * without one is settled by a stop and a look, and its task starts elsewhere;
 * urgent tasks have some 500 ms to spare for all of it; milliseconds.
 */
const ORDER_TIMEOUT_MS = 250;
/** Pause after a look without an answer; milliseconds. */
const RETRY_PAUSE_MS = 150;
/**
 * Pause while ends can't be stored: the worker then answers at once with the
 * same ends, and would be asked without pause; milliseconds.
 */
const UNSTORED_PAUSE_MS = 200;

/** What a session is made with. */
export interface SessionOptions {
  readonly worker: scheduling.workerRegistry.WorkerInfo;
  readonly link: ports.WorkerLink;
  readonly token: number;
  /** Length of the next lease on the worker's clock, in milliseconds. */
  readonly leaseMs: () => number;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  /** The longest lease that a worker grants, in milliseconds. */
  readonly longestLeaseMs: number;
  /** Whether leases may be renewed, see the holder. */
  readonly mayRenew: () => boolean;
  /** When this process surely held the cell for the last time. */
  readonly confirmedAt: () => types.clock.MonotonicMs;
  /** Something to decide about has changed. */
  readonly onChange: () => void;
  /** Resolves when all that was reported so far is stored. */
  readonly stored: () => Promise<void>;
  /** The worker has answered under our token for the first time. */
  readonly onFirstReport: () => void;
  readonly onFenced: () => void;
  readonly onGone: () => void;
  /** The lease passed while the worker didn't answer. */
  readonly onLeasePassed: () => void;
}

/** The task of one worker. */
export interface WorkerSession {
  readonly workerId: types.ids.WorkerId;
  run(): Promise<void>;
  start(order: scheduling.schedulerTypes.StartOrder): Promise<void>;
  stopRun(run: scheduling.activeJob.Attempt): Promise<void>;
  /** Whether the worker has answered lately. */
  isReachable(): boolean;
  /** Whether it has ever answered in this session. */
  hasReported(): boolean;
  close(): void;
}

/** Creates a session; `run` starts it. */
export function createWorkerSession(options: SessionOptions): WorkerSession {
  const {worker, link, token, clock, logger, scheduler} = options;
  const closing = new AbortController();
  // Each stop on its way waits on the signal by itself.
  events.EventEmitter.setMaxListeners(0, closing.signal);
  const workerClock = workerClocks.createWorkerClock();
  let reachable = false;
  let reported = false;
  let lastSequence = 0;
  let lastAskedAt = 0 as types.clock.MonotonicMs;
  let acknowledged = 0;
  let storing = false;

  function setReachable(now: boolean, reason: string): void {
    if (reachable === now) return;
    reachable = now;
    scheduler.setUsable(worker.id, now, clock.monotonic());
    const event = now ? 'dependency_regained' : 'dependency_lost';
    logger.info(event, {dependency: 'worker', worker: worker.id, reason});
    options.onChange();
  }

  function nextLease(): number | undefined {
    const now = workerClock.read(clock.monotonic());
    if (now === undefined || !options.mayRenew()) return undefined;
    const until = Math.floor(now + options.leaseMs());
    workerClock.noteLease(until);
    return until;
  }

  /**
   * Looks once more, beside the look that waits for the next end: a run that
   * never came up has no end, and its task would wait for the other look.
   */
  async function settle(run: scheduling.activeJob.Attempt): Promise<void> {
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
    logger.debug('run_settled', {task: run.taskId, attempt: run.number});
    await applyReport(answer.value, askedAt);
  }

  async function look(): Promise<void> {
    // The first look must come back at once: it brings the clock. So must one
    // at a worker that was out of reach: until it does, nothing starts there.
    const waitMs = reachable && !storing ? POLL_WAIT_MS : 0;
    // A worker out of reach gets no new lease: a look that seems lost may
    // arrive late, so its lease would never surely pass.
    // Nor does an idle one: a long lease without need would outlast a task that
    // starts there later.
    const needsLease = reachable && !scheduler.isIdle(worker.id);
    const leaseUntil = needsLease ? nextLease() : undefined;
    const timeoutMs = waitMs + ANSWER_TIMEOUT_MS;
    const {answer, askedAt} = await pollRetry.pollRetry(
      link,
      {token, acknowledged, leaseUntil, waitMs, timeoutMs},
      clock,
    );
    if (closing.signal.aborted) return;
    if (result.isErr(answer)) {
      await lookFailed(answer.error);
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

  async function lookFailed(err: types.stepError.StepError): Promise<void> {
    setReachable(false, types.stepError.describeError(err));
    scheduler.onWorkerUnreachable(worker.id);
    // A successor may have renewed a lease that passes after that.
    if (reported && workerClock.leasePassed(options.confirmedAt())) {
      options.onLeasePassed();
    }
    await pause(RETRY_PAUSE_MS);
  }

  async function applyReport(
    report: Extract<ports.PollAnswer, {type: 'report'}>,
    askedAt: types.clock.MonotonicMs,
  ): Promise<void> {
    // Answers may overtake each other. What this one told is told again.
    if (askedAt < lastAskedAt) return;
    lastAskedAt = askedAt;
    const now = clock.monotonic();
    workerClock.note(report.clockMs, now);
    // An earlier holder may have given a longer lease than this one does, and
    // none after this answer, since the worker refuses its token by now.
    if (!reported && report.running.length > 0) {
      workerClock.noteLease(report.clockMs + options.longestLeaseMs);
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
    if (!reported) {
      reported = true;
      options.onFirstReport();
    }
    options.onChange();
    if (ends.length > 0 || storing) await acknowledge();
  }

  /** Ends are stored before they are acknowledged: then they are forgotten. */
  async function acknowledge(): Promise<void> {
    const upTo = lastSequence;
    storing = true;
    const done = options.stored().then(() => {
      acknowledged = Math.max(acknowledged, upTo);
      storing = acknowledged < lastSequence;
    });
    await Promise.race([done, pause(UNSTORED_PAUSE_MS)]);
  }

  const pause = (spanMs: number) =>
    types.clock.sleepFor(clock, spanMs, closing.signal);

  function startOutcome(
    answer: result.Result<ports.OrderAnswer, types.stepError.StepError>,
  ): scheduling.schedulerTypes.StartOutcome {
    if (result.isErr(answer)) {
      // Until the stop that follows is answered, or a look, nothing more is
      // sent there: a task sent into a cut is held for as long as its lease,
      // and the looks tell of a cut up to 1.2 s later.
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
      while (!closing.signal.aborted) await look();
    },
    async start(order) {
      const {attempt: run, payload, checkpoint, ticket} = order;
      const leaseUntil = nextLease();
      if (leaseUntil === undefined) {
        const refused = {type: 'refused', reason: 'other'} as const;
        scheduler.onStartAnswered(run, refused, clock.monotonic());
        return;
      }
      const sentAt = clock.monotonic();
      const answer = await link.start({
        taskId: run.taskId,
        attempt: run.number,
        payload,
        checkpoint,
        ticket,
        token,
        leaseUntil,
        timeoutMs: ORDER_TIMEOUT_MS,
      });
      if (closing.signal.aborted) return;
      const outcome = startOutcome(answer);
      scheduler.onStartAnswered(run, outcome, clock.monotonic());
      logger.info('start_answered', {
        task: run.taskId,
        attempt: run.number,
        worker: worker.id,
        outcome: outcome.type === 'refused' ? outcome.reason : outcome.type,
        tookMs: Math.round(clock.monotonic() - sentAt),
        error: result.isErr(answer)
          ? types.stepError.describeError(answer.error)
          : undefined,
      });
      options.onChange();
    },
    async stopRun(run) {
      while (!closing.signal.aborted) {
        const {taskId, number: attempt} = run;
        const timeoutMs = ORDER_TIMEOUT_MS;
        const answer = await link.stop({taskId, attempt, token, timeoutMs});
        if (result.isOk(answer)) {
          if (answer.value.type === 'accepted') {
            scheduler.onStopAnswered(run, clock.monotonic());
            await settle(run);
            return;
          }
          if (answer.value.type !== 'refused') return;
        }
        await pause(RETRY_PAUSE_MS);
      }
    },
    isReachable: () => reachable,
    hasReported: () => reported,
    close,
  };
}
