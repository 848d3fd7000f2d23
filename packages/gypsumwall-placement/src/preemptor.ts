/**
 * Takes resources back from the least urgent running tasks. It throttles tasks
 * where the reported CPU usage exceeds a worker's capacity, and checkpoints
 * tasks where the reported memory does or where a due job fits nowhere.
 */
import type * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';
import type * as jobQueue from './job_queue.js';
import * as preemption from './preemption.js';
import type * as placer from './placer.js';
import * as freeForecast from './free_forecast.js';

/** A due job waits this long for tasks to end before others are preempted. */
const DUE_WAIT_MS = 200;
/** The number of workers examined to preempt tasks in favour of one task. */
const MAX_WORKERS_SAMPLED = 24;
/**
 * In one cycle, blocked jobs are handled until there are this many actions, and
 * tasks are preempted for at most this many tasks of each job.
 */
const MAX_ACTIONS_PER_CYCLE = 8;
/**
 * After a preemption for a job, no further one is made for it for this time.
 */
const PREEMPTION_EXPECTED_MS = 1000;
/**
 * Throttles are lifted if the tasks' usage before they were throttled would fit
 * into this share of the worker's CPU. If present usage decided, throttles
 * would be lifted at once and set again after the next report.
 */
const LIFT_THROTTLE_BELOW = 0.95;

/** Decides which running tasks to throttle or to checkpoint. */
export interface Preemptor {
  /** To be called when a worker's usage or tasks changed. */
  onWorkerChanged(worker: allocationState.WorkerState): void;
  removeWorker(worker: allocationState.WorkerState): void;
  /**
   * Returns the actions of one cycle. `due` are the first jobs of the due
   * groups that are blocked for lack of resources.
   */
  decide(
    now: number,
    due: readonly jobQueue.WaitingJob[],
  ): readonly placer.PreemptionAction[];
}

/** The state and functions of the domain that preemption uses. */
export interface PreemptorOptions {
  readonly workerList: readonly allocationState.WorkerState[];
  readonly random: types.random.Random;
  sizeOf(job: jobQueue.WaitingJob): types.resources.Resources;
}

