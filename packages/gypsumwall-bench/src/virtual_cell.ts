/**
 * Drives a real placer on a virtual clock: arrivals, task ends and usage
 * reports come from one event queue. This is not a full cluster simulator:
 * workers only share their processors among tasks, and there are no network
 * calls.
 */
import * as placement from '@gypsumwall/placement';
import * as types from '@gypsumwall/types';
import * as cellMeasures from './cell_measures.js';
import type * as profiles from './profiles.js';
import * as virtualWorker from './virtual_worker.js';
import type * as workload from './workload.js';

/** Parameters of one run. */
export interface CellOptions {
  readonly profile: profiles.Profile;
  readonly placer: placement.placer.Placer;
  readonly arrivals: readonly workload.Arrival[];
  readonly horizonMs: number;
  /** Start of the measurement; until then the policy learns. */
  readonly warmUpMs: number;
  /** Index of the worker on which every task fails, if any. */
  readonly faultyWorker?: number;
  /** Whether every attempt of a job fails. */
  readonly alwaysFails?: (arrival: workload.Arrival) => boolean;
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
  tasksLeft: number;
  /** Remaining run time of checkpointed tasks, by task index. */
  readonly remainingMsByTask: Map<number, number>;
  readonly startedTasks: Set<number>;
  doneAt: number | undefined;
  isAbandoned: boolean;
}

const TICK_INTERVAL_MS = 250;
const HEARTBEAT_INTERVAL_MS = 5000;
const MAX_PLACEMENTS_PER_DECISION = 64;
/** Run time of a task that fails. */
const FAILING_TASK_MS = 50;
/**
 * Extra run time of a checkpointed task: saving, stopping and loading its
 * state.
 */
const CHECKPOINT_COST_MS = 1000;

/** Results of a run. */
export interface CellOutcome {
  readonly measures: cellMeasures.CellMeasures;
  /**
   * Admitted jobs with deadlines and the time each finished, for the offline
   * schedule.
   */
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
  const workerIndexById = new Map<types.ids.WorkerId, number>();
  const workerIndexByTask = new Map<types.ids.TaskId, number>();
  const jobs = new Map<types.ids.JobId, CellJob>();
  let now = 0;
  let measuredAt = 0;
  let usedMillis = 0;
  let reservedMillis = 0;
  let overMemoryWorkers = 0;
  let crowdedWorkers = 0;
  let usedInWarmUpCoreMs = 0;

  /** Adds the resource use since the last change to the totals. */
  function accumulate(): void {
    const measuredFrom = Math.max(measuredAt, Math.min(now, warmUpMs));
    usedInWarmUpCoreMs += (usedMillis / 1000) * (measuredFrom - measuredAt);
    const elapsedMs = now - measuredFrom;
    measuredAt = now;
    if (elapsedMs <= 0) return;
    measures.usedCoreMs += (usedMillis / 1000) * elapsedMs;
    measures.reservedCoreMs += (reservedMillis / 1000) * elapsedMs;
    const capacity = profile.workers * profile.capacity.cpuMillis;
    measures.capacityCoreMs += (capacity / 1000) * elapsedMs;
    measures.overMemoryWorkerMs += overMemoryWorkers * elapsedMs;
    measures.crowdedWorkerMs += crowdedWorkers * elapsedMs;
    measures.workerMs += profile.workers * elapsedMs;
  }

  /** Changes a worker, updates the totals and schedules its next task end. */
  function updateWorker(workerIndex: number, action: () => void): void {
    const worker = workers[workerIndex]!;
    const isOver = () =>
      worker.usedMemoryMb() > profile.capacity.memoryMb ? 1 : 0;
    accumulate();
    usedMillis -= worker.usedMillis();
    overMemoryWorkers -= isOver();
    crowdedWorkers -= worker.isCrowded() ? 1 : 0;
    action();
    usedMillis += worker.usedMillis();
    overMemoryWorkers += isOver();
    crowdedWorkers += worker.isCrowded() ? 1 : 0;
    const at = worker.nextEndAt(now);
    if (at === Infinity) return;
    events.push({
      type: 'end',
      at,
      worker: workerIndex,
      version: worker.version(),
    });
  }

