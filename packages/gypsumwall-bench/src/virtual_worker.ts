/**
 * A fake of a worker's processors: tasks that together want more than there
 * is get equal shares of it and take longer. Nothing else of a worker is
 * here; the bench drives the placement code alone.
 */
import type * as types from '@gypsumwall/types';
import type * as workload from './workload.js';

/** A running task. */
export interface VirtualTask {
  readonly taskId: types.ids.TaskId;
  readonly actual: workload.ActualTask;
  readonly size: types.resources.Resources;
  readonly startedAt: number;
  /** Run time left at full speed. */
  remainingMs: number;
  /** A throttle in force; 0 for none. */
  throttleMillis: number;
}

/** The fake worker. */
export interface VirtualWorker {
  readonly tasks: ReadonlyMap<types.ids.TaskId, VirtualTask>;
  /** Counts up with each change; an end computed before is void. */
  version(): number;
  start(task: VirtualTask, now: number): void;
  stop(taskId: types.ids.TaskId, now: number): VirtualTask | undefined;
  throttle(taskId: types.ids.TaskId, cpuMillis: number, now: number): void;
  /** When the next task ends, if nothing changes before. */
  nextEndAt(now: number): number;
  /** A task that has run to its end. */
  findEndedTask(now: number): VirtualTask | undefined;
  /** Processors in use. */
  usedMillis(): number;
  /** Whether tasks want more processors than there are. */
  isCrowded(): boolean;
  usedMemoryMb(): number;
  /** Processors in use by one task. */
  usedMillisOf(task: VirtualTask): number;
}

const DONE_TOLERANCE_MS = 1e-6;
/** Tasks that are slowed by a hundredth don't count as crowded. */
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

  /** What the task may use, before others crowd it. */
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
