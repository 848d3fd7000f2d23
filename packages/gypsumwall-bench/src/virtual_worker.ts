/**
 * Simulates the processors of a worker. If the running tasks need more
 * processors than the worker has, all of them are slowed by the same factor.
 * Nothing else of a worker is simulated, because the benchmark exercises only
 * the placement code.
 */
import type * as types from '@gypsumwall/types';
import type * as workload from './workload.js';

/** A running task. */
export interface VirtualTask {
  readonly taskId: types.ids.TaskId;
  readonly actual: workload.ActualTask;
  readonly size: types.resources.Resources;
  readonly startedAt: number;
  /** Remaining run time at full speed. */
  remainingMs: number;
  /**
   * Processor limit of the current throttle; 0 if the task is not throttled.
   */
  throttleMillis: number;
}

/** A simulated worker. */
export interface VirtualWorker {
  readonly tasks: ReadonlyMap<types.ids.TaskId, VirtualTask>;
  /**
   * Increases with each change; an end time computed for an older version is
   * invalid.
   */
  version(): number;
  start(task: VirtualTask, now: number): void;
  stop(taskId: types.ids.TaskId, now: number): VirtualTask | undefined;
  throttle(taskId: types.ids.TaskId, cpuMillis: number, now: number): void;
  /**
   * Time at which the next task ends, unless a task is started, stopped or
   * throttled first.
   */
  nextEndAt(now: number): number;
  /** Returns a task that has finished, if there is one. */
  findEndedTask(now: number): VirtualTask | undefined;
  /** Processor use of all tasks. */
  usedMillis(): number;
  /** Whether the tasks need more processors than the worker has. */
  isCrowded(): boolean;
  usedMemoryMb(): number;
  /** Processor use of one task. */
  usedMillisOf(task: VirtualTask): number;
}

const DONE_TOLERANCE_MS = 1e-6;
/**
 * Ratio of demand to capacity above which a worker counts as crowded; a
 * slowdown of 1% is ignored.
 */
const MIN_CROWDED_RATIO = 1.01;

/** Creates an idle worker. */
export function createVirtualWorker(
  capacity: types.resources.Resources,
): VirtualWorker {
  const tasks = new Map<types.ids.TaskId, VirtualTask>();
  let demandMillis = 0;
  let memoryMb = 0;
  let lastAt = 0;
  let version = 0;

  /** Processors that the task would use if it ran alone, with its throttle. */
  function demandOf(task: VirtualTask): number {
    const {cpuMillis} = task.actual;
    if (task.throttleMillis === 0) return cpuMillis;
    return Math.min(cpuMillis, task.throttleMillis);
  }

  function sharingFactor(): number {
    return Math.min(1, capacity.cpuMillis / Math.max(1, demandMillis));
  }

  function speedOf(task: VirtualTask): number {
    return (demandOf(task) / task.actual.cpuMillis) * sharingFactor();
  }

  function advance(now: number): void {
    const elapsedMs = now - lastAt;
    lastAt = now;
    if (elapsedMs <= 0) return;
    for (const task of tasks.values())
      task.remainingMs -= elapsedMs * speedOf(task);
  }

  return {
    tasks,
    version: () => version,
    start(task, now) {
      advance(now);
      version += 1;
      tasks.set(task.taskId, task);
      demandMillis += demandOf(task);
      memoryMb += task.actual.memoryMb;
    },
    stop(taskId, now) {
      const task = tasks.get(taskId);
      if (task === undefined) return undefined;
      advance(now);
      version += 1;
      tasks.delete(taskId);
      demandMillis -= demandOf(task);
      memoryMb -= task.actual.memoryMb;
      return task;
    },
    throttle(taskId, cpuMillis, now) {
      const task = tasks.get(taskId);
      if (task === undefined) return;
      advance(now);
      version += 1;
      demandMillis -= demandOf(task);
      task.throttleMillis = cpuMillis;
      demandMillis += demandOf(task);
    },
    nextEndAt(now) {
      advance(now);
      let soonest = Infinity;
      for (const task of tasks.values()) {
        soonest = Math.min(soonest, task.remainingMs / speedOf(task));
      }
      return now + Math.max(0, soonest);
    },
    findEndedTask(now) {
      advance(now);
      for (const task of tasks.values()) {
        if (task.remainingMs <= DONE_TOLERANCE_MS) return task;
      }
      return undefined;
    },
    isCrowded: () => demandMillis > capacity.cpuMillis * MIN_CROWDED_RATIO,
    usedMillis: () => Math.min(capacity.cpuMillis, demandMillis),
    usedMemoryMb: () => memoryMb,
    usedMillisOf: (task) => demandOf(task) * sharingFactor(),
  };
}