  function handleArrival(arrival: workload.Arrival): void {
    const isMeasured = arrival.at >= warmUpMs;
    if (isMeasured) measures.jobsSubmitted += 1;
    const refusal = placer.admit(arrival.spec, now as types.clock.WallMs);
    if (refusal !== undefined) {
      if (!isMeasured) return;
      const before = measures.refusedByReason.get(refusal.reason) ?? 0;
      measures.refusedByReason.set(refusal.reason, before + 1);
      return;
    }
    const {jobId, spec, tasks} = arrival;
    jobs.set(jobId, {
      arrival,
      tasksLeft: tasks.length,
      remainingMsByTask: new Map(),
      startedTasks: new Set(),
      doneAt: undefined,
      isAbandoned: false,
    });
    const acceptedAt = now as types.clock.WallMs;
    placer.enqueue({jobId, spec, acceptedAt, waiting: [...tasks.keys()]});
  }

  function startTask(placedTask: placement.placer.Placement): void {
    const workerIndex = workerIndexById.get(placedTask.workerId)!;
    const {jobId, index} = types.ids.splitTaskId(placedTask.taskId);
    const job = jobs.get(jobId)!;
    const actual = job.arrival.tasks[index]!;
    const fails =
      workerIndex === options.faultyWorker ||
      options.alwaysFails?.(job.arrival) === true;
    // A start that fails immediately does not end the waiting time of the task.
    if (!fails && !job.startedTasks.has(index)) {
      job.startedTasks.add(index);
      recordWait(job, now - job.arrival.at);
    }
    const remainingMs = fails
      ? FAILING_TASK_MS
      : (job.remainingMsByTask.get(index) ?? actual.runMs);
    const {taskId, size} = placedTask;
    const task = {
      taskId,
      actual,
      size,
      startedAt: now,
      remainingMs,
      throttleMillis: 0,
    };
    workerIndexByTask.set(taskId, workerIndex);
    updateWorker(workerIndex, () => {
      reservedMillis += size.cpuMillis;
      workers[workerIndex]!.start(task, now);
    });
  }

  function recordWait(job: CellJob, waitMs: number): void {
    const {at, className, spec} = job.arrival;
    if (at < warmUpMs || spec.shape.kind === 'service') return;
    cellMeasures.recordWait(measures, className, waitMs);
  }

  function finishEndedTasks(workerIndex: number): void {
    const worker = workers[workerIndex]!;
    for (;;) {
      const task = worker.findEndedTask(now);
      if (task === undefined) return;
      updateWorker(workerIndex, () => {
        reservedMillis -= task.size.cpuMillis;
        worker.stop(task.taskId, now);
      });
      handleTaskEnd(task, workerIndex);
    }
  }

  function handleTaskEnd(
    task: virtualWorker.VirtualTask,
    workerIndex: number,
  ): void {
    workerIndexByTask.delete(task.taskId);
    const {jobId, index} = types.ids.splitTaskId(task.taskId);
    const job = jobs.get(jobId)!;
    const fails =
      workerIndex === options.faultyWorker ||
      options.alwaysFails?.(job.arrival) === true;
    if (fails) {
      measures.failedAttempts += 1;
      placer.release(task.taskId, {type: 'failed', message: 'exit 1'});
      markAbandonedJobs();
      if (!job.isAbandoned) requeueTask(job, index);
      return;
    }
    placer.release(task.taskId, {type: 'done', ranMs: now - task.startedAt});
    job.tasksLeft -= 1;
    if (job.tasksLeft > 0) return;
    job.doneAt = now;
    if (job.arrival.at >= warmUpMs) measures.jobsDone += 1;
  }

  function markAbandonedJobs(): void {
    for (const {jobId} of placer.takeAbandonedJobs()) {
      const job = jobs.get(jobId)!;
      // Other tasks of the job may still run and fail, which reports the job as
      // abandoned again.
      if (!job.isAbandoned) measures.jobsAbandoned += 1;
      job.isAbandoned = true;
    }
  }

  function requeueTask(job: CellJob, index: number): void {
    const {jobId, spec} = job.arrival;
    const acceptedAt = job.arrival.at as types.clock.WallMs;
    placer.enqueue({jobId, spec, acceptedAt, waiting: [index]});
  }

