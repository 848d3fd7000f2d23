/**
 * Takes processors and room back from the least urgent running tasks: by a
 * throttle where true usage passes a worker's processors, by a checkpoint
 * where reported memory does or where due work finds no room anywhere.
 */
import type * as types from '@gypsumwall/types';
import type * as bookRecords from './book_records.js';
import type * as jobQueue from './job_queue.js';
import * as movable from './movable.js';
import type * as placer from './placer.js';
import * as roomForecast from './room_forecast.js';

/** Due work waits this long for a task to end by itself. */
const DUE_PATIENCE_MS = 200;
/** Workers looked at to make room for one task. */
const SAMPLES = 24;
/** Workers on which one round makes room. */
const WORKERS_PER_ROUND = 8;
/** Room made for a job is waited for so long before more is made. */
const RELIEF_EXPECTED_MS = 1000;
/**
 * Throttles are lifted when usage as it was before them would take at most
 * this share of the processors; on present usage alone they would be lifted
 * at once and set again after the next report.
 */
const LIFT_BELOW = 0.95;

/** Watches workers and due work. */
export interface ReliefWatch {
  /** A worker's usage or tasks changed. */
  noteWorker(worker: bookRecords.WorkerRecord): void;
  forget(worker: bookRecords.WorkerRecord): void;
  /** `due`: first jobs of due groups that found no room. */
  decide(
    now: number,
    due: readonly jobQueue.JobRecord[],
  ): readonly placer.PreemptionAction[];
}

/** What relief needs to know. */
export interface ReliefOptions {
  readonly list: readonly bookRecords.WorkerRecord[];
  readonly random: types.random.Random;
  sizeOf(job: jobQueue.JobRecord): types.resources.Resources;
}

