/**
 * Schedulers one after the other over workers, a store and an adviser whose
 * answers come late, out of order or never. What runs on a worker is kept
 * apart from what the scheduler believes, so that the two can be compared.
 */
import * as assert from 'node:assert/strict';
import * as types from '@gypsumwall/types';
import type * as activeJob from '../active_job.js';
import * as jobProgress from '../job_progress.js';
import type * as jobRequest from '../job_request.js';
import type * as jobSteps from '../job_steps.js';
import * as schedulers from '../scheduler.js';
import type * as schedulerTypes from '../scheduler_types.js';
import type * as workerRegistry from '../worker_registry.js';
import * as worlds from './scheduler_world.js';

const WALL = 0 as types.clock.WallMs;
/** Ends in one report; the worker keeps the others for the next one. */
const MOST_ENDS = 3;
const ATTEMPTS_PER_GENERATION = 1_000;
/**
 * Longer than the longest avoidance of a worker, and than it takes until tasks
 * that may crash their workers have been tried one after the other.
 */
const SETTLE_PAUSE_MS = 1_000;
const SETTLE_PAUSES = 16;
/** More than the pause between two looks for advice. */
const SHORT_PAUSE_MS = 85;
const QUIET_ROUNDS = 6;
const MOST_ROUNDS = 400;

interface WorkerRun {
  readonly taskId: types.ids.TaskId;
  readonly attempt: number;
  /** A stop was accepted and isn't carried out yet. */
  ending: boolean;
}

/** A worker as it is. */
export interface RealWorker {
  readonly id: types.ids.WorkerId;
  info: workerRegistry.WorkerInfo;
  alive: boolean;
  /** Calls don't get through. */
  cut: boolean;
  generation: number;
  readonly runs: Map<string, WorkerRun>;
  readonly barred: Set<string>;
  ends: schedulerTypes.AttemptEnd[];
  sequence: number;
  /** The session's side. */
  heardSequence: number;
  lastAskedAt: number;
  reachable: boolean;
  /** Whether the scheduler has been shown `info`. */
  listed: boolean;
}

interface PendingStart {
  readonly order: schedulerTypes.StartOrder;
  readonly worker: RealWorker;
  readonly generation: number;
}

interface PendingReport {
  readonly worker: RealWorker;
  readonly generation: number;
  readonly askedAt: types.clock.MonotonicMs;
  /** Absent: the worker answers when the report is delivered. */
  readonly content?: ReportContent;
}

type ReportContent = Pick<
  schedulerTypes.WorkerReport,
  'running' | 'ends' | 'complete'
>;

interface PendingWrite {
  readonly dirty: schedulerTypes.DirtyJob[];
  readonly heard: ReadonlyMap<RealWorker, number>;
}

interface SubmittedJob {
  readonly id: types.ids.JobId;
  readonly request: jobRequest.JobRequest;
  readonly policy: jobRequest.QueuePolicy;
  readonly acceptedAt: types.clock.MonotonicMs;
  cancelled: boolean;
}

/** How a start order that is on its way is answered. */
export type StartFate =
  | 'started'
  /** Carried out, and the answer is lost. */
  | 'unanswered'
  /** Not answered; the worker may get it later. */
  | 'late'
  | schedulerTypes.RefusalReason;

const keyOf = (taskId: string, attempt: number) => `${taskId}#${attempt}`;

