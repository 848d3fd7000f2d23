/**
 * Drives a real placer on a virtual clock: arrivals, ends and usage reports
 * come out of one event queue. It is no cluster simulator: workers are fakes
 * that share processors, and nothing is sent anywhere.
 */
import * as placement from '@gypsumwall/placement';
import * as types from '@gypsumwall/types';
import * as cellMeasures from './cell_measures.js';
import type * as profiles from './profiles.js';
import * as virtualWorker from './virtual_worker.js';
import type * as workload from './workload.js';

/** One run. */
export interface CellOptions {
  readonly profile: profiles.Profile;
  readonly placer: placement.placer.Placer;
  readonly arrivals: readonly workload.Arrival[];
  readonly horizonMs: number;
  /** Figures count from here on; before, the policy learns. */
  readonly warmUpMs: number;
  /** The worker that fails every task, if any. */
  readonly badWorker?: number;
  /** Whether a job can never run. */
  readonly isBroken?: (arrival: workload.Arrival) => boolean;
}

type CellEvent =
  | {readonly type: 'arrival'; readonly at: number; readonly index: number}
  | {
      readonly type: 'end';
      readonly at: number;
      readonly worker: number;
      readonly version: number;
    }
  | {readonly type: 'heartbeat'; readonly at: number; readonly worker: number}
  | {readonly type: 'tick'; readonly at: number};

interface CellJob {
  readonly arrival: workload.Arrival;
  left: number;
  /** Run time left of tasks that were checkpointed. */
  readonly resumeMs: Map<number, number>;
  readonly started: Set<number>;
  doneAt: number | undefined;
  givenUp: boolean;
}

const TICK_MS = 250;
const HEARTBEAT_MS = 5000;
const DECIDE_LIMIT = 64;
/** How long a failing task takes to fail. */
const FAILS_AFTER_MS = 50;
/** Work that a checkpoint costs: saving, stopping and loading again. */
const CHECKPOINT_MS = 1000;

/** Jobs as they ended, for the offline schedule. */
export interface CellOutcome {
  readonly measures: cellMeasures.CellMeasures;
  /** Admitted jobs with deadlines, and when they were done. */
  readonly deadlineJobs: ReadonlyArray<{
    readonly arrival: workload.Arrival;
    readonly doneAt: number | undefined;
  }>;
}

