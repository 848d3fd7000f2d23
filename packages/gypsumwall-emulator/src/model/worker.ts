/**
 * One life of a worker: it runs what it is told under a lease, and lists ends
 * until they are acknowledged.
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
import * as workerRun from './worker_run.js';

/** What all workers of a platform share. */
export interface WorkerSurroundings {
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly history: history.History;
  readonly catalog: jobCatalog.JobCatalog;
  readonly gangs: gangs.Gangs;
  readonly checkpoints: checkpoints.Checkpoints;
  readonly adviser: adviser.Adviser | undefined;
  readonly durations: workerRun.RunDurations;
  readonly longestLeaseMs: number;
  /**
   * Planted, for tests of the judge: such ends are never listed, the run is
   * shown as running.
   */
  readonly hidesEnd?: (taskId: string) => boolean;
}

/** One worker. */
export interface WorkerOptions {
  readonly id: string;
  readonly capacity: types.resources.Resources;
  /** A capacity that has shrunk binds starts only after so long. */
  readonly capacityNoticeMs: number;
  /** Told of a task that crashes the worker; whoever is told ends it. */
  readonly onCrash: (taskId: string) => void;
  /** Whether a start that doesn't fit is refused. */
  readonly refusesExcess: boolean;
  readonly clockRate: number;
  /** Share of runs that fail by their own fault. */
  readonly failShare: number;
  /** A lasting task fails after a span up to this; undefined for never. */
  readonly lastingFailsMs: number | undefined;
}

/** A worker. */
export interface Worker {
  readonly id: string;
  readonly clockMs: () => number;
  start(order: workerOrders.StartOrder): workerOrders.OrderAnswer;
  stop(order: workerOrders.StopOrder): workerOrders.OrderAnswer;
  hold(call: workerOrders.HoldCall): Promise<workerOrders.HoldAnswer>;
  running(): readonly history.RunId[];
  /** Work done a millisecond. */
  setPace(pace: number): void;
  setFailsAll(failsAll: boolean): void;
  setCapacity(capacity: types.resources.Resources): void;
  /** Everything on it is gone without a trace. */
  end(): void;
}

/** The first reading of a worker's clock is drawn below this. */
const LATEST_CLOCK_START_MS = 1_000_000;