/** Creates the watch of a domain. */
export function createReliefWatch(options: ReliefOptions): ReliefWatch {
  const overCpu = new Set<bookRecords.WorkerRecord>();
  const overMemory = new Set<bookRecords.WorkerRecord>();
  const throttled = new Set<bookRecords.WorkerRecord>();
  /** Those of them whose usage or tasks changed. */
  const changed = new Set<bookRecords.WorkerRecord>();

  function makeRoom(
    job: jobQueue.JobRecord,
    now: number,
    reliefs: placer.PreemptionAction[],
  ): void {
    const since = job.blockedSince;
    if (since === undefined || since + DUE_PATIENCE_MS > now) return;
    if (job.reliefUntil > now) return;
    const size = options.sizeOf(job);
    const tasks = Math.min(job.waiting.size, WORKERS_PER_ROUND);
    for (let task = 0; task < tasks; task += 1) {
      const victims = cheapestVictims(job, size, now);
      if (victims === undefined) return;
      for (const victim of victims) {
        reliefs.push(movable.askCheckpoint(victim, now));
      }
      job.reliefUntil = now + RELIEF_EXPECTED_MS;
    }
  }

  /** The fewest, least urgent tasks on one sampled worker that make room. */
  function cheapestVictims(
    job: jobQueue.JobRecord,
    size: types.resources.Resources,
    now: number,
  ): bookRecords.HeldRecord[] | undefined {
    const {list, random} = options;
    if (list.length === 0) return undefined;
    const start = random.integer(0, list.length - 1);
    let best: bookRecords.HeldRecord[] | undefined;
    let bestCost = Infinity;
    for (let step = 0; step < Math.min(SAMPLES, list.length); step += 1) {
      const worker = list[(start + step) % list.length]!;
      if (!worker.open || worker.quarantined) continue;
      const victims = victimsOn(worker, job, size, now);
      if (victims === undefined) continue;
      const cost = costOf(victims);
      if (cost >= bestCost) continue;
      best = victims;
      bestCost = cost;
    }
    return best;
  }

  function relieveCpu(
    worker: bookRecords.WorkerRecord,
    reliefs: placer.PreemptionAction[],
  ): void {
    let excess = worker.usedCpuMillis - worker.capacity.cpuMillis;
    const over = [...worker.tasks]
      .filter((task) => task.throttledFromMillis === 0 && overSize(task) > 0)
      .sort((left, right) => movable.rankOf(left) - movable.rankOf(right));
    for (const task of over) {
      if (excess <= 0) break;
      excess -= overSize(task);
      task.throttledFromMillis = task.usedCpuMillis;
      throttled.add(worker);
      const {cpuMillis} = task.size;
      reliefs.push({type: 'throttle', taskId: task.taskId, cpuMillis});
    }
  }

  function relieveMemory(
    worker: bookRecords.WorkerRecord,
    now: number,
    reliefs: placer.PreemptionAction[],
  ): void {
    let used = 0;
    for (const task of worker.tasks) used += task.usedMemoryMb;
    const tasks = [...worker.tasks]
      .filter((task) => movable.isMovable(task, now))
      .sort((left, right) => movable.rankOf(left) - movable.rankOf(right));
    for (const task of tasks) {
      if (used <= worker.capacity.memoryMb) return;
      used -= task.usedMemoryMb;
      reliefs.push(movable.askCheckpoint(task, now));
    }
  }

  function liftThrottles(
    worker: bookRecords.WorkerRecord,
    reliefs: placer.PreemptionAction[],
  ): void {
    let wanted = worker.usedCpuMillis;
    for (const task of worker.tasks) {
      if (task.throttledFromMillis === 0) continue;
      wanted += Math.max(0, task.throttledFromMillis - task.usedCpuMillis);
    }
    if (wanted > worker.capacity.cpuMillis * LIFT_BELOW) return;
    throttled.delete(worker);
    for (const task of worker.tasks) {
      if (task.throttledFromMillis === 0) continue;
      task.throttledFromMillis = 0;
      reliefs.push({type: 'throttle', taskId: task.taskId, cpuMillis: 0});
    }
  }

  return {
    noteWorker(worker) {
      const {capacity} = worker;
      const cpuFull = worker.usedCpuMillis > capacity.cpuMillis;
      const memoryFull = worker.claimedMemoryMb > capacity.memoryMb;
      if (cpuFull) overCpu.add(worker);
      if (memoryFull) overMemory.add(worker);
      if (throttled.has(worker)) changed.add(worker);
    },
    forget(worker) {
      overCpu.delete(worker);
      overMemory.delete(worker);
      throttled.delete(worker);
      changed.delete(worker);
    },
    decide(now, due) {
      const reliefs: placer.PreemptionAction[] = [];
      for (const worker of changed) liftThrottles(worker, reliefs);
      for (const worker of overCpu) relieveCpu(worker, reliefs);
      for (const worker of overMemory) relieveMemory(worker, now, reliefs);
      changed.clear();
      overCpu.clear();
      overMemory.clear();
      for (const job of due) {
        if (reliefs.length >= WORKERS_PER_ROUND) break;
        makeRoom(job, now, reliefs);
      }
      return reliefs;
    },
  };
}

function victimsOn(
  worker: bookRecords.WorkerRecord,
  job: jobQueue.JobRecord,
  size: types.resources.Resources,
  now: number,
): bookRecords.HeldRecord[] | undefined {
  const forecast = roomForecast.createRoomForecast(worker);
  const victims: bookRecords.HeldRecord[] = [];
  const candidates: bookRecords.HeldRecord[] = [];
  for (const task of worker.tasks) {
    // Room that an earlier round asked for is meant for another task.
    if (movable.isBeingMoved(task, now)) return undefined;
    if (movable.isMovable(task, now)) candidates.push(task);
  }
  candidates.sort(
    (left, right) => movable.rankOf(left) - movable.rankOf(right),
  );
  for (const task of candidates) {
    if (forecast.fits(size)) break;
    if (
      movable.rankOf(task) >= movable.URGENCY_RANK[job.spec.urgency] &&
      job.tier > 0
    )
      break;
    victims.push(task);
    forecast.without(task);
  }
  const enough = forecast.fits(size) && victims.length > 0;
  return enough ? victims : undefined;
}

/** Each task moved costs one, a normal one as much as three overnight. */
function costOf(victims: readonly bookRecords.HeldRecord[]): number {
  return victims.reduce((sum, task) => sum + 1 + movable.rankOf(task) * 2, 0);
}

function overSize(task: bookRecords.HeldRecord): number {
  return task.usedCpuMillis - task.size.cpuMillis;
}
