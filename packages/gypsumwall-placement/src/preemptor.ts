/**
 * Takes processors and room back from the least urgent running tasks: by a
 * throttle where true usage passes a worker's processors, by a checkpoint
 * where reported memory does or where due work finds no room anywhere.
 */
import type * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';
import type * as jobQueue from './job_queue.js';
import * as preemption from './preemption.js';
import type * as placer from './placer.js';
import * as freeForecast from './free_forecast.js';

/** Due work waits this long for a task to end by itself. */
const DUE_WAIT_MS = 200;
/** Workers looked at to make room for one task. */
const MAX_WORKERS_SAMPLED = 24;
/** Workers on which one round makes room. */
const MAX_ACTIONS_PER_CYCLE = 8;
/** Room made for a job is waited for so long before more is made. */
const PREEMPTION_EXPECTED_MS = 1000;
/**
 * Throttles are lifted when usage as it was before them would take at most
 * this share of the processors; on present usage alone they would be lifted
 * at once and set again after the next report.
 */
const LIFT_THROTTLE_BELOW = 0.95;

/** Watches workers and due work. */
export interface Preemptor {
  /** A worker's usage or tasks changed. */
  onWorkerChanged(worker: allocationState.WorkerState): void;
  removeWorker(worker: allocationState.WorkerState): void;
  /** `due`: first jobs of due groups that found no room. */
  decide(
    now: number,
    due: readonly jobQueue.WaitingJob[],
  ): readonly placer.Relief[];
}

/** What relief needs to know. */
export interface PreemptorOptions {
  readonly workerList: readonly allocationState.WorkerState[];
  readonly random: types.random.Random;
  sizeOf(job: jobQueue.WaitingJob): types.resources.Resources;
}

/** Creates the watch of a domain. */
export function createPreemptor(options: PreemptorOptions): Preemptor {
  const overCpu = new Set<allocationState.WorkerState>();
  const overMemory = new Set<allocationState.WorkerState>();
  const throttled = new Set<allocationState.WorkerState>();
  /** Those of them whose usage or tasks changed. */
  const changedThrottled = new Set<allocationState.WorkerState>();

  function preemptFor(
    job: jobQueue.WaitingJob,
    now: number,
    reliefs: placer.Relief[],
  ): void {
    const since = job.blockedSince;
    if (since === undefined || since + DUE_WAIT_MS > now) return;
    if (job.preemptionPendingUntil > now) return;
    const size = options.sizeOf(job);
    const tasks = Math.min(job.waiting.size, MAX_ACTIONS_PER_CYCLE);
    for (let task = 0; task < tasks; task += 1) {
      const victims = cheapestVictims(job, size, now);
      if (victims === undefined) return;
      for (const victim of victims) {
        reliefs.push(preemption.requestCheckpoint(victim, now));
      }
      job.preemptionPendingUntil = now + PREEMPTION_EXPECTED_MS;
    }
  }

  /** The fewest, least urgent tasks on one sampled worker that make room. */
  function cheapestVictims(
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
      const victims = victimsOn(worker, job, size, now);
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
    reliefs: placer.Relief[],
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
      reliefs.push({type: 'throttle', taskId: task.taskId, cpuMillis});
    }
  }

  function checkpointExcessMemory(
    worker: allocationState.WorkerState,
    now: number,
    reliefs: placer.Relief[],
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
      reliefs.push(preemption.requestCheckpoint(task, now));
    }
  }

  function liftThrottles(
    worker: allocationState.WorkerState,
    reliefs: placer.Relief[],
  ): void {
    let wanted = worker.usedCpuMillis;
    for (const task of worker.allocations) {
      if (task.cpuMillisBeforeThrottle === 0) continue;
      wanted += Math.max(0, task.cpuMillisBeforeThrottle - task.usedCpuMillis);
    }
    if (wanted > worker.capacity.cpuMillis * LIFT_THROTTLE_BELOW) return;
    throttled.delete(worker);
    for (const task of worker.allocations) {
      if (task.cpuMillisBeforeThrottle === 0) continue;
      task.cpuMillisBeforeThrottle = 0;
      reliefs.push({type: 'throttle', taskId: task.taskId, cpuMillis: 0});
    }
  }

  return {
    onWorkerChanged(worker) {
      const {capacity} = worker;
      const cpuFull = worker.usedCpuMillis > capacity.cpuMillis;
      const memoryFull = worker.claimedMemoryMb > capacity.memoryMb;
      if (cpuFull) overCpu.add(worker);
      if (memoryFull) overMemory.add(worker);
      if (throttled.has(worker)) changedThrottled.add(worker);
    },
    removeWorker(worker) {
      overCpu.delete(worker);
      overMemory.delete(worker);
      throttled.delete(worker);
      changedThrottled.delete(worker);
    },
    decide(now, due) {
      const reliefs: placer.Relief[] = [];
      for (const worker of changedThrottled) liftThrottles(worker, reliefs);
      for (const worker of overCpu) throttleExcessCpu(worker, reliefs);
      for (const worker of overMemory)
        checkpointExcessMemory(worker, now, reliefs);
      changedThrottled.clear();
      overCpu.clear();
      overMemory.clear();
      for (const job of due) {
        if (reliefs.length >= MAX_ACTIONS_PER_CYCLE) break;
        preemptFor(job, now, reliefs);
      }
      return reliefs;
    },
  };
}

function victimsOn(
  worker: allocationState.WorkerState,
  job: jobQueue.WaitingJob,
  size: types.resources.Resources,
  now: number,
): allocationState.TaskAllocation[] | undefined {
  const forecast = freeForecast.createFreeForecast(worker);
  const victims: allocationState.TaskAllocation[] = [];
  const candidates: allocationState.TaskAllocation[] = [];
  for (const task of worker.allocations) {
    // Room that an earlier round asked for is meant for another task.
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

/** Each task moved costs one, a normal one as much as three overnight. */
function costOf(victims: readonly allocationState.TaskAllocation[]): number {
  return victims.reduce(
    (sum, task) => sum + 1 + preemption.urgencyRankOf(task) * 2,
    0,
  );
}

function cpuAboveAllocation(task: allocationState.TaskAllocation): number {
  return task.usedCpuMillis - task.size.cpuMillis;
}