/** Creates a world at time 1,000,000 ms. */
export function createUnreliableWorld() {
  let now = 1_000_000 as types.clock.MonotonicMs;
  let generation = 0;
  let scheduler: schedulerTypes.Scheduler;
  const unaccounted = new Set<types.ids.WorkerId>();
  const workers: RealWorker[] = [];
  const jobs: SubmittedJob[] = [];
  const persisted = new Map<types.ids.JobId, jobProgress.JobProgress>();
  /** Workers that an adviser has turned down, by step. */
  const turnedDown = new Set<string>();
  let starts: PendingStart[] = [];
  let late: PendingStart[] = [];
  let stops: activeJob.Attempt[] = [];
  let wishes: schedulerTypes.AdviceRequest[] = [];
  let reports: PendingReport[] = [];
  let writes: PendingWrite[] = [];

  function createScheduler(): void {
    generation++;
    scheduler = schedulers.createScheduler({
      attemptBase: generation * ATTEMPTS_PER_GENERATION,
      isReconciled: (worker) => !unaccounted.has(worker),
      onEvent: () => undefined,
    });
  }
  createScheduler();

  function elapse(spanMs: number): void {
    now = types.clock.after(now, spanMs);
  }

  const pickOf = <Item>(items: readonly Item[], pick: number) =>
    items[pick % Math.max(1, items.length)];

  function addWorker(info: Partial<workerRegistry.WorkerInfo> = {}): void {
    const id = types.ids.brand<types.ids.WorkerId>(`w${workers.length}`);
    const worker: RealWorker = {
      id,
      info: {
        id,
        address: `${id}:1`,
        domain: types.ids.brand('d1'),
        pool: worlds.POLICY.pool,
        capacity: {cpuMillis: 4_000, memoryMb: 400, accelerators: 0},
        labels: [],
        rack: types.ids.brand('r1'),
        draining: false,
        ...info,
      },
      alive: true,
      cut: false,
      generation: 0,
      runs: new Map(),
      barred: new Set(),
      ends: [],
      sequence: 0,
      heardSequence: 0,
      lastAskedAt: 0,
      reachable: false,
      listed: false,
    };
    workers.push(worker);
    list(worker);
  }

  function list(worker: RealWorker): void {
    worker.listed = true;
    scheduler.putWorker(worker.info);
  }

  function isKnown(worker: RealWorker): boolean {
    return scheduler.workerRegistry.workers.has(worker.id);
  }

  function submit(
    steps: jobRequest.StepRequest[],
    policy: Partial<jobRequest.QueuePolicy> = {},
  ): types.ids.JobId {
    const job: SubmittedJob = {
      id: types.ids.brand(`j${jobs.length}`),
      request: {payload: '', steps},
      policy: {...worlds.POLICY, ...policy},
      acceptedAt: now,
      cancelled: false,
    };
    jobs.push(job);
    takeUp(job, false);
    return job.id;
  }

  function takeUp(job: SubmittedJob, inherited: boolean): void {
    const progress = persisted.get(job.id) ?? jobProgress.NO_PROGRESS;
    if (job.cancelled || jobProgress.isOver(progress.phase)) return;
    const {id, request, policy, acceptedAt} = job;
    scheduler.addJob(
      {id, request, policy, acceptedAt, inherited, progress},
      now,
      WALL,
    );
  }

  function flush(): void {
    const dirty = scheduler.takeDirty();
    const heard = new Map(
      workers.map((worker) => [worker, worker.heardSequence]),
    );
    writes.push({dirty, heard});
  }

  function decide(): number {
    const decisions = scheduler.decide(now, WALL);
    for (const order of decisions.starts) {
      const worker = workers.find((one) => one.id === order.attempt.workerId)!;
      starts.push({order, worker, generation});
    }
    wishes.push(...decisions.advice);
    stops.push(...scheduler.takeStops());
    flush();
    elapse(1);
    return decisions.starts.length;
  }

  /** The worker gets a start; what it answers. */
  function receive(start: PendingStart): schedulerTypes.StartOutcome {
    const {worker, order} = start;
    const {taskId, number: attempt} = order.attempt;
    if (!worker.alive || worker.cut) return {type: 'unknown'};
    if (start.generation < worker.generation) return {type: 'unknown'};
    worker.generation = start.generation;
    const key = keyOf(taskId, attempt);
    if (worker.barred.has(key)) return {type: 'refused', reason: 'superseded'};
    worker.runs.set(key, {taskId, attempt, ending: false});
    return {type: 'started'};
  }

  function answerStart(start: PendingStart, fate: StartFate): void {
    starts = starts.filter((one) => one !== start);
    const {attempt: run} = start.order;
    const tell = (outcome: schedulerTypes.StartOutcome) => {
      if (start.generation === generation) {
        if (outcome.type === 'unknown') setReachable(start.worker, false);
        scheduler.onStartAnswered(run, outcome, now);
      }
    };
    switch (fate) {
      case 'started':
        tell(receive(start));
        return;
      case 'unanswered':
        receive(start);
        tell({type: 'unknown'});
        return;
      case 'late':
        late.push(start);
        tell({type: 'unknown'});
        return;
      case 'bad_ticket':
      case 'superseded':
      case 'no_room':
      case 'unhealthy':
      case 'other':
        tell({type: 'refused', reason: fate});
        return;
    }
  }

  function deliverLate(start: PendingStart): void {
    late = late.filter((one) => one !== start);
    receive(start);
  }

  function endRun(
    worker: RealWorker,
    run: WorkerRun,
    how: jobSteps.AttemptOutcome,
  ): void {
    const {taskId, attempt} = run;
    worker.runs.delete(keyOf(taskId, attempt));
    worker.barred.add(keyOf(taskId, attempt));
    const sequence = ++worker.sequence;
    worker.ends.push({sequence, taskId, attempt, how, checkpoint: ''});
  }

  /** The worker gets a stop, and perhaps takes its time. */
  function answerStop(
    run: activeJob.Attempt,
    options: {readonly slow: boolean; readonly answered: boolean},
  ): void {
    const worker = workers.find((one) => one.id === run.workerId)!;
    if (!worker.alive || worker.cut) return;
    worker.generation = generation;
    const key = keyOf(run.taskId, run.number);
    worker.barred.add(key);
    const found = worker.runs.get(key);
    if (found !== undefined) {
      if (options.slow) found.ending = true;
      else endRun(worker, found, 'stopped');
    }
    if (!options.answered) return;
    stops = stops.filter((one) => one !== run);
    scheduler.onStopAnswered(run, now);
  }

  function contentOf(worker: RealWorker): ReportContent {
    const ends = worker.ends.slice(0, MOST_ENDS);
    const percent = Math.floor(now / 10) % 97;
    const running = [...worker.runs.values()].map((run) =>
      worlds.row(run.taskId, run.attempt, percent),
    );
    return {running, ends, complete: ends.length < MOST_ENDS};
  }

  function ask(worker: RealWorker, answeredNow: boolean): void {
    if (!worker.alive || worker.cut) return;
    worker.generation = generation;
    const content = answeredNow ? contentOf(worker) : undefined;
    reports.push({worker, generation, askedAt: now, content});
  }

  function deliver(report: PendingReport): void {
    reports = reports.filter((one) => one !== report);
    const {worker, askedAt} = report;
    if (report.generation !== generation || !isKnown(worker)) return;
    if (worker.cut || !worker.alive) return;
    if (askedAt < worker.lastAskedAt) return;
    worker.lastAskedAt = askedAt;
    const content = report.content ?? contentOf(worker);
    const ends = content.ends.filter(
      (end) => end.sequence > worker.heardSequence,
    );
    for (const end of ends) {
      worker.heardSequence = Math.max(worker.heardSequence, end.sequence);
    }
    const {running, complete} = content;
    scheduler.applyReport(
      {workerId: worker.id, askedAt, running, ends, complete},
      now,
    );
    setReachable(worker, true);
    account(worker);
  }

  function setReachable(worker: RealWorker, reachable: boolean): void {
    if (worker.reachable === reachable) return;
    worker.reachable = reachable;
    scheduler.setUsable(worker.id, reachable, now);
  }

  function account(worker: RealWorker): void {
    if (unaccounted.delete(worker.id)) scheduler.onWorkerReconciled();
  }

  function confirmWrite(): void {
    const write = writes.shift();
    if (write === undefined) return;
    for (const {jobId, progress} of write.dirty) persisted.set(jobId, progress);
    scheduler.onStored(write.dirty);
    for (const [worker, heard] of write.heard) {
      worker.ends = worker.ends.filter((end) => end.sequence > heard);
    }
  }

  function answerAdvice(
    wish: schedulerTypes.AdviceRequest,
    answer: 'none' | ((worker: types.ids.WorkerId, nth: number) => boolean),
  ): void {
    wishes = wishes.filter((one) => one !== wish);
    const {stepRun} = wish;
    const validMs = stepRun.job.policy.advice?.validMs ?? 0;
    const until = types.clock.after(now, validMs);
    if (answer === 'none') {
      scheduler.onAdviceAnswered(wish, undefined, until);
      return;
    }
    const approved = new Map<types.ids.WorkerId, string>();
    wish.workers.forEach((worker, nth) => {
      const key = `${stepRun.id}@${worker}`;
      if (answer(worker, nth) && !turnedDown.has(key)) {
        approved.set(worker, 'ticket');
      } else turnedDown.add(key);
    });
    scheduler.onAdviceAnswered(wish, approved, until);
  }

  function gone(worker: RealWorker): void {
    worker.alive = false;
    worker.runs.clear();
    starts = starts.filter((one) => one.worker !== worker);
    late = late.filter((one) => one.worker !== worker);
    stops = stops.filter((run) => run.workerId !== worker.id);
    if (isKnown(worker)) scheduler.removeWorker(worker.id, 'crashed', now);
    account(worker);
  }

  /** The worker is cut off until every lease on it has passed. */
  function leasePassed(worker: RealWorker): void {
    for (const run of [...worker.runs.values()]) endRun(worker, run, 'lapsed');
    for (const start of starts.filter((one) => one.worker === worker)) {
      answerStart(start, 'late');
    }
    late = late.filter((one) => one.worker !== worker);
    setReachable(worker, false);
    scheduler.onLeaseExpired(worker.id, now);
    account(worker);
  }

  function takeOver(): void {
    for (const start of starts) late.push(start);
    starts = [];
    stops = [];
    wishes = [];
    reports = [];
    writes = [];
    const used = workers.filter(isKnown);
    createScheduler();
    for (const worker of used) {
      worker.heardSequence = 0;
      worker.lastAskedAt = 0;
      worker.reachable = false;
      worker.listed = false;
      unaccounted.add(worker.id);
    }
    for (const job of jobs) takeUp(job, true);
    scheduler.onWorkerReconciled();
    for (const worker of used) {
      scheduler.putWorker({...worker.info, draining: true});
    }
  }

  /** Gives every answer that is due; whether there was one. */
  function answerAll(): boolean {
    const due =
      starts.length + stops.length + wishes.length + writes.length > 0;
    for (const worker of workers) {
      if (!worker.alive) {
        if (isKnown(worker)) gone(worker);
        continue;
      }
      if (!worker.listed) list(worker);
      if (worker.cut) leasePassed(worker);
    }
    for (const start of late) deliverLate(start);
    for (const start of starts) answerStart(start, 'started');
    for (const run of stops) answerStop(run, {slow: false, answered: true});
    stops = [];
    for (const wish of wishes) answerAdvice(wish, () => true);
    elapse(1);
    for (const worker of workers) {
      for (const run of [...worker.runs.values()]) {
        if (run.ending) endRun(worker, run, 'stopped');
      }
      // Until all ends are told.
      do {
        ask(worker, true);
        for (const report of reports) deliver(report);
        flush();
        while (writes.length > 0) confirmWrite();
      } while (worker.alive && !worker.cut && worker.ends.length > 0);
    }
    return due;
  }

  /** Lets all answers come and time pass until nothing more starts. */
  function settle(): void {
    for (let pause = 0; pause < SETTLE_PAUSES; pause++) {
      answerAll();
      decide();
      elapse(SETTLE_PAUSE_MS);
    }
    let quiet = 0;
    for (let round = 0; quiet < QUIET_ROUNDS; round++) {
      assert.ok(round < MOST_ROUNDS, 'starts or stops never cease');
      answerAll();
      elapse(SHORT_PAUSE_MS);
      const started = decide();
      quiet = started + stops.length > 0 ? 0 : quiet + 1;
    }
  }

  function usedOf(worker: RealWorker): types.resources.Resources {
    let used = types.resources.NO_RESOURCES;
    for (const run of worker.runs.values()) {
      used = types.resources.add(used, sizeOf(run));
    }
    return used;
  }

  function sizeOf({taskId}: WorkerRun): types.resources.Resources {
    const [jobId, , step] = taskId.split('.');
    const job = jobs.find((one) => one.id === jobId)!;
    const {size, usesSpareCpu} = job.request.steps[Number(step)]!;
    return usesSpareCpu ? {...size, cpuMillis: 0} : size;
  }

  return {
    get scheduler() {
      return scheduler;
    },
    get now() {
      return now;
    },
    get late() {
      return late;
    },
    get starts() {
      return starts;
    },
    get stops() {
      return stops;
    },
    get wishes() {
      return wishes;
    },
    get reports() {
      return reports;
    },
    get writes() {
      return writes;
    },
    workers,
    jobs,
    turnedDown,
    pickOf,
    elapse,
    addWorker,
    list,
    isKnown,
    submit,
    cancel(id: types.ids.JobId) {
      jobs.find((job) => job.id === id)!.cancelled = true;
      scheduler.cancelJob(id);
    },
    decide,
    answerStart,
    deliverLate,
    endRun,
    answerStop,
    ask,
    deliver,
    confirmWrite,
    answerAdvice,
    gone,
    /** Calls to the worker fail until it is joined again. */
    cutOff(worker: RealWorker) {
      worker.cut = true;
      if (!isKnown(worker)) return;
      setReachable(worker, false);
      scheduler.onWorkerUnreachable(worker.id);
    },
    /** Nobody is told. */
    die(worker: RealWorker) {
      worker.alive = false;
      worker.runs.clear();
    },
    leasePassed,
    takeOver,
    answerAll,
    settle,
    usedOf,
  };
}

/** As `createUnreliableWorld` makes it. */
export type UnreliableWorld = ReturnType<typeof createUnreliableWorld>;
