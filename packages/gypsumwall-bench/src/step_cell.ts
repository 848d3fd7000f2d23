/**
 * A cell on a time of its own: the scheduler of step jobs as its holder drives
 * it, with workers, adviser and store that answer after their usual times.
 * What the scheduler itself takes is measured on the processor's clock.
 */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as cellMeasures from './cell_measures.js';
import * as stepLoad from './step_load.js';

/** Round trip of an append, and of an order; milliseconds. */
const STORE_MS = 16;
const ORDER_MS = 3;
/** What a worker takes to stop a task; milliseconds. */
const STOP_MS = 150;
/** Pause before a pass, as the holder makes it; milliseconds. */
const PASS_GAP_MS = 3;
const WORKERS_PER_RACK = 20;
const CAPACITY = {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0};
const LONGEST_WAIT_MS = 1e6;
/** Virtual time at which a run starts; milliseconds. */
const START_MS = 1_000;

/** What a run of a cell came to. */
export interface StepCellResult {
  readonly starts: number;
  readonly seconds: number;
  /** Processor time in the scheduler, in milliseconds. */
  readonly schedulerMs: number;
  readonly passes: number;
  /** Longest pass, in milliseconds of the processor. */
  readonly longestPassMs: number;
  /** Milliseconds from acceptance to the end of a job, by kind. */
  readonly tookMs: ReadonlyMap<string, ReturnType<typeof histogram>>;
  /** Share of the jobs that ended within their objective, by kind. */
  readonly onTime: ReadonlyMap<string, number>;
}

interface JobNote {
  readonly kind: stepLoad.JobKind;
  readonly at: types.clock.MonotonicMs;
  readonly objectiveMs: number;
}

/** Jobs that were accepted while nobody held the cell. */
export interface Backlog {
  /** When the holder takes over, in milliseconds from the start. */
  readonly atMs: number;
  /** For how long jobs had come by then, in milliseconds. */
  readonly spanMs: number;
  /** Figures count only jobs accepted from here on, in milliseconds. */
  readonly countFromMs: number;
}