  function applyPreemption(
    preemption: placement.placer.PreemptionAction,
  ): void {
    const workerIndex = workerIndexByTask.get(preemption.taskId);
    if (workerIndex === undefined) return;
    const worker = workers[workerIndex]!;
    switch (preemption.type) {
      case 'throttle':
        measures.throttles += 1;
        updateWorker(workerIndex, () =>
          worker.throttle(preemption.taskId, preemption.cpuMillis, now),
        );
        return;
      case 'checkpoint':
        measures.checkpoints += 1;
        updateWorker(workerIndex, () =>
          checkpointTask(worker, preemption.taskId),
        );
        return;
    }
  }

  function checkpointTask(
    worker: virtualWorker.VirtualWorker,
    taskId: types.ids.TaskId,
  ): void {
    const task = worker.stop(taskId, now);
    if (task === undefined) return;
    reservedMillis -= task.size.cpuMillis;
    workerIndexByTask.delete(taskId);
    const {jobId, index} = types.ids.splitTaskId(taskId);
    const job = jobs.get(jobId)!;
    job.remainingMsByTask.set(index, task.remainingMs + CHECKPOINT_COST_MS);
    placer.release(taskId, {type: 'stopped'});
    requeueTask(job, index);
  }

  function reportUsage(workerIndex: number): void {
    const worker = workers[workerIndex]!;
    for (const task of worker.tasks.values()) {
      placer.reportUsage(task.taskId, {
        cpuMillis: Math.round(worker.usedMillisOf(task)),
        memoryMb: Math.round(task.actual.memoryMb),
        accelerators: 0,
      });
    }
    events.push({
      type: 'heartbeat',
      at: now + HEARTBEAT_INTERVAL_MS,
      worker: workerIndex,
    });
  }

  function decide(): void {
    for (;;) {
      const before = process.hrtime.bigint();
      const decisions = placer.decide(
        now as types.clock.WallMs,
        MAX_PLACEMENTS_PER_DECISION,
      );
      const spentNs = Number(process.hrtime.bigint() - before);
      measures.decideTotalNs += spentNs;
      measures.placements += decisions.placements.length;
      if (decisions.placements.length > 0)
        measures.decideNs.recordValue(spentNs);
      decisions.placements.forEach(startTask);
      decisions.preemptions.forEach(applyPreemption);
      if (decisions.placements.length < MAX_PLACEMENTS_PER_DECISION) return;
    }
  }

  function handleEvent(event: CellEvent): void {
    switch (event.type) {
      case 'arrival':
        handleArrival(arrivals[event.index]!);
        return;
      case 'end':
        if (event.version === workers[event.worker]!.version()) {
          finishEndedTasks(event.worker);
        }
        return;
      case 'heartbeat':
        reportUsage(event.worker);
        return;
      case 'tick':
        events.push({type: 'tick', at: now + TICK_INTERVAL_MS});
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
      workerIndexById.set(id, n);
      const {capacity} = profile;
      placer.setWorker({id, rack: types.ids.brand(`rack-${rack}`), capacity});
      // Heartbeats are spread evenly over the interval.
      const at = (n / profile.workers) * HEARTBEAT_INTERVAL_MS;
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
    handleEvent(event);
    if (event.type !== 'heartbeat') decide();
  }
  now = horizonMs;
  accumulate();
  const offered = offeredWork(arrivals, horizonMs);
  measures.boundCoreMs = Math.min(
    measures.capacityCoreMs,
    offered - usedInWarmUpCoreMs,
  );
  const deadlineJobs = [];
  for (const job of jobs.values()) {
    if (options.alwaysFails?.(job.arrival) === true) continue;
    // A task that never started has waited until the end of the run.
    for (let index = 0; index < job.arrival.tasks.length; index += 1) {
      if (!job.startedTasks.has(index)) recordWait(job, now - job.arrival.at);
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

/**
 * Upper bound of the core milliseconds that the tasks could use until the
 * horizon.
 */
function offeredWork(
  arrivals: readonly workload.Arrival[],
  horizonMs: number,
): number {
  let sum = 0;
  for (const {at, tasks} of arrivals) {
    for (const task of tasks) {
      const usableMs = Math.min(task.runMs, horizonMs - at);
      sum += (task.cpuMillis * usableMs) / 1000;
    }
  }
  return sum;
}
