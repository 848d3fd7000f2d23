/**
 * The holder's session with one worker: one loop that attaches, sends starts
 * and stops, and renews leases by heartbeats, one call at a time. It reports
 * what happens at the worker to the scheduler through `SessionEvents`.
 */
import type * as platform from '@gypsumwall/platform';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as startOrder from './start_order.js';
import * as workerAttachment from './worker_attachment.js';
import * as workerClock from './worker_clock.js';

type MonotonicMs = types.clock.MonotonicMs;

/** Callbacks of a session, implemented by the scheduler. */
export interface SessionEvents {
  /** The answer lists all attempts that run or have ended on the worker. */
  attached(answer: platform.worker.AttachAnswer): void;
  started(order: startOrder.StartOrder): void;
  /** It is certain that the attempt does not run and never will. */
  notStarted(order: startOrder.StartOrder, message: string): void;
  /** The attempt ended; call `acknowledge` once its end is recorded. */
  ended(task: platform.worker.FinishedTask): void;
  /** The worker has confirmed a requested stop. */
  stopped(attempt: startOrder.Attempt): void;
  usage(usage: readonly platform.worker.TaskUsage[]): void;
  /** A call failed; the worker gets no new work until `attached`. */
  silent(): void;
  /** All leases on the worker have certainly expired, or it was restarted. */
  lapsed(): void;
}

/** Options of `createWorkerSession`. */
export interface WorkerSessionOptions {
  readonly workerId: types.ids.WorkerId;
  readonly worker: platform.worker.Worker;
  readonly epoch: number;
  readonly self: types.ids.EntryId;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly tracer: telemetry.tracing.Tracer;
  readonly metrics: telemetry.metrics.Metrics;
  readonly heartbeatMs: number;
  /** Duration of the lease that each heartbeat grants. */
  readonly leaseMs: number;
  readonly graceMs: number;
  /**
   * Whether two attempts of a task must not overlap. The session waits for the
   * expiry of such tasks' leases only. Tasks of services have longer leases,
   * so that they keep running while the domain has no holder.
   */
  readonly mustRunOnce: (taskId: types.ids.TaskId) => boolean;
  /** Current deadline of the claim; undefined if it is no longer held. */
  readonly claimDeadline: () => MonotonicMs | undefined;
  readonly events: SessionEvents;
}

/** A session with one worker. */
export interface WorkerSession {
  run(signal: AbortSignal): Promise<void>;
  start(order: startOrder.StartOrder): void;
  stop(attempt: startOrder.Attempt): void;
  acknowledge(attempt: types.ids.AttemptId): void;
  throttle(attempt: types.ids.AttemptId, cpuMillis: number): void;
  checkpoint(attempt: types.ids.AttemptId): void;
  isAttached(): boolean;
}

const MAX_STARTS_PER_CALL = 256;

