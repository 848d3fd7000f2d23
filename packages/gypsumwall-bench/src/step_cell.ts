/**
 * Simulates a cell on a virtual clock. It drives the real scheduler of step
 * jobs as a holder does; simulated workers, adviser and store answer after
 * their usual latencies. The processor time of the scheduler is measured in
 * real time.
 */
import * as organisations from '@gypsumwall/organisations';
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as cellMeasures from './cell_measures.js';
import * as nearWorks from './near_work.js';
import * as runTimes from './run_times.js';
import * as stepLoad from './step_load.js';

/** Round trip of an append to the store. */
const APPEND_MS = 16;
/** Round trip of an order to a worker. */
const ORDER_ROUND_TRIP_MS = 3;
/** Time that a worker takes to stop a task. */
const STOP_TASK_MS = 150;
/** Delay before a scheduling cycle, as the holder waits. */
const CYCLE_INTERVAL_MS = 3;
const WORKERS_PER_RACK = 20;
/** Interval of the cycles that a holder runs in any case. */
const TICK_MS = 100;
const MAX_WAIT_MS = 1e6;
/** Virtual time at which a run starts. */
const START_AT_MS = 1_000;

/** Results of a run. */
export interface StepCellResult {
  readonly starts: number;
  readonly seconds: number;
  /** Processor time of the scheduler. */
  readonly schedulerMs: number;
  readonly cycles: number;
  /** Processor time of the longest scheduling cycle. */
  readonly maxCycleMs: number;
  /** Time from the acceptance to the end of a job, by kind. */
  readonly tookMs: ReadonlyMap<string, ReturnType<typeof createHistogram>>;
  /** Share of the jobs that met their objective, by kind. */
  readonly onTime: ReadonlyMap<string, number>;
  /** Share of the jobs that ended while their callers had a use for it. */
  readonly useful: ReadonlyMap<string, number>;
  readonly near: scheduling.nearStarts.NearCounts;
}

/** When an attempt began, and how long it takes by itself. */
interface Run {
  readonly startedAt: number;
  readonly runMs: number;
}

interface PendingJob {
  readonly kind: stepLoad.JobKind;
  readonly at: types.clock.MonotonicMs;
  readonly objectiveMs: number;
}

/** Jobs that were accepted while the cell had no holder. */
export interface Backlog {
  /** Time from the start of the run until a holder takes over the cell. */
  readonly takeoverAtMs: number;
  /** Time for which jobs had accumulated by then. */
  readonly spanMs: number;
  /**
   * Jobs accepted earlier than this, counted from the start, are not measured.
   */
  readonly countFromMs: number;
}

/** A time in which the store handles appends slowly, one at a time. */
export interface SlowStore {
  readonly fromMs: number;
  readonly toMs: number;
  readonly appendMs: number;
}

/** Organisations that own the jobs. */
export interface JobOwners {
  readonly count: number;
  /** Jobs a second that each is entitled to. */
  readonly weight: number;
  /** The first one sends this many times as much as the others. */
  readonly firstFactor: number;
}