/** Creates a worker with nothing running. */
export function createWorker(
  around: WorkerSurroundings,
  options: WorkerOptions,
): Worker {
  const {clock, random, history: seen, durations} = around;
  const workerId = options.id;
  const lease = leaseClock.createLeaseClock({
    clock,
    rate: options.clockRate,
    startsAt: random.integer(0, LATEST_CLOCK_START_MS),
    longestMs: around.longestLeaseMs,
  });
  const runs = new Map<string, workerRun.WorkerRun>();
  /** Runs whose planted fault hides their end. */
  const hidden: workerRun.WorkerRun[] = [];
  const ends = workerEnds.createWorkerEnds();
  /** Highest attempt of each task that was stopped or has ended here. */
  const overUpTo = new Map<string, number>();
  const gone = new AbortController();
  let endNoticed = new AbortController();
  let highestToken = 0;
  let {capacity} = options;
  /** Starts that fit into it aren't held against anyone until then. */
  let noticed: {readonly until: types.clock.MonotonicMs} & {
    readonly capacity: types.resources.Resources;
  } = {until: clock.monotonic(), capacity};
  let pace = 1;
  let failsAll = false;
  let guarding = false;

  function passesFence(token: number): boolean {
    if (token < highestToken) return false;
    highestToken = token;
    return true;
  }

  /** Ends all runs once the lease is over. */
  async function guardLease(): Promise<void> {
    if (guarding) return;
    guarding = true;
    while (runs.size > 0 && !gone.signal.aborted) {
      await clock.sleepUntil(lease.endsAt(), gone.signal);
      if (clock.monotonic() < lease.endsAt()) continue;
      for (const run of [...runs.values()]) run.kill('lapsed');
    }
    guarding = false;
  }

  function noteOver({taskId, attempt}: history.RunId): void {
    overUpTo.set(taskId, Math.max(attempt, overUpTo.get(taskId) ?? 0));
  }

  function onEnd(
    run: history.RunId,
    how: history.RunEnd,
    checkpoint: string,
  ): void {
    const {taskId, attempt} = run;
    noteOver(run);
    seen.record({type: 'run_ended', workerId, taskId, attempt, how});
    const ended = runs.get(keyOf(run));
    runs.delete(keyOf(run));
    if (ended !== undefined && around.hidesEnd?.(taskId) === true) {
      hidden.push(ended);
      return;
    }
    ends.add({taskId, attempt, how, checkpoint});
    endNoticed.abort();
    endNoticed = new AbortController();
  }

  function drawFate(step: jobCatalog.StepSpec): workerRun.RunFate {
    if (failsAll) return {how: 'failed', afterMs: 0};
    if (step.lasting) {
      const {lastingFailsMs} = options;
      if (lastingFailsMs === undefined)
        return {how: 'failed', afterMs: Infinity};
      return {how: 'failed', afterMs: random.next() * lastingFailsMs};
    }
    const fails = random.next() < options.failShare;
    return {how: fails ? 'failed' : 'done', afterMs: step.workMs};
  }

  function fitsBeside(
    size: types.resources.Resources,
    within = capacity,
  ): boolean {
    const used = [...runs.values()]
      .map((run) => run.size)
      .reduce(types.resources.add, types.resources.NO_RESOURCES);
    const free = types.resources.subtract(within, used);
    return types.resources.fits(size, free);
  }

  /** Whether a start takes more than whoever sent it could know of. */
  function exceeds(size: types.resources.Resources): boolean {
    if (fitsBeside(size)) return false;
    const isNew = clock.monotonic() < noticed.until;
    return !isNew || !fitsBeside(size, noticed.capacity);
  }

  async function crashLater(
    {taskId, attempt}: history.RunId,
    {index, afterMs}: NonNullable<jobCatalog.StepSpec['crash']>,
  ): Promise<void> {
    if (!taskId.endsWith(`.${index}`)) return;
    await types.clock.sleepFor(clock, afterMs, gone.signal);
    if (runs.has(keyOf({taskId, attempt}))) options.onCrash(taskId);
  }

  function refusalOf(
    order: workerOrders.StartOrder,
    place: jobCatalog.TaskPlace,
  ): Extract<workerOrders.OrderAnswer, {type: 'refused'}> | undefined {
    const refused = (reason: 'old' | 'late' | 'room' | 'ticket') =>
      ({type: 'refused', reason}) as const;
    lease.extend(order.leaseUntil);
    if ((overUpTo.get(order.taskId) ?? 0) >= order.attempt) {
      return refused('old');
    }
    if (lease.endsAt() <= clock.monotonic()) return refused('late');
    if (!hasTicket(order, place)) return refused('ticket');
    if (!options.refusesExcess || fitsBeside(place.step.size)) return undefined;
    return refused('room');
  }

  function hasTicket(
    order: workerOrders.StartOrder,
    place: jobCatalog.TaskPlace,
  ): boolean {
    const {adviser: advising} = around;
    if (advising === undefined || !advising.advises(place.job.queue)) {
      return true;
    }
    return advising.accepts(order.ticket ?? '', place.stepRunId, workerId);
  }

  /** Records orders that nothing asked for; they are carried out all the same. */
  function recordStart(
    order: workerOrders.StartOrder,
    place: jobCatalog.TaskPlace,
    resumesAtMs: number | undefined,
  ): void {
    const {taskId, attempt} = order;
    const about = {workerId, taskId, attempt};
    const unasked = (reason: string) =>
      seen.record({type: 'start_unasked', reason, ...about});
    if (order.payload !== place.job.payload) unasked('another payload');
    if (resumesAtMs === undefined) unasked('a checkpoint of another task');
    if (exceeds(place.step.size)) unasked('over the capacity');
    seen.record({type: 'run_started', ...about});
  }

  function launch(
    order: workerOrders.StartOrder,
    place: jobCatalog.TaskPlace,
  ): void {
    const {taskId, attempt, checkpoint} = order;
    const owner = place.step.gang ? place.stepRunId : taskId;
    const progress = around.checkpoints.progressOf(owner, checkpoint);
    recordStart(order, place, progress);
    const about = {workerId, taskId, attempt};
    const run = workerRun.startWorkerRun(
      {
        taskId,
        attempt,
        place,
        owner,
        resumesAtMs: checkpoint === '' ? undefined : (progress ?? 0),
      },
      {
        clock,
        durations,
        gangs: around.gangs,
        checkpoints: around.checkpoints,
        pace: () => pace,
        drawFate,
        onAtWork: () => seen.record({type: 'run_at_work', ...about}),
        onEnd: (how, value) => onEnd(order, how, value),
      },
    );
    runs.set(keyOf(order), run);
    void guardLease();
    if (place.step.crash !== undefined) {
      void crashLater(order, place.step.crash);
    }
  }

  function unknownTask(
    order: workerOrders.StartOrder,
  ): workerOrders.OrderAnswer {
    const {taskId, attempt} = order;
    const reason = 'no caller sent the task';
    seen.record({type: 'start_unasked', workerId, taskId, attempt, reason});
    return {type: 'invalid', message: `${taskId}: ${reason}`};
  }

  async function waitForEnd(waitMs: number): Promise<void> {
    if (ends.list().length > 0 || waitMs <= 0) return;
    const until = types.clock.after(clock.monotonic(), waitMs);
    await clock.sleepUntil(
      until,
      AbortSignal.any([endNoticed.signal, gone.signal]),
    );
  }

  return {
    id: workerId,
    clockMs: () => lease.read(),
    running: () => [...runs.values()],
    setPace: (wanted) => void (pace = wanted),
    setFailsAll: (wanted) => void (failsAll = wanted),
    setCapacity(wanted) {
      const until = types.clock.after(
        clock.monotonic(),
        options.capacityNoticeMs,
      );
      noticed = {capacity, until};
      capacity = wanted;
      seen.record({type: 'capacity_changed', workerId, capacity});
    },
    start(order) {
      if (!passesFence(order.token)) {
        return {type: 'refused', reason: 'fence'};
      }
      const place = around.catalog.findTask(order.taskId);
      if (place === undefined) return unknownTask(order);
      if (runs.has(keyOf(order))) {
        lease.extend(order.leaseUntil);
        return {type: 'accepted'};
      }
      const refused = refusalOf(order, place);
      if (refused !== undefined) return refused;
      launch(order, place);
      return {type: 'accepted'};
    },
    stop(order) {
      if (!passesFence(order.token)) {
        return {type: 'refused', reason: 'fence'};
      }
      noteOver(order);
      runs.get(keyOf(order))?.stop();
      return {type: 'accepted'};
    },
    async hold({token, acknowledged, leaseUntil, waitMs}) {
      if (!passesFence(token)) return {type: 'refused', reason: 'fence'};
      lease.extend(leaseUntil);
      for (const {taskId, attempt, how} of ends.acknowledge(acknowledged)) {
        const about = {workerId, taskId, attempt, how};
        seen.record({type: 'end_acknowledged', ...about});
      }
      await waitForEnd(waitMs);
      const running = [...runs.values(), ...hidden];
      return {type: 'report', running, ends: ends.list()};
    },
    end() {
      gone.abort();
      for (const run of runs.values()) run.vanish();
      runs.clear();
    },
  };
}

function keyOf({taskId, attempt}: history.RunId): string {
  return `${taskId} ${attempt}`;
}