/** Creates a session; it does nothing until `run` is called. */
export function createWorkerSession(
  options: WorkerSessionOptions,
): WorkerSession {
  const {worker, clock, events, epoch, workerId} = options;
  const logger = options.logger.with({worker: workerId});
  const starts: startOrder.StartOrder[] = [];
  const stops: startOrder.Attempt[] = [];
  const acknowledged = new Set<types.ids.AttemptId>();
  const controls: Array<
    (call: platform.worker.HolderCall) => Promise<unknown>
  > = [];
  /** Starts whose answer was lost, so that the task may or may not run. */
  const inDoubt = new Map<types.ids.AttemptId, startOrder.StartOrder>();
  let attachment: workerAttachment.WorkerAttachment | undefined;
  let hasAttached = false;
  let isReachable = false;
  let sleepAbort = new AbortController();

  function resumeLoop(): void {
    sleepAbort.abort();
  }

  function describe(err: types.stepError.StepError): string {
    return types.stepError.describeError(err);
  }

  async function attach(): Promise<boolean> {
    const answer = await worker.attach(epoch, options.self);
    if (answer.isErr) {
      logger.debug('attach_failed', {reason: describe(answer.error)});
      return false;
    }
    const {incarnation, running, finished} = answer.value;
    const isRestarted =
      attachment !== undefined && attachment.call.incarnation !== incarnation;
    if (isRestarted) resetSession();
    attachment = workerAttachment.createAttachment(
      answer.value,
      epoch,
      clock.monotonic(),
      options.mustRunOnce,
    );
    isReachable = true;
    hasAttached = true;
    events.attached(answer.value);
    finished.forEach((task) => events.ended(task));
    logger.info('worker_attached', {epoch, running: running.length});
    return true;
  }

  async function sendStops(
    current: workerAttachment.WorkerAttachment,
  ): Promise<boolean> {
    const requested = stops.splice(0);
    if (requested.length === 0) return true;
    const answer = await worker.stop(current.call, requested);
    if (answer.isErr) {
      logger.warn('stop_failed', {reason: describe(answer.error)});
      stops.unshift(...requested);
      return false;
    }
    for (const attempt of requested) {
      inDoubt.delete(attempt.attempt);
      events.stopped(attempt);
    }
    return true;
  }

  /** Sends queued starts, or cancels them if the claim has lapsed. */
  async function sendStarts(
    current: workerAttachment.WorkerAttachment,
  ): Promise<boolean> {
    const orders = starts.splice(0, MAX_STARTS_PER_CALL);
    if (orders.length === 0) return true;
    const deadline = options.claimDeadline();
    const now = clock.monotonic();
    if (deadline === undefined || deadline <= now) {
      orders.forEach((order) =>
        events.notStarted(order, 'the claim has lapsed'),
      );
      return true;
    }
    const tasks = orders.map((order) =>
      startOrder.toStartTask(current, order, now),
    );
    for (const task of tasks) {
      if (options.mustRunOnce(task.taskId))
        workerAttachment.recordLease(current, task.leaseUntil);
    }
    const startBy = workerClock.toWorkerTime(current.clock, deadline);
    const spans = orders.map((order) =>
      options.tracer.startSpan('worker.start', order.traceparent, {
        worker: workerId,
        task: order.taskId,
        attempt: order.attempt,
      }),
    );
    const answer = await worker.start(current.call, startBy, tasks);
    if (answer.isErr) {
      const {error} = answer;
      spans.forEach((span) => span.end(describe(error)));
      return onStartFailed(orders, error);
    }
    orders.forEach((order, index) => {
      const answerOfTask = answer.value[index];
      const failure = startOrder.startFailureOf(answerOfTask);
      spans[index]?.end(failure);
      const outcome = failure === undefined ? 'started' : 'refused';
      options.metrics.count('taskStarts', {outcome});
      if (failure === undefined) events.started(order);
      else events.notStarted(order, failure);
    });
    return true;
  }

  function onStartFailed(
    orders: readonly startOrder.StartOrder[],
    err: types.stepError.StepError,
  ): boolean {
    logger.warn('start_failed', {tasks: orders.length, reason: describe(err)});
    options.metrics.count(
      'taskStarts',
      {outcome: err.effect === 'not_run' ? 'refused' : 'unknown'},
      orders.length,
    );
    for (const order of orders) {
      if (err.effect === 'not_run') events.notStarted(order, err.message);
      else inDoubt.set(order.attempt, order);
    }
    return false;
  }

  async function heartbeat(
    current: workerAttachment.WorkerAttachment,
  ): Promise<boolean> {
    const deadline = options.claimDeadline();
    const now = clock.monotonic();
    if (deadline === undefined || deadline <= now) return true;
    const leaseUntil = workerClock.toWorkerTime(
      current.clock,
      types.clock.after(now, options.leaseMs),
    );
    workerAttachment.recordLease(current, leaseUntil);
    const acks = [...acknowledged];
    const answer = await worker.heartbeat(current.call, leaseUntil, acks);
    if (answer.isErr) {
      logger.debug('heartbeat_failed', {reason: describe(answer.error)});
      return false;
    }
    current.clock = {
      workerTime: answer.value.now,
      arrivedAt: clock.monotonic(),
    };
    acks.forEach((attempt) => acknowledged.delete(attempt));
    resolveInDoubt(answer.value.running);
    for (const task of answer.value.finished) {
      if (!acks.includes(task.attempt)) events.ended(task);
    }
    events.usage(answer.value.usage);
    return true;
  }

  /** Settles starts whose answer was lost; stops those that don't run. */
  function resolveInDoubt(
    running: readonly platform.worker.RunningTask[],
  ): void {
    if (inDoubt.size === 0) return;
    const runningAttempts = new Set(running.map((task) => task.attempt));
    for (const [attempt, order] of inDoubt) {
      if (runningAttempts.has(attempt)) {
        inDoubt.delete(attempt);
        events.started(order);
      } else if (!stops.some((stop) => stop.attempt === attempt)) {
        stops.push(order);
      }
    }
  }

  /** Reports, once each, that the worker is silent and that leases expired. */
  function onCallsFailed(): void {
    if (isReachable) {
      isReachable = false;
      starts
        .splice(0)
        .forEach((order) =>
          events.notStarted(order, 'the worker does not answer'),
        );
      logger.warn('worker_silent', {epoch});
      events.silent();
    }
    if (attachment === undefined) return;
    const expiredAt = workerAttachment.leasesExpiredAt(
      attachment,
      options.graceMs,
    );
    if (clock.monotonic() < expiredAt) return;
    logger.warn('leases_lapsed', {epoch});
    resetSession();
  }

  /** Drops all state of the incarnation, none of whose tasks run any more. */
  function resetSession(): void {
    attachment = undefined;
    inDoubt.clear();
    starts.length = 0;
    stops.length = 0;
    events.lapsed();
  }

  async function sendPendingCalls(): Promise<boolean> {
    if (!isReachable || attachment === undefined) {
      if (!(await attach())) return false;
    }
    const current = attachment;
    if (current === undefined) return false;
    for (const control of controls.splice(0)) await control(current.call);
    if (!(await sendStops(current))) return false;
    while (starts.length > 0) {
      if (!(await sendStarts(current))) return false;
    }
    return true;
  }

  async function run(signal: AbortSignal): Promise<void> {
    let nextHeartbeatAt = clock.monotonic();
    signal.addEventListener('abort', resumeLoop);
    while (!signal.aborted) {
      let succeeded = await sendPendingCalls();
      if (
        succeeded &&
        attachment !== undefined &&
        clock.monotonic() >= nextHeartbeatAt
      ) {
        succeeded = await heartbeat(attachment);
        nextHeartbeatAt = types.clock.after(
          clock.monotonic(),
          options.heartbeatMs,
        );
      }
      if (signal.aborted) return;
      if (!succeeded) {
        onCallsFailed();
        nextHeartbeatAt = clock.monotonic();
        const retryAt = types.clock.after(nextHeartbeatAt, options.heartbeatMs);
        await clock.sleepUntil(retryAt, signal);
        continue;
      }
      if (starts.length + stops.length + controls.length > 0) continue;
      sleepAbort = new AbortController();
      await clock.sleepUntil(nextHeartbeatAt, sleepAbort.signal);
    }
  }

  return {
    run,
    isAttached: () => hasAttached && isReachable,
    start: (order) => {
      starts.push(order);
      resumeLoop();
    },
    stop: (attempt) => {
      const unsentIndex = starts.findIndex(
        (order) => order.attempt === attempt.attempt,
      );
      if (unsentIndex >= 0) {
        starts.splice(unsentIndex, 1);
        events.stopped(attempt);
        return;
      }
      stops.push(attempt);
      resumeLoop();
    },
    acknowledge: (attempt) => {
      acknowledged.add(attempt);
    },
    throttle: (attempt, cpuMillis) => {
      controls.push((call) => worker.throttle(call, attempt, cpuMillis));
      resumeLoop();
    },
    checkpoint: (attempt) => {
      controls.push((call) => worker.checkpoint(call, attempt));
      resumeLoop();
    },
  };
}