/** Simulates a cell with the given number of workers for the given time. */
export function runStepCell(options: {
  readonly workers: number;
  /** Number of entries that may call the adviser. */
  readonly entries: number;
  readonly seconds: number;
  readonly seed: number;
  /** Factor by which the arrival rates are scaled. */
  readonly load: number;
  /** Jobs that wait when a holder takes over, if any. */
  readonly backlog?: Backlog;
  readonly scenario?: stepLoad.Scenario;
  readonly slowStore?: SlowStore;
  readonly owners?: JobOwners;
  /** Work that runs slower in some places than in others, if any. */
  readonly nearWork?: nearWorks.NearWork;
  readonly unevenness?: runTimes.Unevenness;
  /** Whether the jobs of an owner are measured; by default all are. */
  readonly isMeasured?: (owner: number) => boolean;
}): StepCellResult {
  const scenario = options.scenario ?? stepLoad.PLANNING;
  const random = types.random.createRandom(options.seed);
  // The same jobs arrive however long steps wait for near places.
  const arrivalRandom =
    options.nearWork === undefined
      ? random
      : types.random.createRandom(options.seed + 2);
  const events: {at: number; callback: () => void}[] = [];
  const pendingJobs = new Map<string, PendingJob>();
  const tookMs = new Map<string, ReturnType<typeof createHistogram>>();
  const onTime = new Map<string, {met: number; useful: number; all: number}>();
  const running = new Map<string, Map<scheduling.activeJob.Attempt, Run>>();
  const sequences = new Map<string, number>();
  const times = runTimes.createRunTimes(
    random,
    (id) => Number(id.split('-')[1]),
    options.unevenness,
  );
  const pool = scheduling.adviserPool.createAdviserPool<string>();
  const entries = Array.from(
    {length: options.entries},
    (_, index) => `e${index}`,
  );
  const busyUntil = new Map<string, number>();
  let now = START_AT_MS as types.clock.MonotonicMs;
  let schedulerMs = 0;
  let maxCycleMs = 0;
  let cycles = 0;
  let starts = 0;
  let isCyclePlanned = false;
  let unstored: scheduling.schedulerTypes.DirtyJob[] = [];
  let isAppending = false;
  let jobCount = 0;

  const scheduler = scheduling.scheduler.createScheduler({
    ...options.nearWork,
    attemptBase: 0,
    isReconciled: () => true,
    onEvent(event) {
      if (event.type === 'job_over') recordJobOver(event.job);
    },
  });

  const rackOf = (number: number) =>
    `rack-${Math.floor(number / WORKERS_PER_RACK)}`;
  const nearRuns =
    options.nearWork &&
    nearWorks.createNearRuns(
      options.nearWork,
      (id) => scheduler.workerRegistry.workers.get(id)!.info.rack,
      [...new Set(Array.from({length: options.workers}, (_, n) => rackOf(n)))],
      types.random.createRandom(options.seed + 1),
    );

  function recordJobOver(id: string): void {
    const pendingJob = pendingJobs.get(id);
    if (pendingJob === undefined) return;
    pendingJobs.delete(id);
    if (pendingJob.at - START_AT_MS < (options.backlog?.countFromMs ?? 0))
      return;
    const durationMs = now - pendingJob.at;
    const durations = tookMs.get(pendingJob.kind.name) ?? createHistogram();
    durations.recordValue(Math.max(1, Math.round(durationMs)));
    tookMs.set(pendingJob.kind.name, durations);
    countObjective(pendingJob, durationMs);
  }

  function countObjective(
    {kind, objectiveMs}: PendingJob,
    durationMs: number,
  ): void {
    const counts = onTime.get(kind.name) ?? {met: 0, useful: 0, all: 0};
    counts.all++;
    if (durationMs <= objectiveMs) counts.met++;
    if (durationMs <= objectiveMs * scheduling.jobOrder.LATE_FACTOR)
      counts.useful++;
    onTime.set(kind.name, counts);
  }

  /**
   * Counts a job that is already late at the end of the run as a missed
   * objective.
   */
  function recordUnfinished(pendingJob: PendingJob): void {
    if (pendingJob.at - START_AT_MS < (options.backlog?.countFromMs ?? 0))
      return;
    if (now - pendingJob.at > pendingJob.objectiveMs)
      countObjective(pendingJob, Infinity);
  }

  function measure<Value>(work: () => Value): Value {
    const startedAt = performance.now();
    const value = work();
    schedulerMs += performance.now() - startedAt;
    return value;
  }

  function schedule(delayMs: number, callback: () => void): void {
    const at = now + delayMs;
    let low = 0;
    let high = events.length;
    // Events are ordered latest first, so that the next one is popped off the
    // end.
    while (low < high) {
      const middle = (low + high) >> 1;
      if (events[middle]!.at > at) low = middle + 1;
      else high = middle;
    }
    events.splice(low, 0, {at, callback});
  }

  function requestCycle(): void {
    if (isCyclePlanned) return;
    isCyclePlanned = true;
    schedule(CYCLE_INTERVAL_MS, runCycle);
  }

  function runCycle(): void {
    isCyclePlanned = false;
    cycles++;
    const startedAt = performance.now();
    const decisions = scheduler.decide(
      now,
      now as unknown as types.clock.WallMs,
      pool.capacity(entries),
    );
    const cycleMs = performance.now() - startedAt;
    schedulerMs += cycleMs;
    maxCycleMs = Math.max(maxCycleMs, cycleMs);
    appendDirty();
    nearRuns?.onStarts(decisions.starts);
    startAttempts(decisions.starts);
    for (const request of decisions.advice) requestAdvice(request);
  }

  function appendMsNow(): number {
    const {slowStore} = options;
    const spentMs = now - START_AT_MS;
    const isSlow =
      slowStore !== undefined &&
      spentMs >= slowStore.fromMs &&
      spentMs < slowStore.toMs;
    return isSlow ? slowStore.appendMs : APPEND_MS;
  }

  /** Appends in batches; one is in flight at a time. */
  function appendDirty(): void {
    unstored.push(...measure(() => scheduler.takeDirty()));
    if (isAppending || unstored.length === 0) return;
    isAppending = true;
    const batch = unstored;
    unstored = [];
    const startedAt = now;
    schedule(appendMsNow(), () => {
      isAppending = false;
      scheduler.setCommitLatency(now - startedAt);
      measure(() => scheduler.onStored(batch));
      appendDirty();
      requestCycle();
    });
  }

  /** Starts attempts; the members of a gang end with the slowest one. */
  function startAttempts(
    orders: readonly scheduling.schedulerTypes.StartOrder[],
  ): void {
    const gangMs = new Map<scheduling.activeJob.StepRun, number>();
    const runs = orders.map(({attempt}) => {
      const runMs = nearRuns?.runMs(attempt) ?? times.drawRunMs(attempt);
      const {stepRun} = attempt.task!;
      if (stepRun.request.gang)
        gangMs.set(stepRun, Math.max(runMs, gangMs.get(stepRun) ?? 0));
      return {attempt, runMs};
    });
    for (const {attempt, runMs} of runs)
      startAttempt(attempt, runMs, gangMs.get(attempt.task!.stepRun) ?? runMs);
  }

  function startAttempt(
    attempt: scheduling.activeJob.Attempt,
    runMs: number,
    endsAfterMs: number,
  ): void {
    starts++;
    schedule(ORDER_ROUND_TRIP_MS, () => {
      const attempts =
        running.get(attempt.workerId) ??
        new Map<scheduling.activeJob.Attempt, Run>();
      running.set(
        attempt.workerId,
        attempts.set(attempt, {startedAt: now, runMs}),
      );
      measure(() => scheduler.onStartAnswered(attempt, {type: 'started'}, now));
    });
    const {job} = attempt.task!.stepRun;
    const fails = random.next() < jobKindOf(job.policy.queue).failingShare;
    const spanMs = endsAfterMs * (fails ? random.next() : 1);
    schedule(ORDER_ROUND_TRIP_MS + spanMs, () =>
      endAttempt(attempt, fails ? 'failed' : 'done'),
    );
  }

  function jobKindOf(queue: string): stepLoad.JobKind {
    return scenario.kinds.find((kind) => kind.policy.queue === queue)!;
  }

  function endAttempt(
    attempt: scheduling.activeJob.Attempt,
    outcome: scheduling.jobSteps.AttemptOutcome,
  ): void {
    const attempts = running.get(attempt.workerId);
    if (attempts?.delete(attempt) !== true) return;
    const sequence = (sequences.get(attempt.workerId) ?? 0) + 1;
    sequences.set(attempt.workerId, sequence);
    const {taskId, number, workerId} = attempt;
    const report: scheduling.schedulerTypes.WorkerReport = {
      workerId,
      askedAt: now,
      running: [...attempts].map(([other, {startedAt, runMs}]) => ({
        taskId: other.taskId,
        attempt: other.number,
        checkpoint: '',
        percent: Math.min(100, Math.floor((100 * (now - startedAt)) / runMs)),
      })),
      ends: [{sequence, taskId, attempt: number, how: outcome, checkpoint: ''}],
      complete: true,
    };
    measure(() => scheduler.applyReport(report, now));
    for (const stopped of scheduler.takeStops()) {
      schedule(STOP_TASK_MS, () => {
        scheduler.onStopAnswered(stopped, now);
        endAttempt(stopped, 'stopped');
      });
    }
    appendDirty();
    requestCycle();
  }

  function requestAdvice(
    request: scheduling.schedulerTypes.AdviceRequest,
  ): void {
    const entry = pool.acquire(entries, request.callMs, request.needed);
    if (entry === undefined) {
      scheduler.onAdviceAnswered(request, undefined, now);
      return;
    }
    // The adviser handles the calls of one entry one at a time.
    const doneAt = Math.max(now, busyUntil.get(entry) ?? 0) + request.callMs;
    busyUntil.set(entry, doneAt);
    schedule(doneAt - now, () => {
      pool.release(entry, request.callMs);
      const share = jobKindOf(request.stepRun.job.policy.queue).approvedShare;
      const approved = new Map<types.ids.WorkerId, string>();
      for (const id of request.workers) {
        if (random.next() < share) approved.set(id, 'ticket');
      }
      const validMs = request.stepRun.job.policy.advice?.validMs ?? 0;
      const validUntil = types.clock.after(now, validMs);
      measure(() => scheduler.onAdviceAnswered(request, approved, validUntil));
      requestCycle();
    });
  }

  function handleArrival(kind: stepLoad.JobKind): void {
    accept(kind, now);
    scheduleArrival(kind);
  }

  function accept(
    kind: stepLoad.JobKind,
    acceptedAt: types.clock.MonotonicMs,
  ): void {
    const id = types.ids.brand<types.ids.JobId>(`job${++jobCount}`);
    const drawn = stepLoad.drawRequest(kind, arrivalRandom);
    const request = nearRuns?.addPlaces(id, drawn) ?? drawn;
    const {policy} = kind;
    const chainMs = scheduling.jobRequest.expectedChainMs(
      times.realRequest(id, request),
    );
    const objectiveMs = chainMs * policy.slackFactor + policy.targetMs;
    const owner = drawOwner();
    const isMeasured =
      owner === undefined || (options.isMeasured?.(owner) ?? true);
    if (isMeasured) pendingJobs.set(id, {kind, at: acceptedAt, objectiveMs});
    const progress = scheduling.jobProgress.NO_PROGRESS;
    const wall = now as unknown as types.clock.WallMs;
    measure(() =>
      scheduler.addJob(
        {
          id,
          organisation: owner === undefined ? undefined : organisationId(owner),
          request,
          policy,
          acceptedAt,
          inherited: false,
          progress,
        },
        now,
        wall,
      ),
    );
    requestCycle();
  }

  /** Number of the organisation of the next job. */
  function drawOwner(): number | undefined {
    const {owners} = options;
    if (owners === undefined) return undefined;
    const {count, firstFactor} = owners;
    const drawn = random.next() * (count - 1 + firstFactor);
    return drawn < firstFactor ? 0 : Math.floor(drawn - firstFactor) + 1;
  }

  /** Accepts at once all jobs that arrived while there was no holder. */
  function acceptBacklog({spanMs}: Backlog): void {
    for (const kind of scenario.kinds) {
      const count = Math.round((kind.rate * options.load * spanMs) / 1_000);
      for (let index = 0; index < count; index++) {
        accept(kind, types.clock.after(now, -random.next() * spanMs));
      }
    }
  }

  function scheduleArrival(kind: stepLoad.JobKind): void {
    const burst = scenario.bursts.find(
      (candidate) =>
        candidate.kind === kind.name &&
        now >= candidate.fromMs &&
        now < candidate.toMs,
    );
    const {owners} = options;
    const ownersFactor =
      owners === undefined
        ? 1
        : (owners.count - 1 + owners.firstFactor) / owners.count;
    const rate = kind.rate * options.load * (burst?.factor ?? 1) * ownersFactor;
    const meanGapMs = 1_000 / rate;
    schedule(-Math.log(1 - arrivalRandom.next()) * meanGapMs, () =>
      handleArrival(kind),
    );
  }

  /** A wait for a near place depends on time alone. */
  function scheduleTick(): void {
    schedule(TICK_MS, () => {
      requestCycle();
      scheduleTick();
    });
  }

  /** Racks lie in one domain where places matter. */
  function domainOf(number: number): string {
    const part =
      nearRuns === undefined ? number : Math.floor(number / WORKERS_PER_RACK);
    return `domain-${part % 4}`;
  }

  for (let number = 0; number < options.workers; number++) {
    const id = types.ids.brand<types.ids.WorkerId>(`worker-${number}`);
    scheduler.putWorker({
      id,
      address: '',
      domain: types.ids.brand(domainOf(number)),
      pool: stepLoad.POOL,
      capacity: scenario.capacity,
      labels: [],
      rack: types.ids.brand(rackOf(number)),
      draining: false,
    });
    scheduler.setUsable(id, true, now);
  }
  scheduler.updateOrganisations(createOrganisations(options.owners));
  for (const kind of scenario.kinds) scheduleArrival(kind);
  if (nearRuns !== undefined) scheduleTick();
  const {backlog} = options;
  if (backlog !== undefined)
    schedule(backlog.takeoverAtMs, () => acceptBacklog(backlog));
  const endAt = now + options.seconds * 1_000;
  for (;;) {
    const next = events.pop();
    if (next === undefined || next.at > endAt) break;
    now = next.at as types.clock.MonotonicMs;
    next.callback();
  }
  for (const pendingJob of pendingJobs.values()) recordUnfinished(pendingJob);
  const sharesOf = (count: (counts: {met: number; useful: number}) => number) =>
    new Map(
      [...onTime].map(
        ([name, counts]) => [name, count(counts) / counts.all] as const,
      ),
    );
  return {
    starts,
    seconds: options.seconds,
    schedulerMs,
    cycles,
    maxCycleMs,
    tookMs,
    onTime: sharesOf(({met}) => met),
    useful: sharesOf(({useful}) => useful),
    near: scheduler.counts().near,
  };
}

function organisationId(owner: number): types.ids.OrganisationId {
  return types.ids.brand(`organisation-${owner}`);
}

function createOrganisations(
  owners: JobOwners | undefined,
): organisations.organisation.Organisations {
  const quota = organisations.organisation.UNLIMITED;
  return new Map(
    Array.from({length: owners?.count ?? 0}, (_, owner) => {
      const id = organisationId(owner);
      return [id, {id, keyHashes: [], weight: owners?.weight, quota}];
    }),
  );
}

function createHistogram() {
  return cellMeasures.buildHistogram(MAX_WAIT_MS);
}