/** Runs a cell from time 0 to the horizon. */
export function runCell(options: CellOptions): CellOutcome {
  const {profile, placer, arrivals, horizonMs, warmUpMs} = options;
  const measures = cellMeasures.createCellMeasures();
  const events = placement.binaryHeap.createBinaryHeap<CellEvent>(
    (left, right) => left.at < right.at,
  );
  const workers = Array.from({length: profile.workers}, () =>
    virtualWorker.createVirtualWorker(profile.capacity),
  );
  const numberOf = new Map<types.ids.WorkerId, number>();
  const workerOf = new Map<types.ids.TaskId, number>();
  const jobs = new Map<types.ids.JobId, CellJob>();
  let now = 0;
  let measuredAt = 0;
  let used = 0;
  let held = 0;
  let overMemory = 0;
  let crowded = 0;
  let usedBefore = 0;

  /** Adds up what was in use since the last change. */
  function measure(): void {
    const from = Math.max(measuredAt, Math.min(now, warmUpMs));
    usedBefore += (used / 1000) * (from - measuredAt);
    const passedMs = now - from;
    measuredAt = now;
    if (passedMs <= 0) return;
    measures.used += (used / 1000) * passedMs;
    measures.held += (held / 1000) * passedMs;
    const capacity = profile.workers * profile.capacity.cpuMillis;
    measures.capacity += (capacity / 1000) * passedMs;
    measures.memoryOver += overMemory * passedMs;
    measures.crowded += crowded * passedMs;
    measures.workerTime += profile.workers * passedMs;
  }

  /** Changes a worker and keeps the sums right. */
  function change(number: number, action: () => void): void {
    const worker = workers[number]!;
    const isOver = () =>
      worker.usedMemoryMb() > profile.capacity.memoryMb ? 1 : 0;
    measure();
    used -= worker.usedMillis();
    overMemory -= isOver();
    crowded -= worker.isCrowded() ? 1 : 0;
    action();
    used += worker.usedMillis();
    overMemory += isOver();
    crowded += worker.isCrowded() ? 1 : 0;
    const at = worker.nextEnd(now);
    if (at === Infinity) return;
    events.push({type: 'end', at, worker: number, version: worker.version()});
  }

  function arrive(arrival: workload.Arrival): void {
    const counts = arrival.at >= warmUpMs;
    if (counts) measures.jobs += 1;
    const refusal = placer.admit(arrival.spec, now as types.clock.WallMs);
    if (refusal !== undefined) {
      if (!counts) return;
      const before = measures.refused.get(refusal.reason) ?? 0;
      measures.refused.set(refusal.reason, before + 1);
      return;
    }
    const {jobId, spec, tasks} = arrival;
    jobs.set(jobId, {
      arrival,
      left: tasks.length,
      resumeMs: new Map(),
      started: new Set(),
      doneAt: undefined,
      givenUp: false,
    });
    const acceptedAt = now as types.clock.WallMs;
    placer.enqueue({jobId, spec, acceptedAt, waiting: [...tasks.keys()]});
  }

  function begin(placed: placement.placer.Placement): void {
    const number = numberOf.get(placed.workerId)!;
    const {jobId, index} = types.ids.splitTaskId(placed.taskId);
    const job = jobs.get(jobId)!;
    const truth = job.arrival.tasks[index]!;
    const fails =
      number === options.badWorker || options.isBroken?.(job.arrival) === true;
    // A start that fails at once ends nobody's waiting.
    if (!fails && !job.started.has(index)) {
      job.started.add(index);
      noteWait(job, now - job.arrival.at);
    }
    const leftMs = fails
      ? FAILS_AFTER_MS
      : (job.resumeMs.get(index) ?? truth.runMs);
    const {taskId, size} = placed;
    const task = {taskId, truth, size, startedAt: now, leftMs, limitMillis: 0};
    workerOf.set(taskId, number);
    change(number, () => {
      held += size.cpuMillis;
      workers[number]!.start(task, now);
    });
  }

  function noteWait(job: CellJob, waitMs: number): void {
    const {at, className, spec} = job.arrival;
    if (at < warmUpMs || spec.shape.kind === 'service') return;
    cellMeasures.noteWait(measures, className, waitMs);
  }

  function finish(number: number): void {
    const worker = workers[number]!;
    for (;;) {
      const task = worker.ended(now);
      if (task === undefined) return;
      change(number, () => {
        held -= task.size.cpuMillis;
        worker.stop(task.taskId, now);
      });
      noteEnd(task, number);
    }
  }

  function noteEnd(task: virtualWorker.VirtualTask, number: number): void {
    workerOf.delete(task.taskId);
    const {jobId, index} = types.ids.splitTaskId(task.taskId);
    const job = jobs.get(jobId)!;
    const fails =
      number === options.badWorker || options.isBroken?.(job.arrival) === true;
    if (fails) {
      measures.failedRuns += 1;
      placer.release(task.taskId, {type: 'failed', message: 'exit 1'});
      dropGivenUp();
      if (!job.givenUp) enqueueAgain(job, index);
      return;
    }
    placer.release(task.taskId, {type: 'done', ranMs: now - task.startedAt});
    job.left -= 1;
    if (job.left > 0) return;
    job.doneAt = now;
    if (job.arrival.at >= warmUpMs) measures.jobsDone += 1;
  }

  function dropGivenUp(): void {
    for (const {jobId} of placer.takeAbandonedJobs()) {
      const job = jobs.get(jobId)!;
      // Its other tasks may still run, fail and have it given up again.
      if (!job.givenUp) measures.jobsGivenUp += 1;
      job.givenUp = true;
    }
  }

  function enqueueAgain(job: CellJob, index: number): void {
    const {jobId, spec} = job.arrival;
    const acceptedAt = job.arrival.at as types.clock.WallMs;
    placer.enqueue({jobId, spec, acceptedAt, waiting: [index]});
  }

  function relieve(relief: placement.placer.PreemptionAction): void {
    const number = workerOf.get(relief.taskId);
    if (number === undefined) return;
    const worker = workers[number]!;
    switch (relief.type) {
      case 'throttle':
        measures.throttles += 1;
        change(number, () =>
          worker.throttle(relief.taskId, relief.cpuMillis, now),
        );
        return;
      case 'checkpoint':
        measures.checkpoints += 1;
        change(number, () => stopForLater(worker, relief.taskId));
        return;
    }
  }

  function stopForLater(
    worker: virtualWorker.VirtualWorker,
    taskId: types.ids.TaskId,
  ): void {
    const task = worker.stop(taskId, now);
    if (task === undefined) return;
    held -= task.size.cpuMillis;
    workerOf.delete(taskId);
    const {jobId, index} = types.ids.splitTaskId(taskId);
    const job = jobs.get(jobId)!;
    job.resumeMs.set(index, task.leftMs + CHECKPOINT_MS);
    placer.release(taskId, {type: 'stopped'});
    enqueueAgain(job, index);
  }

  function report(number: number): void {
    const worker = workers[number]!;
    for (const task of worker.tasks.values()) {
      placer.reportUsage(task.taskId, {
        cpuMillis: Math.round(worker.usedBy(task)),
        memoryMb: Math.round(task.truth.memoryMb),
        accelerators: 0,
      });
    }
    events.push({type: 'heartbeat', at: now + HEARTBEAT_MS, worker: number});
  }

  function decide(): void {
    for (;;) {
      const before = process.hrtime.bigint();
      const decided = placer.decide(now as types.clock.WallMs, DECIDE_LIMIT);
      const spentNs = Number(process.hrtime.bigint() - before);
      measures.decideTotalNs += spentNs;
      measures.placements += decided.placements.length;
      if (decided.placements.length > 0) measures.decideNs.recordValue(spentNs);
      decided.placements.forEach(begin);
      decided.preemptions.forEach(relieve);
      if (decided.placements.length < DECIDE_LIMIT) return;
    }
  }

  function handle(event: CellEvent): void {
    switch (event.type) {
      case 'arrival':
        arrive(arrivals[event.index]!);
        return;
      case 'end':
        if (event.version === workers[event.worker]!.version()) {
          finish(event.worker);
        }
        return;
      case 'heartbeat':
        report(event.worker);
        return;
      case 'tick':
        events.push({type: 'tick', at: now + TICK_MS});
        return;
    }
  }

  function setUp(): void {
    const teams = new Set(profile.classes.map((each) => each.team));
    for (const name of teams) {
      const {packing} = profile;
      const id = types.ids.brand<types.ids.TeamId>(name);
      const quota = {cpuMillis: 1e12, memoryMb: 1e12, accelerators: 1e6};
      placer.setTeam({id, weight: 1, quota, packing});
    }
    for (let n = 0; n < profile.workers; n += 1) {
      const rack = Math.floor(n / profile.workersPerRack);
      const id = types.ids.brand<types.ids.WorkerId>(`worker-${n}`);
      numberOf.set(id, n);
      const {capacity} = profile;
      placer.setWorker({id, rack: types.ids.brand(`rack-${rack}`), capacity});
      // Workers report in turn and not all at once.
      const at = (n / profile.workers) * HEARTBEAT_MS;
      events.push({type: 'heartbeat', at, worker: n});
    }
    arrivals.forEach(({at}, index) =>
      events.push({type: 'arrival', at, index}),
    );
    events.push({type: 'tick', at: 0});
  }

  setUp();
  for (;;) {
    const event = events.pop();
    if (event === undefined || event.at > horizonMs) break;
    now = event.at;
    handle(event);
    if (event.type !== 'heartbeat') decide();
  }
  now = horizonMs;
  measure();
  const offered = offeredWork(arrivals, horizonMs);
  measures.bound = Math.min(measures.capacity, offered - usedBefore);
  const deadlineJobs = [];
  for (const job of jobs.values()) {
    if (options.isBroken?.(job.arrival) === true) continue;
    // A task that never started has waited at least until now.
    for (let index = 0; index < job.arrival.tasks.length; index += 1) {
      if (!job.started.has(index)) noteWait(job, now - job.arrival.at);
    }
    const {at, spec} = job.arrival;
    const {deadline} = spec;
    if (deadline === undefined || deadline > horizonMs || at < warmUpMs) {
      continue;
    }
    deadlineJobs.push({arrival: job.arrival, doneAt: job.doneAt});
  }
  return {measures, deadlineJobs};
}

/** Core milliseconds that tasks could use until the horizon at the most. */
function offeredWork(
  arrivals: readonly workload.Arrival[],
  horizonMs: number,
): number {
  let sum = 0;
  for (const {at, tasks} of arrivals) {
    for (const task of tasks) {
      const runsMs = Math.min(task.runMs, horizonMs - at);
      sum += (task.cpuMillis * runsMs) / 1000;
    }
  }
  return sum;
}
