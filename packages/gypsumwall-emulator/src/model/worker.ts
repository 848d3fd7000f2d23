/**
 * One incarnation of a worker. It runs attempts under a lease and reports their
 * ends until they are acknowledged.
 */
import * as types from '@gypsumwall/types';
import type * as adviser from './adviser.js';
import type * as checkpoints from './checkpoints.js';
import type * as gangs from './gangs.js';
import type * as history from './history.js';
import type * as jobCatalog from './job_catalog.js';
import * as leaseClock from './lease_clock.js';
import * as workerEnds from './worker_ends.js';
import type * as workerOrders from './worker_orders.js';
import * as workerAttempt from './worker_attempt.js';

/** What all workers of the platform share. */
export interface WorkerContext {
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly history: history.History;
  readonly catalog: jobCatalog.JobCatalog;
  readonly gangs: gangs.Gangs;
  readonly checkpoints: checkpoints.Checkpoints;
  readonly adviser: adviser.Adviser | undefined;
  readonly durations: workerAttempt.AttemptDurations;
  readonly longestLeaseMs: number;
  /**
   * Injected fault for tests of the judge: the ends of these tasks are never
   * reported, and their attempts are shown as running.
   */
  readonly shouldHideEnd?: (taskId: string) => boolean;
}

/** Options of {@link createWorker}. */
export interface WorkerOptions {
  readonly id: string;
  /** Start of this incarnation; milliseconds since 1970. */
  readonly bornMs: number;
  readonly capacity: types.resources.Resources;
  /**
   * After a change of the capacity, starts that fit into the previous one
   * aren't recorded as excess for this long, because their sender may not know
   * the new capacity yet.
   */
  readonly capacityNoticeMs: number;
  /** Called when a task crashes the worker; must terminate the worker. */
  readonly onCrash: (taskId: string) => void;
  /** Whether the worker refuses starts that exceed its capacity. */
  readonly refusesExcess: boolean;
  readonly clockRate: number;
  /** Share of attempts that fail for a reason of their own. */
  readonly failShare: number;
  /** Long-running tasks fail after a random time up to this; undefined for never. */
  readonly lastingFailsMs: number | undefined;
}

/** A running worker. */
export interface Worker {
  readonly id: string;
  readonly bornMs: number;
  readonly clockMs: () => number;
  start(order: workerOrders.StartOrder): workerOrders.OrderAnswer;
  stop(order: workerOrders.StopOrder): workerOrders.OrderAnswer;
  hold(call: workerOrders.HoldCall): Promise<workerOrders.HoldAnswer>;
  running(): readonly history.AttemptId[];
  /** Sets the work done per millisecond: 1 is normal, 0 is a standstill. */
  setSpeed(speed: number): void;
  /** Sets whether all attempts that start from now on fail at once. */
  setShouldFailAll(shouldFailAll: boolean): void;
  setCapacity(capacity: types.resources.Resources): void;
  /** Ends the worker with all attempts, without reporting their ends. */
  terminate(): void;
}

/** Upper bound of a worker clock's random first reading. */
const MAX_INITIAL_CLOCK_MS = 1_000_000;

