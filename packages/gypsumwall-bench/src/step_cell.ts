/**
 * Simulates a cell on a virtual clock. It drives the real scheduler of step
 * jobs as a holder does; simulated workers, adviser and store answer after
 * their usual latencies. The processor time of the scheduler is measured in
 * real time.
 */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as cellMeasures from './cell_measures.js';
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
const CAPACITY = {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0};
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
}): StepCellResult {
  const random = types.random.createRandom(options.seed);
  const events: {at: number; callback: () => void}[] = [];
  const pendingJobs = new Map<string, PendingJob>();
  const tookMs = new Map<string, ReturnType<typeof createHistogram>>();
  const onTime = new Map<string, {met: number; all: number}>();
  const running = new Map<string, Set<scheduling.activeJob.Attempt>>();
  const sequences = new Map<string, number>();
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
  let jobCount = 0;

  const scheduler = scheduling.scheduler.createScheduler({
    attemptBase: 0,
    isReconciled: () => true,
    onEvent(event) {
      if (event.type === 'job_over') recordJobOver(event.job);
    },
  });

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
    countObjective(pendingJob, durationMs <= pendingJob.objectiveMs);
  }

  function countObjective({kind}: PendingJob, met: boolean): void {
    const counts = onTime.get(kind.name) ?? {met: 0, all: 0};
    counts.all++;
    if (met) counts.met++;
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
      countObjective(pendingJob, false);
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
    for (const order of decisions.starts) startAttempt(order);
    for (const request of decisions.advice) requestAdvice(request);
  }

  function appendDirty(): void {
    const dirty = measure(() => scheduler.takeDirty());
    if (dirty.length === 0) return;
    schedule(APPEND_MS, () => {
      measure(() => scheduler.onStored(dirty));
      requestCycle();
    });
  }

  function startAttempt(order: scheduling.schedulerTypes.StartOrder): void {
    const {attempt} = order;
    starts++;
    schedule(ORDER_ROUND_TRIP_MS, () => {
      const attempts = running.get(attempt.workerId) ?? new Set();
      running.set(attempt.workerId, attempts.add(attempt));
      measure(() => scheduler.onStartAnswered(attempt, {type: 'started'}, now));
    });
    const {request, job} = attempt.task!.stepRun;
    const fails = random.next() < jobKindOf(job.policy.queue).failingShare;
    const spanMs = request.expectedMs * (fails ? random.next() : 1);
    schedule(ORDER_ROUND_TRIP_MS + spanMs, () =>
      endAttempt(attempt, fails ? 'failed' : 'done'),
    );
  }

  function jobKindOf(queue: string): stepLoad.JobKind {
    return stepLoad.PEAK_KINDS.find((kind) => kind.policy.queue === queue)!;
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
      running: [...attempts].map((other) => ({
        taskId: other.taskId,
        attempt: other.number,
        checkpoint: '',
        percent: Math.floor(random.next() * 100),
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
    const request = stepLoad.drawRequest(kind, random);
    const {policy} = kind;
    const chainMs = scheduling.jobRequest.expectedChainMs(request);
    const objectiveMs = chainMs * policy.slackFactor + policy.targetMs;
    pendingJobs.set(id, {kind, at: acceptedAt, objectiveMs});
    const progress = scheduling.jobProgress.NO_PROGRESS;
    const wall = now as unknown as types.clock.WallMs;
    measure(() =>
      scheduler.addJob(
        {id, request, policy, acceptedAt, inherited: false, progress},
        now,
        wall,
      ),
    );
    requestCycle();
  }

  /** Accepts at once all jobs that arrived while there was no holder. */
  function acceptBacklog({spanMs}: Backlog): void {
    for (const kind of stepLoad.PEAK_KINDS) {
      const count = Math.round((kind.rate * options.load * spanMs) / 1_000);
      for (let index = 0; index < count; index++) {
        accept(kind, types.clock.after(now, -random.next() * spanMs));
      }
    }
  }

  function scheduleArrival(kind: stepLoad.JobKind): void {
    const burst = stepLoad.BURSTS.find(
      (candidate) =>
        candidate.kind === kind.name &&
        now >= candidate.fromMs &&
        now < candidate.toMs,
    );
    const rate = kind.rate * options.load * (burst?.factor ?? 1);
    const meanGapMs = 1_000 / rate;
    schedule(-Math.log(1 - random.next()) * meanGapMs, () =>
      handleArrival(kind),
    );
  }

  for (let number = 0; number < options.workers; number++) {
    const id = types.ids.brand<types.ids.WorkerId>(`worker-${number}`);
    scheduler.putWorker({
      id,
      address: '',
      domain: types.ids.brand(`domain-${number % 4}`),
      pool: stepLoad.POOL,
      capacity: CAPACITY,
      labels: [],
      rack: types.ids.brand(`rack-${Math.floor(number / WORKERS_PER_RACK)}`),
      draining: false,
    });
    scheduler.setUsable(id, true, now);
  }
  for (const kind of stepLoad.PEAK_KINDS) scheduleArrival(kind);
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
  const shares = [...onTime].map(
    ([name, {met, all}]) => [name, met / all] as const,
  );
  return {
    starts,
    seconds: options.seconds,
    schedulerMs,
    cycles,
    maxCycleMs,
    tookMs,
    onTime: new Map(shares),
  };
}

function createHistogram() {
  return cellMeasures.buildHistogram(MAX_WAIT_MS);
}