export function createPreemptor(options: PreemptorOptions): Preemptor {
  const overCpu = new Set<allocationState.WorkerState>();
  const overMemory = new Set<allocationState.WorkerState>();
  const throttled = new Set<allocationState.WorkerState>();
  /** Workers with throttled tasks whose usage or tasks changed. */
  const changedThrottled = new Set<allocationState.WorkerState>();

  function preemptFor(
    job: jobQueue.WaitingJob,
    now: number,
    actions: placer.PreemptionAction[],
  ): void {
    const blockedSince = job.blockedSince;
    if (blockedSince === undefined || blockedSince + DUE_WAIT_MS > now) return;
    if (job.preemptionPendingUntil > now) return;
    const size = options.sizeOf(job);
    const tasks = Math.min(job.waiting.size, MAX_ACTIONS_PER_CYCLE);
    for (let task = 0; task < tasks; task += 1) {
      const victims = findCheapestVictims(job, size, now);
      if (victims === undefined) return;
      for (const victim of victims) {
        actions.push(preemption.requestCheckpoint(victim, now));
      }
      job.preemptionPendingUntil = now + PREEMPTION_EXPECTED_MS;
    }
  }

  /**
   * Of the sampled workers, chooses the one where preemption costs least, and
   * returns the tasks to preempt there.
   */
  function findCheapestVictims(
    job: jobQueue.WaitingJob,
    size: types.resources.Resources,
    now: number,
  ): allocationState.TaskAllocation[] | undefined {
    const {workerList, random} = options;
    if (workerList.length === 0) return undefined;
    const start = random.integer(0, workerList.length - 1);
    let best: allocationState.TaskAllocation[] | undefined;
    let bestCost = Infinity;
    for (
      let step = 0;
      step < Math.min(MAX_WORKERS_SAMPLED, workerList.length);
      step += 1
    ) {
      const worker = workerList[(start + step) % workerList.length]!;
      if (!worker.isSchedulable || worker.isQuarantined) continue;
      const victims = findVictimsOn(worker, job, size, now);
      if (victims === undefined) continue;
      const cost = costOf(victims);
      if (cost >= bestCost) continue;
      best = victims;
      bestCost = cost;
    }
    return best;
  }

  function throttleExcessCpu(
    worker: allocationState.WorkerState,
    actions: placer.PreemptionAction[],
  ): void {
    let excess = worker.usedCpuMillis - worker.capacity.cpuMillis;
    const overusing = [...worker.allocations]
      .filter(
        (task) =>
          task.cpuMillisBeforeThrottle === 0 && cpuAboveAllocation(task) > 0,
      )
      .sort(
        (left, right) =>
          preemption.urgencyRankOf(left) - preemption.urgencyRankOf(right),
      );
    for (const task of overusing) {
      if (excess <= 0) break;
      excess -= cpuAboveAllocation(task);
      task.cpuMillisBeforeThrottle = task.usedCpuMillis;
      throttled.add(worker);
      const {cpuMillis} = task.size;
      actions.push({type: 'throttle', taskId: task.taskId, cpuMillis});
    }
  }

  function checkpointExcessMemory(
    worker: allocationState.WorkerState,
    now: number,
    actions: placer.PreemptionAction[],
  ): void {
    let used = 0;
    for (const task of worker.allocations) used += task.usedMemoryMb;
    const candidates = [...worker.allocations]
      .filter((task) => preemption.isPreemptible(task, now))
      .sort(
        (left, right) =>
          preemption.urgencyRankOf(left) - preemption.urgencyRankOf(right),
      );
    for (const task of candidates) {
      if (used <= worker.capacity.memoryMb) return;
      used -= task.usedMemoryMb;
      actions.push(preemption.requestCheckpoint(task, now));
    }
  }

  function liftThrottles(
    worker: allocationState.WorkerState,
    actions: placer.PreemptionAction[],
  ): void {
    let cpuWithoutThrottles = worker.usedCpuMillis;
    for (const task of worker.allocations) {
      if (task.cpuMillisBeforeThrottle === 0) continue;
      cpuWithoutThrottles += Math.max(
        0,
        task.cpuMillisBeforeThrottle - task.usedCpuMillis,
      );
    }
    if (cpuWithoutThrottles > worker.capacity.cpuMillis * LIFT_THROTTLE_BELOW)
      return;
    throttled.delete(worker);
    for (const task of worker.allocations) {
      if (task.cpuMillisBeforeThrottle === 0) continue;
      task.cpuMillisBeforeThrottle = 0;
      actions.push({type: 'throttle', taskId: task.taskId, cpuMillis: 0});
    }
  }

  return {
    onWorkerChanged(worker) {
      const {capacity} = worker;
      const isOverCpu = worker.usedCpuMillis > capacity.cpuMillis;
      const isOverMemory = worker.claimedMemoryMb > capacity.memoryMb;
      if (isOverCpu) overCpu.add(worker);
      if (isOverMemory) overMemory.add(worker);
      if (throttled.has(worker)) changedThrottled.add(worker);
    },
    removeWorker(worker) {
      overCpu.delete(worker);
      overMemory.delete(worker);
      throttled.delete(worker);
      changedThrottled.delete(worker);
    },
    decide(now, due) {
      const actions: placer.PreemptionAction[] = [];
      for (const worker of changedThrottled) liftThrottles(worker, actions);
      for (const worker of overCpu) throttleExcessCpu(worker, actions);
      for (const worker of overMemory)
        checkpointExcessMemory(worker, now, actions);
      changedThrottled.clear();
      overCpu.clear();
      overMemory.clear();
      for (const job of due) {
        if (actions.length >= MAX_ACTIONS_PER_CYCLE) break;
        preemptFor(job, now, actions);
      }
      return actions;
    },
  };
}

function findVictimsOn(
  worker: allocationState.WorkerState,
  job: jobQueue.WaitingJob,
  size: types.resources.Resources,
  now: number,
): allocationState.TaskAllocation[] | undefined {
  const forecast = freeForecast.createFreeForecast(worker);
  const victims: allocationState.TaskAllocation[] = [];
  const candidates: allocationState.TaskAllocation[] = [];
  for (const task of worker.allocations) {
    // The resources that a pending checkpoint frees are meant for another task.
    if (preemption.isCheckpointPending(task, now)) return undefined;
    if (preemption.isPreemptible(task, now)) candidates.push(task);
  }
  candidates.sort(
    (left, right) =>
      preemption.urgencyRankOf(left) - preemption.urgencyRankOf(right),
  );
  for (const task of candidates) {
    if (forecast.fits(size)) break;
    if (
      preemption.urgencyRankOf(task) >=
        preemption.URGENCY_RANK[job.spec.urgency] &&
      job.tier > 0
    )
      break;
    victims.push(task);
    forecast.removeTask(task);
  }
  const isEnough = forecast.fits(size) && victims.length > 0;
  return isEnough ? victims : undefined;
}

/** An overnight task costs 1 and a normal task 3. */
function costOf(victims: readonly allocationState.TaskAllocation[]): number {
  return victims.reduce(
    (sum, task) => sum + 1 + preemption.urgencyRankOf(task) * 2,
    0,
  );
}

function cpuAboveAllocation(task: allocationState.TaskAllocation): number {
  return task.usedCpuMillis - task.size.cpuMillis;
}