/** Creates a worker with nothing running. */
export function createWorker(
  context: WorkerContext,
  options: WorkerOptions,
): Worker {
  const {clock, random, history: eventHistory, durations} = context;
  const workerId = options.id;
  const lease = leaseClock.createLeaseClock({
    clock,
    rate: options.clockRate,
    initialReadingMs: random.integer(0, MAX_INITIAL_CLOCK_MS),
    maxLeaseMs: context.longestLeaseMs,
  });
  const attempts = new Map<string, workerAttempt.WorkerAttempt>();
  /** Ended attempts that an injected fault still shows as running. */
  const hiddenAttempts: workerAttempt.WorkerAttempt[] = [];
  const ends = workerEnds.createWorkerEnds();
  /** The highest attempt of each task that was stopped or has ended here. */
  const lastEndedAttempt = new Map<string, number>();
  const terminated = new AbortController();
  let endAdded = new AbortController();
  let highestFencingToken = 0;
  let {capacity} = options;
  /** Until then, starts that fit into this capacity aren't recorded as excess. */
  let previousCapacity: {readonly until: types.clock.MonotonicMs} & {
    readonly capacity: types.resources.Resources;
  } = {until: clock.monotonic(), capacity};
  let speed = 1;
  let shouldFailAll = false;
  let isGuardingLease = false;

  function checkFencingToken(token: number): boolean {
    if (token < highestFencingToken) return false;
    highestFencingToken = token;
    return true;
  }

  /** Ends all attempts once the lease has expired. */
  async function guardLease(): Promise<void> {
    if (isGuardingLease) return;
    isGuardingLease = true;
    while (attempts.size > 0 && !terminated.signal.aborted) {
      await clock.sleepUntil(lease.endsAt(), terminated.signal);
      if (clock.monotonic() < lease.endsAt()) continue;
      for (const attempt of [...attempts.values()]) attempt.kill('lapsed');
    }
    isGuardingLease = false;
  }

  function markEnded({taskId, attempt}: history.AttemptId): void {
    lastEndedAttempt.set(
      taskId,
      Math.max(attempt, lastEndedAttempt.get(taskId) ?? 0),
    );
  }

  function onEnd(
    id: history.AttemptId,
    how: history.AttemptEnd,
    checkpoint: string,
  ): void {
    const {taskId, attempt} = id;
    markEnded(id);
    eventHistory.record({type: 'run_ended', workerId, taskId, attempt, how});
    const endedAttempt = attempts.get(attemptKey(id));
    attempts.delete(attemptKey(id));
    if (
      endedAttempt !== undefined &&
      context.shouldHideEnd?.(taskId) === true
    ) {
      hiddenAttempts.push(endedAttempt);
      return;
    }
    ends.add({taskId, attempt, how, checkpoint});
    endAdded.abort();
    endAdded = new AbortController();
  }

  function drawOutcome(
    step: jobCatalog.StepSpec,
  ): workerAttempt.AttemptOutcome {
    if (shouldFailAll) return {how: 'failed', afterMs: 0};
    if (step.lasting) {
      const {lastingFailsMs} = options;
      if (lastingFailsMs === undefined)
        return {how: 'failed', afterMs: Infinity};
      return {how: 'failed', afterMs: random.next() * lastingFailsMs};
    }
    const fails = random.next() < options.failShare;
    return {how: fails ? 'failed' : 'done', afterMs: step.workMs};
  }

  /** Whether a start fits into the capacity beside the running attempts. */
  function fits(size: types.resources.Resources, limit = capacity): boolean {
    const used = [...attempts.values()]
      .map((attempt) => attempt.size)
      .reduce(types.resources.add, types.resources.NO_RESOURCES);
    const free = types.resources.subtract(limit, used);
    return types.resources.fits(size, free);
  }

  /** Whether a start exceeds every capacity that its sender may know. */
  function exceedsKnownCapacity(size: types.resources.Resources): boolean {
    if (fits(size)) return false;
    const isWithinNotice = clock.monotonic() < previousCapacity.until;
    return !isWithinNotice || !fits(size, previousCapacity.capacity);
  }

  async function crashAfterDelay(
    {taskId, attempt}: history.AttemptId,
    {index, afterMs}: NonNullable<jobCatalog.StepSpec['crash']>,
  ): Promise<void> {
    if (!taskId.endsWith(`.${index}`)) return;
    await types.clock.sleepFor(clock, afterMs, terminated.signal);
    if (attempts.has(attemptKey({taskId, attempt}))) options.onCrash(taskId);
  }

  function findRefusal(
    order: workerOrders.StartOrder,
    task: jobCatalog.CatalogTask,
  ): Extract<workerOrders.OrderAnswer, {type: 'refused'}> | undefined {
    const refuse = (reason: 'old' | 'late' | 'room' | 'ticket') =>
      ({type: 'refused', reason}) as const;
    lease.extend(order.leaseUntil);
    if ((lastEndedAttempt.get(order.taskId) ?? 0) >= order.attempt) {
      return refuse('old');
    }
    if (lease.endsAt() <= clock.monotonic()) return refuse('late');
    if (!hasTicket(order, task)) return refuse('ticket');
    if (!options.refusesExcess || fits(task.step.size)) return undefined;
    return refuse('room');
  }

  function hasTicket(
    order: workerOrders.StartOrder,
    task: jobCatalog.CatalogTask,
  ): boolean {
    const {adviser: taskAdviser} = context;
    if (taskAdviser === undefined || !taskAdviser.needsTicket(task.job.queue)) {
      return true;
    }
    return taskAdviser.acceptsTicket(
      order.ticket ?? '',
      task.stepRunId,
      workerId,
    );
  }

  /**
   * Records the start, and what is wrong with the order. Wrong orders are
   * carried out as well; the judge reports them.
   */
  function recordStart(
    order: workerOrders.StartOrder,
    task: jobCatalog.CatalogTask,
    initialProgressMs: number | undefined,
  ): void {
    const {taskId, attempt} = order;
    const ids = {workerId, taskId, attempt};
    const report = (reason: string) =>
      eventHistory.record({type: 'start_unasked', reason, ...ids});
    if (order.payload !== task.job.payload) report('another payload');
    if (initialProgressMs === undefined) report('a checkpoint of another task');
    if (exceedsKnownCapacity(task.step.size)) report('over the capacity');
    eventHistory.record({type: 'run_started', ...ids});
  }

  function launchAttempt(
    order: workerOrders.StartOrder,
    task: jobCatalog.CatalogTask,
  ): void {
    const {taskId, attempt, checkpoint} = order;
    const owner = task.step.gang ? task.stepRunId : taskId;
    const progressMs = context.checkpoints.findProgress(owner, checkpoint);
    recordStart(order, task, progressMs);
    const ids = {workerId, taskId, attempt};
    const startedAttempt = workerAttempt.startWorkerAttempt(
      {
        taskId,
        attempt,
        task,
        owner,
        initialProgressMs: checkpoint === '' ? undefined : (progressMs ?? 0),
      },
      {
        clock,
        durations,
        gangs: context.gangs,
        checkpoints: context.checkpoints,
        speed: () => speed,
        drawOutcome,
        onWorkStarted: () => eventHistory.record({type: 'run_at_work', ...ids}),
        onEnd: (how, value) => onEnd(order, how, value),
      },
    );
    attempts.set(attemptKey(order), startedAttempt);
    void guardLease();
    if (task.step.crash !== undefined) {
      void crashAfterDelay(order, task.step.crash);
    }
  }

  function rejectUnknownTask(
    order: workerOrders.StartOrder,
  ): workerOrders.OrderAnswer {
    const {taskId, attempt} = order;
    const reason = 'no caller sent the task';
    eventHistory.record({
      type: 'start_unasked',
      workerId,
      taskId,
      attempt,
      reason,
    });
    return {type: 'invalid', message: `${taskId}: ${reason}`};
  }

  async function waitForEnd(waitMs: number): Promise<void> {
    if (ends.list().length > 0 || waitMs <= 0) return;
    const until = types.clock.after(clock.monotonic(), waitMs);
    await clock.sleepUntil(
      until,
      AbortSignal.any([endAdded.signal, terminated.signal]),
    );
  }

  return {
    id: workerId,
    bornMs: options.bornMs,
    clockMs: () => lease.readMs(),
    running: () => [...attempts.values()],
    setSpeed: (newSpeed) => void (speed = newSpeed),
    setShouldFailAll: (newValue) => void (shouldFailAll = newValue),
    setCapacity(newCapacity) {
      const until = types.clock.after(
        clock.monotonic(),
        options.capacityNoticeMs,
      );
      previousCapacity = {capacity, until};
      capacity = newCapacity;
      eventHistory.record({type: 'capacity_changed', workerId, capacity});
    },
    start(order) {
      if (!checkFencingToken(order.fencingToken)) {
        return {type: 'refused', reason: 'fence'};
      }
      const task = context.catalog.findTask(order.taskId);
      if (task === undefined) return rejectUnknownTask(order);
      if (attempts.has(attemptKey(order))) {
        lease.extend(order.leaseUntil);
        return {type: 'accepted'};
      }
      const refusal = findRefusal(order, task);
      if (refusal !== undefined) return refusal;
      launchAttempt(order, task);
      return {type: 'accepted'};
    },
    stop(order) {
      if (!checkFencingToken(order.fencingToken)) {
        return {type: 'refused', reason: 'fence'};
      }
      markEnded(order);
      attempts.get(attemptKey(order))?.stop();
      return {type: 'accepted'};
    },
    async hold({fencingToken, acknowledged, leaseUntil, waitMs}) {
      if (!checkFencingToken(fencingToken))
        return {type: 'refused', reason: 'fence'};
      lease.extend(leaseUntil);
      for (const {taskId, attempt, how} of ends.acknowledge(acknowledged)) {
        const ids = {workerId, taskId, attempt, how};
        eventHistory.record({type: 'end_acknowledged', ...ids});
      }
      await waitForEnd(waitMs);
      const running = [...attempts.values(), ...hiddenAttempts];
      return {type: 'report', running, ends: ends.list()};
    },
    terminate() {
      terminated.abort();
      for (const attempt of attempts.values()) attempt.discard();
      attempts.clear();
    },
  };
}

function attemptKey({taskId, attempt}: history.AttemptId): string {
  return `${taskId} ${attempt}`;
}
