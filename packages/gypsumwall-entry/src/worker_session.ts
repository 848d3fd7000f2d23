/**
 * The holder's session with one worker: one loop that attaches, sends starts
 * and stops, and renews leases by heartbeats, one call at a time. What
 * happens at the worker is told to the scheduler through `SessionEvents`.
 */
import type * as platform from '@gypsumwall/platform';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as startOrder from './start_order.js';
import * as workerAttachment from './worker_attachment.js';
import * as workerClock from './worker_clock.js';

type MonotonicMs = types.clock.MonotonicMs;

/** What the session tells the scheduler. */
export interface SessionEvents {
  /** Attached; the answer tells all that runs or has ended there. */
  attached(answer: platform.worker.AttachAnswer): void;
  started(order: startOrder.StartOrder): void;
  /** Proved that the attempt does not run and never will. */
  notStarted(order: startOrder.StartOrder, message: string): void;
  /** Ended; acknowledge it with `acknowledge` once that is safe. */
  ended(task: platform.worker.FinishedTask): void;
  /** A stop that was asked for is confirmed. */
  stopped(attempt: startOrder.Attempt): void;
  usage(usage: readonly platform.worker.TaskUsage[]): void;
  /** No answer for a while; takes no new work until `attached` again. */
  silent(): void;
  /** All leases there have surely run out, or the worker was restarted. */
  lapsed(): void;
}

/** What a session needs. */
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
  /** Lease that heartbeats renew to. */
  readonly leaseMs: number;
  readonly graceMs: number;
  /**
   * Whether two copies of a task would do harm. Only such tasks' leases are
   * waited out; a service keeps a long lease of its own, so that it outlives
   * a time without a holder.
   */
  readonly runsOnce: (taskId: types.ids.TaskId) => boolean;
  /** Deadline of the claim now; undefined when it is not held any more. */
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

/** Starts sent in one call. */
const MAX_STARTS = 256;

