/**
 * Simulates successive schedulers with workers, a store and an adviser whose
 * answers are late, out of order or lost. The attempts that actually run on a
 * worker are kept separately from the state of the scheduler, so that the two
 * can be compared.
 */
import * as assert from 'node:assert/strict';
import * as organisations from '@gypsumwall/organisations';
import * as types from '@gypsumwall/types';
import type * as activeJob from '../active_job.js';
import * as jobProgress from '../job_progress.js';
import type * as jobRequest from '../job_request.js';
import type * as jobSteps from '../job_steps.js';
import type * as nearChoice from '../near_choice.js';
import * as schedulers from '../scheduler.js';
import type * as schedulerTypes from '../scheduler_types.js';
import type * as workerRegistry from '../worker_registry.js';
import type * as failureCause from './failure_cause.js';
import * as worlds from './scheduler_world.js';

const WALL = 0 as types.clock.WallMs;
/**
 * Maximum number of ends in one report; the worker reports the others later.
 */
const MAX_ENDS_PER_REPORT = 3;
const ATTEMPTS_PER_GENERATION = 1_000;
/**
 * Together longer than the longest avoidance period of a worker, and than the
 * time in which tasks that may crash their workers are isolated one after the
 * other.
 */
const SETTLE_PAUSE_MS = 1_000;
const SETTLE_PAUSE_COUNT = 16;
/** Longer than the interval between two checks for advice. */
const SHORT_PAUSE_MS = 85;
const QUIET_ROUNDS = 6;
const MAX_ROUNDS = 400;

interface RealAttempt {
  readonly taskId: types.ids.TaskId;
  readonly number: number;
  /** A stop was accepted and is not carried out yet. */
  isStopping: boolean;
}

/** The actual state of a worker. */
export interface RealWorker {
  readonly id: types.ids.WorkerId;
  info: workerRegistry.WorkerInfo;
  isAlive: boolean;
  /** Whether calls to and from the worker fail. */
  isCutOff: boolean;
  generation: number;
  readonly attempts: Map<string, RealAttempt>;
  readonly rejectedKeys: Set<string>;
  ends: schedulerTypes.AttemptEnd[];
  sequence: number;
  /** Last sequence number that the session has received. */
  receivedSequence: number;
  lastAskedAt: number;
  isReachable: boolean;
  /** Whether the scheduler has received `info`. */
  isListed: boolean;
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
  /** The answer; if absent, it is created when the report is delivered. */
  readonly content?: ReportContent;
}

type ReportContent = Pick<
  schedulerTypes.WorkerReport,
  'running' | 'ends' | 'complete'
>;

interface PendingWrite {
  readonly dirty: schedulerTypes.DirtyJob[];
  readonly receivedSequences: ReadonlyMap<RealWorker, number>;
}

interface SubmittedJob {
  readonly id: types.ids.JobId;
  readonly organisation: types.ids.OrganisationId | undefined;
  readonly request: jobRequest.JobRequest;
  readonly policy: jobRequest.QueuePolicy;
  readonly acceptedAt: types.clock.MonotonicMs;
  cancelled: boolean;
}

/** Outcome of a start order in transit. */
export type StartDelivery =
  | 'started'
  /** The order is carried out and the answer is lost. */
  | 'unanswered'
  /** The order is not answered; the worker may receive it later. */
  | 'late'
  | schedulerTypes.RefusalReason;

const keyOf = (taskId: string, attemptNumber: number) =>
  `${taskId}#${attemptNumber}`;

/** Organisations of a world. */
export interface WorldOrganisations {
  /** Organisations of the jobs, in turn. */
  readonly owners: readonly (string | undefined)[];
  /** Quotas in cores; each change of the configuration takes the next one. */
  readonly cores: readonly number[];
}