/** Runs a cell of so many workers for so many seconds. */
export function runStepCell(options: {
  readonly workers: number;
  /** Entries that may ask the adviser. */
  readonly entries: number;
  readonly seconds: number;
  readonly seed: number;
  /** Factor on the rates of the load. */
  readonly load: number;
  /** Work that waits when a holder takes over, if any. */
  readonly backlog?: Backlog;
}): StepCellResult {
  const random = types.random.createRandom(options.seed);
  const events: {at: number; run: () => void}[] = [];
  const notes = new Map<string, JobNote>();
  const tookMs = new Map<string, ReturnType<typeof histogram>>();
  const onTime = new Map<string, {met: number; all: number}>();
  const running = new Map<string, Set<scheduling.activeJob.Attempt>>();
  const sequences = new Map<string, number>();
  const lanes = scheduling.adviserPool.createAdviserPool<string>();
  const entries = Array.from({length: options.entries}, (_, nth) => `e${nth}`);
  const lineEnds = new Map<string, number>();
  let now = START_MS as types.clock.MonotonicMs;
  let schedulerMs = 0;
  let longestPassMs = 0;
  let passes = 0;
  let starts = 0;
  let passPlanned = false;
  let jobs = 0;

  const scheduler = scheduling.scheduler.createScheduler({
    attemptBase: 0,
    isReconciled: () => true,
    onEvent(event) {
      if (event.type === 'job_over') noteOver(event.job);
    },
  });

  function noteOver(id: string): void {
    const note = notes.get(id);
    if (note === undefined) return;
    notes.delete(id);
    if (note.at - START_MS < (options.backlog?.countFromMs ?? 0)) return;
    const span = now - note.at;
    const taken = tookMs.get(note.kind.name) ?? histogram();
    taken.recordValue(Math.max(1, Math.round(span)));
    tookMs.set(note.kind.name, taken);
    count(note, span <= note.objectiveMs);
  }

  function count({kind}: JobNote, met: boolean): void {
    const counts = onTime.get(kind.name) ?? {met: 0, all: 0};
    counts.all++;
    if (met) counts.met++;
    onTime.set(kind.name, counts);
  }

  /** A job that is late by the end of the run never was on time. */
  function noteUnfinished(note: JobNote): void {
    if (note.at - START_MS < (options.backlog?.countFromMs ?? 0)) return;
    if (now - note.at > note.objectiveMs) count(note, false);
  }

  function timed<Value>(work: () => Value): Value {
    const from = performance.now();
    const value = work();
    schedulerMs += performance.now() - from;
    return value;
  }

  function later(spanMs: number, run: () => void): void {
    const at = now + spanMs;
    let low = 0;
    let high = events.length;
    // Latest first, so that the next one is taken off the end.
    while (low < high) {
      const middle = (low + high) >> 1;
      if (events[middle]!.at > at) low = middle + 1;
      else high = middle;
    }
    events.splice(low, 0, {at, run});
  }

  function kick(): void {
    if (passPlanned) return;
    passPlanned = true;
    later(PASS_GAP_MS, pass);
  }

  function pass(): void {
    passPlanned = false;
    passes++;
    const from = performance.now();
    const decisions = scheduler.decide(
      now,
      now as unknown as types.clock.WallMs,
      lanes.capacity(entries),
    );
    const tookPassMs = performance.now() - from;
    schedulerMs += tookPassMs;
    longestPassMs = Math.max(longestPassMs, tookPassMs);
    store();
    for (const order of decisions.starts) startRun(order);
    for (const wish of decisions.advice) advise(wish);
  }

  function store(): void {
    const dirty = timed(() => scheduler.takeDirty());
    if (dirty.length === 0) return;
    later(STORE_MS, () => {
      timed(() => scheduler.onStored(dirty));
      kick();
    });
  }

  function startRun(order: scheduling.schedulerTypes.StartOrder): void {
    const {attempt: run} = order;
    starts++;
    later(ORDER_MS, () => {
      const runs = running.get(run.workerId) ?? new Set();
      running.set(run.workerId, runs.add(run));
      timed(() => scheduler.onStartAnswered(run, {type: 'started'}, now));
    });
    const {request, job} = run.task!.stepRun;
    const fails = random.next() < kindOf(job.policy.queue).failingShare;
    const spanMs = request.expectedMs * (fails ? random.next() : 1);
    later(ORDER_MS + spanMs, () => end(run, fails ? 'failed' : 'done'));
  }

  function kindOf(queue: string): stepLoad.JobKind {
    return stepLoad.PEAK_KINDS.find((kind) => kind.policy.queue === queue)!;
  }

  function end(
    run: scheduling.activeJob.Attempt,
    how: scheduling.jobSteps.AttemptOutcome,
  ): void {
    const runs = running.get(run.workerId);
    if (runs?.delete(run) !== true) return;
    const sequence = (sequences.get(run.workerId) ?? 0) + 1;
    sequences.set(run.workerId, sequence);
    const {taskId, number: attempt, workerId} = run;
    const report: scheduling.schedulerTypes.WorkerReport = {
      workerId,
      askedAt: now,
      running: [...runs].map((one) => ({
        taskId: one.taskId,
        attempt: one.number,
        checkpoint: '',
        percent: Math.floor(random.next() * 100),
      })),
      ends: [{sequence, taskId, attempt, how, checkpoint: ''}],
      complete: true,
    };
    timed(() => scheduler.applyReport(report, now));
    for (const stopped of scheduler.takeStops()) {
      later(STOP_MS, () => {
        scheduler.onStopAnswered(stopped, now);
        end(stopped, 'stopped');
      });
    }
    store();
    kick();
  }

  function advise(wish: scheduling.schedulerTypes.AdviceRequest): void {
    const lane = lanes.acquire(entries, wish.callMs, wish.needed);
    if (lane === undefined) {
      scheduler.onAdviceAnswered(wish, undefined, now);
      return;
    }
    // The adviser handles the calls of one entry one at a time.
    const doneAt = Math.max(now, lineEnds.get(lane) ?? 0) + wish.callMs;
    lineEnds.set(lane, doneAt);
    later(doneAt - now, () => {
      lanes.release(lane, wish.callMs);
      const share = kindOf(wish.stepRun.job.policy.queue).approvedShare;
      const approved = new Map<types.ids.WorkerId, string>();
      for (const id of wish.workers) {
        if (random.next() < share) approved.set(id, 'ticket');
      }
      const validMs = wish.stepRun.job.policy.advice?.validMs ?? 0;
      const validUntil = types.clock.after(now, validMs);
      timed(() => scheduler.onAdviceAnswered(wish, approved, validUntil));
      kick();
    });
  }

  function arrive(kind: stepLoad.JobKind): void {
    accept(kind, now);
    planArrival(kind);
  }

  function accept(
    kind: stepLoad.JobKind,
    acceptedAt: types.clock.MonotonicMs,
  ): void {
    const id = types.ids.brand<types.ids.JobId>(`job${++jobs}`);
    const request = stepLoad.drawRequest(kind, random);
    const {policy} = kind;
    const chainMs = scheduling.jobRequest.expectedChainMs(request);
    const objectiveMs = chainMs * policy.slackFactor + policy.targetMs;
    notes.set(id, {kind, at: acceptedAt, objectiveMs});
    const progress = scheduling.jobProgress.NO_PROGRESS;
    const wall = now as unknown as types.clock.WallMs;
    timed(() =>
      scheduler.addJob(
        {id, request, policy, acceptedAt, inherited: false, progress},
        now,
        wall,
      ),
    );
    kick();
  }

  /** All jobs of a span without a holder, at once. */
  function inherit({spanMs}: Backlog): void {
    for (const kind of stepLoad.PEAK_KINDS) {
      const count = Math.round((kind.rate * options.load * spanMs) / 1_000);
      for (let nth = 0; nth < count; nth++) {
        accept(kind, types.clock.after(now, -random.next() * spanMs));
      }
    }
  }

  function planArrival(kind: stepLoad.JobKind): void {
    const burst = stepLoad.BURSTS.find(
      (one) => one.kind === kind.name && now >= one.fromMs && now < one.toMs,
    );
    const rate = kind.rate * options.load * (burst?.factor ?? 1);
    const meanGapMs = 1_000 / rate;
    later(-Math.log(1 - random.next()) * meanGapMs, () => arrive(kind));
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
  for (const kind of stepLoad.PEAK_KINDS) planArrival(kind);
  const {backlog} = options;
  if (backlog !== undefined) later(backlog.atMs, () => inherit(backlog));
  const endAt = now + options.seconds * 1_000;
  for (;;) {
    const next = events.pop();
    if (next === undefined || next.at > endAt) break;
    now = next.at as types.clock.MonotonicMs;
    next.run();
  }
  for (const note of notes.values()) noteUnfinished(note);
  const shares = [...onTime].map(
    ([name, {met, all}]) => [name, met / all] as const,
  );
  return {
    starts,
    seconds: options.seconds,
    schedulerMs,
    passes,
    longestPassMs,
    tookMs,
    onTime: new Map(shares),
  };
}

function histogram() {
  return cellMeasures.buildHistogram(LONGEST_WAIT_MS);
}