/** Makes a session that does nothing before `run`. */
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
  /** Starts whose answer was lost. */
  const inDoubt = new Map<types.ids.AttemptId, startOrder.StartOrder>();
  let attachment: workerAttachment.WorkerAttachment | undefined;
  let everAttached = false;
  let reachable = false;
  let wake = new AbortController();

  function poke(): void {
    wake.abort();
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
    const restarted =
      attachment !== undefined && attachment.call.incarnation !== incarnation;
    if (restarted) giveUp();
    attachment = workerAttachment.fromAnswer(
      answer.value,
      epoch,
      clock.monotonic(),
      options.runsOnce,
    );
    reachable = true;
    everAttached = true;
    events.attached(answer.value);
    finished.forEach((task) => events.ended(task));
    logger.info('worker_attached', {epoch, running: running.length});
    return true;
  }

  async function sendStops(
    held: workerAttachment.WorkerAttachment,
  ): Promise<boolean> {
    const asked = stops.splice(0);
    if (asked.length === 0) return true;
    const answer = await worker.stop(held.call, asked);
    if (answer.isErr) {
      logger.warn('stop_failed', {reason: describe(answer.error)});
      stops.unshift(...asked);
      return false;
    }
    for (const attempt of asked) {
      inDoubt.delete(attempt.attempt);
      events.stopped(attempt);
    }
    return true;
  }

  /** Starts wait here until they are sent; a lapsed claim sends none. */
  async function sendStarts(
    held: workerAttachment.WorkerAttachment,
  ): Promise<boolean> {
    const orders = starts.splice(0, MAX_STARTS);
    if (orders.length === 0) return true;
    const deadline = options.claimDeadline();
    const now = clock.monotonic();
    if (deadline === undefined || deadline <= now) {
      orders.forEach((order) => events.notStarted(order, 'claim lapsed'));
      return true;
    }
    const tasks = orders.map((order) =>
      startOrder.toStartTask(held, order, now),
    );
    for (const task of tasks) {
      if (options.runsOnce(task.taskId))
        workerAttachment.noteLease(held, task.leaseUntil);
    }
    const startBy = workerClock.toWorkerTime(held.clock, deadline);
    const spans = orders.map((order) =>
      options.tracer.startSpan('worker.start', order.traceparent, {
        worker: workerId,
        task: order.taskId,
        attempt: order.attempt,
      }),
    );
    const answer = await worker.start(held.call, startBy, tasks);
    if (answer.isErr) {
      const {error} = answer;
      spans.forEach((span) => span.end(describe(error)));
      return startFailed(orders, error);
    }
    orders.forEach((order, index) => {
      const said = answer.value[index];
      const fault = startOrder.startFault(said);
      spans[index]?.end(fault);
      const outcome = fault === undefined ? 'started' : 'refused';
      options.metrics.count('taskStarts', {outcome});
      if (fault === undefined) events.started(order);
      else events.notStarted(order, fault);
    });
    return true;
  }

  function startFailed(
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
    held: workerAttachment.WorkerAttachment,
  ): Promise<boolean> {
    const deadline = options.claimDeadline();
    const now = clock.monotonic();
    if (deadline === undefined || deadline <= now) return true;
    const leaseUntil = workerClock.toWorkerTime(
      held.clock,
      types.clock.after(now, options.leaseMs),
    );
    workerAttachment.noteLease(held, leaseUntil);
    const acks = [...acknowledged];
    const answer = await worker.heartbeat(held.call, leaseUntil, acks);
    if (answer.isErr) {
      logger.debug('heartbeat_failed', {reason: describe(answer.error)});
      return false;
    }
    held.clock = {
      workerTime: answer.value.now,
      arrivedAt: clock.monotonic(),
    };
    acks.forEach((attempt) => acknowledged.delete(attempt));
    settleDoubts(answer.value.running);
    for (const task of answer.value.finished) {
      if (!acks.includes(task.attempt)) events.ended(task);
    }
    events.usage(answer.value.usage);
    return true;
  }

  /** A start in doubt runs, or is stopped so that it never will. */
  function settleDoubts(running: readonly platform.worker.RunningTask[]): void {
    if (inDoubt.size === 0) return;
    const present = new Set(running.map((task) => task.attempt));
    for (const [attempt, order] of inDoubt) {
      if (present.has(attempt)) {
        inDoubt.delete(attempt);
        events.started(order);
      } else if (!stops.some((asked) => asked.attempt === attempt)) {
        stops.push(order);
      }
    }
  }

  /** Tells once that the worker is silent, and once that leases are over. */
  function noteSilence(): void {
    if (reachable) {
      reachable = false;
      starts
        .splice(0)
        .forEach((order) => events.notStarted(order, 'worker is silent'));
      logger.warn('worker_silent', {epoch});
      events.silent();
    }
    if (attachment === undefined) return;
    const over = workerAttachment.leasesOverAt(attachment, options.graceMs);
    if (clock.monotonic() < over) return;
    logger.warn('leases_lapsed', {epoch});
    giveUp();
  }

  /** Nothing that was sent there runs any more: all is decided anew. */
  function giveUp(): void {
    attachment = undefined;
    inDoubt.clear();
    starts.length = 0;
    stops.length = 0;
    events.lapsed();
  }

  async function round(): Promise<boolean> {
    if (!reachable || attachment === undefined) {
      if (!(await attach())) return false;
    }
    const held = attachment;
    if (held === undefined) return false;
    for (const control of controls.splice(0)) await control(held.call);
    if (!(await sendStops(held))) return false;
    while (starts.length > 0) {
      if (!(await sendStarts(held))) return false;
    }
    return true;
  }

  async function run(signal: AbortSignal): Promise<void> {
    let nextBeat = clock.monotonic();
    signal.addEventListener('abort', poke);
    while (!signal.aborted) {
      let well = await round();
      if (well && attachment !== undefined && clock.monotonic() >= nextBeat) {
        well = await heartbeat(attachment);
        nextBeat = types.clock.after(clock.monotonic(), options.heartbeatMs);
      }
      if (signal.aborted) return;
      if (!well) {
        noteSilence();
        nextBeat = clock.monotonic();
        const retryAt = types.clock.after(nextBeat, options.heartbeatMs);
        await clock.sleepUntil(retryAt, signal);
        continue;
      }
      if (starts.length + stops.length + controls.length > 0) continue;
      wake = new AbortController();
      await clock.sleepUntil(nextBeat, wake.signal);
    }
  }

  return {
    run,
    isAttached: () => everAttached && reachable,
    start: (order) => {
      starts.push(order);
      poke();
    },
    stop: (attempt) => {
      const unsent = starts.findIndex(
        (order) => order.attempt === attempt.attempt,
      );
      if (unsent >= 0) {
        starts.splice(unsent, 1);
        events.stopped(attempt);
        return;
      }
      stops.push(attempt);
      poke();
    },
    acknowledge: (attempt) => {
      acknowledged.add(attempt);
    },
    throttle: (attempt, cpuMillis) => {
      controls.push((call) => worker.throttle(call, attempt, cpuMillis));
      poke();
    },
    checkpoint: (attempt) => {
      controls.push((call) => worker.checkpoint(call, attempt));
      poke();
    },
  };
}
