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
  readonly truth: workload.Truth;
  readonly size: types.resources.Resources;
  readonly startedAt: number;
  /** Run time left at full speed. */
  leftMs: number;
  /** A throttle in force; 0 for none. */
  limitMillis: number;
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
  nextEnd(now: number): number;
  /** A task that has run to its end. */
  ended(now: number): VirtualTask | undefined;
  /** Processors in use. */
  usedMillis(): number;
  /** Whether tasks want more processors than there are. */
  isCrowded(): boolean;
  usedMemoryMb(): number;
  /** Processors in use by one task. */
  usedBy(task: VirtualTask): number;
}

const DONE_BELOW_MS = 1e-6;
/** Tasks that are slowed by a hundredth don't count as crowded. */
const CROWDED_FROM = 1.01;

/** Creates an idle worker. */
export function createVirtualWorker(
  capacity: types.resources.Resources,
): VirtualWorker {
  const tasks = new Map<types.ids.TaskId, VirtualTask>();
  let wantedMillis = 0;
  let memoryMb = 0;
  let lastAt = 0;
  let version = 0;

  /** What the task may use, before others crowd it. */
  function wanted(task: VirtualTask): number {
    const {cpuMillis} = task.truth;
    if (task.limitMillis === 0) return cpuMillis;
    return Math.min(cpuMillis, task.limitMillis);
  }

  function crowding(): number {
    return Math.min(1, capacity.cpuMillis / Math.max(1, wantedMillis));
  }

  function speed(task: VirtualTask): number {
    return (wanted(task) / task.truth.cpuMillis) * crowding();
  }

  function advance(now: number): void {
    const passedMs = now - lastAt;
    lastAt = now;
    if (passedMs <= 0) return;
    for (const task of tasks.values()) task.leftMs -= passedMs * speed(task);
  }

  return {
    tasks,
    version: () => version,
    start(task, now) {
      advance(now);
      version += 1;
      tasks.set(task.taskId, task);
      wantedMillis += wanted(task);
      memoryMb += task.truth.memoryMb;
    },
    stop(taskId, now) {
      const task = tasks.get(taskId);
      if (task === undefined) return undefined;
      advance(now);
      version += 1;
      tasks.delete(taskId);
      wantedMillis -= wanted(task);
      memoryMb -= task.truth.memoryMb;
      return task;
    },
    throttle(taskId, cpuMillis, now) {
      const task = tasks.get(taskId);
      if (task === undefined) return;
      advance(now);
      version += 1;
      wantedMillis -= wanted(task);
      task.limitMillis = cpuMillis;
      wantedMillis += wanted(task);
    },
    nextEnd(now) {
      advance(now);
      let soonest = Infinity;
      for (const task of tasks.values()) {
        soonest = Math.min(soonest, task.leftMs / speed(task));
      }
      return now + Math.max(0, soonest);
    },
    ended(now) {
      advance(now);
      for (const task of tasks.values()) {
        if (task.leftMs <= DONE_BELOW_MS) return task;
      }
      return undefined;
    },
    isCrowded: () => wantedMillis > capacity.cpuMillis * CROWDED_FROM,
    usedMillis: () => Math.min(capacity.cpuMillis, wantedMillis),
    usedMemoryMb: () => memoryMb,
    usedBy: (task) => wanted(task) * crowding(),
  };
}