/** Creates a world with the clock at 1,000,000 ms. */
export function createUnreliableWorld(
  organised?: WorldOrganisations,
  near: nearChoice.NearOptions = {},
) {
  let now = 1_000_000 as types.clock.MonotonicMs;
  let generation = 0;
  let scheduler: schedulerTypes.Scheduler;
  let configVersion = 0;
  const unreconciled = new Set<types.ids.WorkerId>();
  const workers: RealWorker[] = [];
  const jobs: SubmittedJob[] = [];
  const persisted = new Map<types.ids.JobId, jobProgress.JobProgress>();
  /** Workers that the adviser has refused, by step. */
  const refusedByAdviser = new Set<string>();
  let starts: PendingStart[] = [];
  let lateStarts: PendingStart[] = [];
  let stops: activeJob.Attempt[] = [];
  let adviceRequests: schedulerTypes.AdviceRequest[] = [];
  let reports: PendingReport[] = [];
  let writes: PendingWrite[] = [];
  const failures: failureCause.WorldRecord['failures'][number][] = [];
  const crashes: failureCause.WorldRecord['crashes'][number][] = [];
  const failedJobs = new Set<SubmittedJob>();

  function createScheduler(): void {
    generation++;
    scheduler = schedulers.createScheduler({
      ...near,
      attemptBase: generation * ATTEMPTS_PER_GENERATION,
      isReconciled: (worker) => !unreconciled.has(worker),
      organisationOf: (id) => jobs.find((job) => job.id === id)?.organisation,
      onEvent: () => undefined,
    });
    scheduler.updateOrganisations(currentOrganisations());
  }

  function currentOrganisations(): organisations.organisation.Organisations {
    if (organised === undefined) return new Map();
    const {owners, cores} = organised;
    const ids = new Set(owners.filter((owner) => owner !== undefined));
    return new Map(
      [...ids].map((owner, nth) => {
        const id = types.ids.brand<types.ids.OrganisationId>(owner);
        const cpuMillis = 1_000 * cores[(configVersion + nth) % cores.length]!;
        const quota = {...organisations.organisation.UNLIMITED, cpuMillis};
        return [id, {id, keyHashes: [], quota}];
      }),
    );
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
      isAlive: true,
      isCutOff: false,
      generation: 0,
      attempts: new Map(),
      rejectedKeys: new Set(),
      ends: [],
      sequence: 0,
      receivedSequence: 0,
      lastAskedAt: 0,
      isReachable: false,
      isListed: false,
    };
    workers.push(worker);
    listWorker(worker);
  }

  function listWorker(worker: RealWorker): void {
    worker.isListed = true;
    scheduler.putWorker(worker.info);
  }

  function isKnown(worker: RealWorker): boolean {
    return scheduler.workerRegistry.workers.has(worker.id);
  }

  function submit(
    steps: jobRequest.StepRequest[],
    policy: Partial<jobRequest.QueuePolicy> = {},
    occurrences = 1,
  ): types.ids.JobId {
    const owners = organised?.owners ?? [];
    const owner = owners[jobs.length % owners.length];
    const job: SubmittedJob = {
      id: types.ids.brand(`j${jobs.length}`),
      organisation:
        owner === undefined
          ? undefined
          : types.ids.brand<types.ids.OrganisationId>(owner),
      request: {
        payload: '',
        steps,
        schedule:
          occurrences > 1
            ? {occurrences, firstAt: WALL, intervalMs: 0}
            : undefined,
      },
      policy: {...worlds.POLICY, ...policy},
      acceptedAt: now,
      cancelled: false,
    };
    jobs.push(job);
    addJob(job, false);
    return job.id;
  }

  function addJob(job: SubmittedJob, inherited: boolean): void {
    const progress = persisted.get(job.id) ?? jobProgress.NO_PROGRESS;
    if (job.cancelled || jobProgress.isOver(progress.phase)) return;
    const {id, organisation, request, policy, acceptedAt} = job;
    scheduler.addJob(
      {id, organisation, request, policy, acceptedAt, inherited, progress},
      now,
      WALL,
    );
  }

  function flush(): void {
    const dirty = scheduler.takeDirty();
    const receivedSequences = new Map(
      workers.map((worker) => [worker, worker.receivedSequence]),
    );
    writes.push({dirty, receivedSequences});
  }

  function decide(): number {
    const decisions = scheduler.decide(now, WALL);
    checkQuotas(decisions.starts);
    for (const order of decisions.starts) {
      const worker = workers.find((one) => one.id === order.attempt.workerId)!;
      starts.push({order, worker, generation});
    }
    adviceRequests.push(...decisions.advice);
    stops.push(...scheduler.takeStops());
    flush();
    elapse(1);
    return decisions.starts.length;
  }

  /** Delivers a start to its worker and returns the answer. */
  function receiveStart(start: PendingStart): schedulerTypes.StartOutcome {
    const {worker, order} = start;
    const {taskId, number: attemptNumber} = order.attempt;
    if (!worker.isAlive || worker.isCutOff) return {type: 'unknown'};
    if (start.generation < worker.generation) return {type: 'unknown'};
    worker.generation = start.generation;
    const key = keyOf(taskId, attemptNumber);
    if (worker.rejectedKeys.has(key))
      return {type: 'refused', reason: 'superseded'};
    worker.attempts.set(key, {
      taskId,
      number: attemptNumber,
      isStopping: false,
    });
    return {type: 'started'};
  }

  function answerStart(start: PendingStart, delivery: StartDelivery): void {
    starts = starts.filter((one) => one !== start);
    const {attempt} = start.order;
    const reportOutcome = (outcome: schedulerTypes.StartOutcome) => {
      if (start.generation === generation) {
        if (outcome.type === 'unknown') setReachable(start.worker, false);
        scheduler.onStartAnswered(attempt, outcome, now);
      }
    };
    switch (delivery) {
      case 'started':
        reportOutcome(receiveStart(start));
        return;
      case 'unanswered':
        receiveStart(start);
        reportOutcome({type: 'unknown'});
        return;
      case 'late':
        lateStarts.push(start);
        reportOutcome({type: 'unknown'});
        return;
      case 'bad_ticket':
      case 'superseded':
      case 'no_room':
      case 'unhealthy':
      case 'other':
        reportOutcome({type: 'refused', reason: delivery});
        return;
    }
  }

  function deliverLate(start: PendingStart): void {
    lateStarts = lateStarts.filter((one) => one !== start);
    receiveStart(start);
  }

  function endAttempt(
    worker: RealWorker,
    attempt: RealAttempt,
    how: jobSteps.AttemptOutcome,
  ): void {
    const {taskId, number: attemptNumber} = attempt;
    worker.attempts.delete(keyOf(taskId, attemptNumber));
    worker.rejectedKeys.add(keyOf(taskId, attemptNumber));
    if (how === 'failed') failures.push({taskId, attempt: attemptNumber});
    const sequence = ++worker.sequence;
    worker.ends.push({
      sequence,
      taskId,
      attempt: attemptNumber,
      how,
      checkpoint: '',
    });
  }

  /** Delivers a stop to its worker, which may carry it out later. */
  function answerStop(
    attempt: activeJob.Attempt,
    options: {readonly slow: boolean; readonly answered: boolean},
  ): void {
    const worker = workers.find((one) => one.id === attempt.workerId)!;
    if (!worker.isAlive || worker.isCutOff) return;
    worker.generation = generation;
    const key = keyOf(attempt.taskId, attempt.number);
    worker.rejectedKeys.add(key);
    const found = worker.attempts.get(key);
    if (found !== undefined) {
      if (options.slow) found.isStopping = true;
      else endAttempt(worker, found, 'stopped');
    }
    if (!options.answered) return;
    stops = stops.filter((one) => one !== attempt);
    scheduler.onStopAnswered(attempt, now);
  }

  function reportContentOf(worker: RealWorker): ReportContent {
    const ends = worker.ends.slice(0, MAX_ENDS_PER_REPORT);
    const percent = Math.floor(now / 10) % 97;
    const running = [...worker.attempts.values()].map((attempt) =>
      worlds.runningAttempt(attempt.taskId, attempt.number, percent),
    );
    return {running, ends, complete: ends.length < MAX_ENDS_PER_REPORT};
  }

  function requestReport(worker: RealWorker, isAnsweredNow: boolean): void {
    if (!worker.isAlive || worker.isCutOff) return;
    worker.generation = generation;
    const content = isAnsweredNow ? reportContentOf(worker) : undefined;
    reports.push({worker, generation, askedAt: now, content});
  }

  function deliverReport(report: PendingReport): void {
    reports = reports.filter((one) => one !== report);
    const {worker, askedAt} = report;
    if (report.generation !== generation || !isKnown(worker)) return;
    if (worker.isCutOff || !worker.isAlive) return;
    if (askedAt < worker.lastAskedAt) return;
    worker.lastAskedAt = askedAt;
    const content = report.content ?? reportContentOf(worker);
    const ends = content.ends.filter(
      (end) => end.sequence > worker.receivedSequence,
    );
    for (const end of ends) {
      worker.receivedSequence = Math.max(worker.receivedSequence, end.sequence);
    }
    const {running, complete} = content;
    scheduler.applyReport(
      {workerId: worker.id, askedAt, running, ends, complete},
      now,
    );
    setReachable(worker, true);
    reconcile(worker);
  }

  function setReachable(worker: RealWorker, reachable: boolean): void {
    if (worker.isReachable === reachable) return;
    worker.isReachable = reachable;
    scheduler.setUsable(worker.id, reachable, now);
  }

  function reconcile(worker: RealWorker): void {
    if (unreconciled.delete(worker.id)) scheduler.onWorkerReconciled();
  }

  function confirmWrite(): void {
    const write = writes.shift();
    if (write === undefined) return;
    for (const {jobId, progress} of write.dirty) {
      persisted.set(jobId, progress);
      const job = jobs.find((one) => one.id === jobId)!;
      if (progress.phase === 'failed') failedJobs.add(job);
    }
    scheduler.onStored(write.dirty);
    for (const [worker, sequence] of write.receivedSequences) {
      worker.ends = worker.ends.filter((end) => end.sequence > sequence);
    }
  }

  function answerAdvice(
    request: schedulerTypes.AdviceRequest,
    answer: 'none' | ((worker: types.ids.WorkerId, nth: number) => boolean),
  ): void {
    adviceRequests = adviceRequests.filter((one) => one !== request);
    const {stepRun} = request;
    const validMs = stepRun.job.policy.advice?.validMs ?? 0;
    const until = types.clock.after(now, validMs);
    if (answer === 'none') {
      scheduler.onAdviceAnswered(request, undefined, until);
      return;
    }
    const approved = new Map<types.ids.WorkerId, string>();
    request.workers.forEach((worker, nth) => {
      const key = `${stepRun.id}@${worker}`;
      if (answer(worker, nth) && !refusedByAdviser.has(key)) {
        approved.set(worker, 'ticket');
      } else refusedByAdviser.add(key);
    });
    scheduler.onAdviceAnswered(request, approved, until);
  }

  function crash(worker: RealWorker): void {
    const tasks = [...worker.attempts.values()].map(({taskId}) => taskId);
    crashes.push({tasks});
    worker.isAlive = false;
    worker.attempts.clear();
  }

  function removeWorker(worker: RealWorker): void {
    crash(worker);
    starts = starts.filter((one) => one.worker !== worker);
    lateStarts = lateStarts.filter((one) => one.worker !== worker);
    stops = stops.filter((attempt) => attempt.workerId !== worker.id);
    if (isKnown(worker)) scheduler.removeWorker(worker.id, 'crashed', now);
    reconcile(worker);
  }

  /** Expires all leases of a worker that is cut off. */
  function expireLeases(worker: RealWorker): void {
    for (const attempt of [...worker.attempts.values()])
      endAttempt(worker, attempt, 'lapsed');
    for (const start of starts.filter((one) => one.worker === worker)) {
      answerStart(start, 'late');
    }
    lateStarts = lateStarts.filter((one) => one.worker !== worker);
    setReachable(worker, false);
    scheduler.onLeaseExpired(worker.id, now);
    reconcile(worker);
  }

  function takeOver(): void {
    for (const start of starts) lateStarts.push(start);
    starts = [];
    stops = [];
    adviceRequests = [];
    reports = [];
    writes = [];
    const used = workers.filter(isKnown);
    createScheduler();
    for (const worker of used) {
      worker.receivedSequence = 0;
      worker.lastAskedAt = 0;
      worker.isReachable = false;
      worker.isListed = false;
      unreconciled.add(worker.id);
    }
    for (const job of jobs) addJob(job, true);
    scheduler.onWorkerReconciled();
    for (const worker of used) {
      scheduler.putWorker({...worker.info, draining: true});
    }
  }

  /** Delivers all pending answers; returns whether there were any. */
  function answerAll(): boolean {
    const due =
      starts.length + stops.length + adviceRequests.length + writes.length > 0;
    for (const worker of workers) {
      if (!worker.isAlive) {
        if (isKnown(worker)) removeWorker(worker);
        continue;
      }
      if (!worker.isListed) listWorker(worker);
      if (worker.isCutOff) expireLeases(worker);
    }
    for (const start of lateStarts) deliverLate(start);
    for (const start of starts) answerStart(start, 'started');
    for (const attempt of stops)
      answerStop(attempt, {slow: false, answered: true});
    stops = [];
    for (const request of adviceRequests) answerAdvice(request, () => true);
    elapse(1);
    for (const worker of workers) {
      for (const attempt of [...worker.attempts.values()]) {
        if (attempt.isStopping) endAttempt(worker, attempt, 'stopped');
      }
      // Repeated until all ends are received.
      do {
        requestReport(worker, true);
        for (const report of reports) deliverReport(report);
        flush();
        while (writes.length > 0) confirmWrite();
      } while (worker.isAlive && !worker.isCutOff && worker.ends.length > 0);
    }
    return due;
  }

  /** Delivers all answers and advances the clock until nothing more starts. */
  function settle(): void {
    for (let pause = 0; pause < SETTLE_PAUSE_COUNT; pause++) {
      answerAll();
      decide();
      elapse(SETTLE_PAUSE_MS);
    }
    let quiet = 0;
    for (let round = 0; quiet < QUIET_ROUNDS; round++) {
      assert.ok(round < MAX_ROUNDS, 'starts or stops do not cease');
      answerAll();
      elapse(SHORT_PAUSE_MS);
      const started = decide();
      quiet = started + stops.length > 0 ? 0 : quiet + 1;
    }
  }

  /**
   * Checks that these starts and everything that runs or may still start stay
   * within the quotas.
   */
  function checkQuotas(ordered: readonly schedulerTypes.StartOrder[]): void {
    const starting = ordered.map(({attempt}) => attempt);
    const pending = [...starts, ...lateStarts]
      .filter(mayRun)
      .map(({order}) => order.attempt);
    const running = workers.flatMap((one) => [...one.attempts.values()]);
    for (const {id, quota} of currentOrganisations().values()) {
      if (!starting.some(({organisation}) => organisation === id)) continue;
      const distinct = new Set(
        [...starting, ...pending, ...running]
          .filter(({taskId}) => jobOf(taskId).organisation === id)
          .map((one) => keyOf(one.taskId, one.number)),
      );
      let used = types.resources.NO_RESOURCES;
      for (const key of distinct) {
        const taskId = types.ids.brand<types.ids.TaskId>(key.split('#')[0]!);
        used = types.resources.add(used, sizeOf({taskId}));
      }
      assert.ok(
        types.resources.fits(used, quota),
        `${id} uses ${used.cpuMillis} of ${quota.cpuMillis}`,
      );
    }
  }

  /** Whether the worker would accept a start. */
  function mayRun({worker, order, generation: sentIn}: PendingStart): boolean {
    const {taskId, number: attemptNumber} = order.attempt;
    const isRejected = worker.rejectedKeys.has(keyOf(taskId, attemptNumber));
    return worker.isAlive && sentIn >= worker.generation && !isRejected;
  }

  function jobOf(taskId: types.ids.TaskId): SubmittedJob {
    return jobs.find((one) => one.id === taskId.split('.')[0])!;
  }

  function usedResources(worker: RealWorker): types.resources.Resources {
    let used = types.resources.NO_RESOURCES;
    for (const attempt of worker.attempts.values()) {
      used = types.resources.add(used, sizeOf(attempt));
    }
    return used;
  }

  function sizeOf({
    taskId,
  }: Pick<RealAttempt, 'taskId'>): types.resources.Resources {
    const [, , step] = taskId.split('.');
    const {size, usesSpareCpu} = jobOf(taskId).request.steps[Number(step)]!;
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
      return lateStarts;
    },
    get starts() {
      return starts;
    },
    get stops() {
      return stops;
    },
    get wishes() {
      return adviceRequests;
    },
    get reports() {
      return reports;
    },
    get writes() {
      return writes;
    },
    workers,
    jobs,
    failures,
    crashes,
    failedJobs,
    refusedByAdviser,
    pickOf,
    elapse,
    addWorker,
    listWorker,
    isKnown,
    submit,
    cancel(id: types.ids.JobId) {
      jobs.find((job) => job.id === id)!.cancelled = true;
      scheduler.cancelJob(id);
    },
    /** Publishes the next configuration. */
    publishConfig() {
      configVersion++;
      scheduler.updatePolicies(() => undefined);
      scheduler.updateOrganisations(currentOrganisations());
    },
    decide,
    answerStart,
    deliverLate,
    endAttempt,
    answerStop,
    requestReport,
    deliverReport,
    confirmWrite,
    answerAdvice,
    removeWorker,
    /** Cuts the worker off until a test sets `isCutOff` to false. */
    disconnect(worker: RealWorker) {
      worker.isCutOff = true;
      if (!isKnown(worker)) return;
      setReachable(worker, false);
      scheduler.onWorkerUnreachable(worker.id);
    },
    /** Crashes the worker without informing the scheduler. */
    crashUnnoticed: crash,
    expireLeases,
    takeOver,
    answerAll,
    settle,
    usedResources,
  };
}

/** A world as created by `createUnreliableWorld`. */
export type UnreliableWorld = ReturnType<typeof createUnreliableWorld>;
