/**
 * Finds workers for all tasks of a gang at once, in one rack if its tasks run
 * slower when they are spread.
 */
import type * as types from '@gypsumwall/types';
import type * as workerRegistry from './worker_registry.js';

/** A worker that may run tasks of the gang, and how many fit on it. */
export interface WorkerSlots {
  readonly worker: workerRegistry.RegisteredWorker;
  readonly tasks: number;
}

/** Returns how many tasks of a size fit into the free resources. */
export function tasksThatFit(
  size: types.resources.Resources,
  room: types.resources.Resources,
): number {
  return Math.min(
    fittingCount(room.cpuMillis, size.cpuMillis),
    fittingCount(room.memoryMb, size.memoryMb),
    fittingCount(room.accelerators, size.accelerators),
  );
}

function fittingCount(room: number, need: number): number {
  if (need === 0) return room < 0 ? 0 : Infinity;
  return Math.max(0, Math.floor(room / need));
}

/** How the tasks of a gang are distributed. */
export interface GangLayout {
  readonly sameRack: boolean;
  /**
   * Whether each worker gets few tasks, so that its crash gives more evidence
   * of which task is at fault.
   */
  readonly spread: boolean;
}

/**
 * Returns one worker for each task, or undefined if they do not all fit.
 * Workers that fit the most tasks come first, so that a gang uses few workers
 * and leaves the others free.
 */
export function fitGang(
  slots: readonly WorkerSlots[],
  taskCount: number,
  {sameRack, spread}: GangLayout,
): workerRegistry.RegisteredWorker[] | undefined {
  const place = spread ? fillEvenly : fillLargestFirst;
  if (!sameRack) return place(slots, taskCount);
  const racks = new Map<string, WorkerSlots[]>();
  for (const room of slots) {
    const rack = room.worker.info.rack;
    racks.set(rack, [...(racks.get(rack) ?? []), room]);
  }
  for (const inRack of racks.values()) {
    const workers = place(inRack, taskCount);
    if (workers !== undefined) return workers;
  }
  return place(slots, taskCount);
}

function hasSlotsFor(
  slots: readonly WorkerSlots[],
  taskCount: number,
): boolean {
  return slots.reduce((sum, room) => sum + room.tasks, 0) >= taskCount;
}

/** Distributes one task to each worker in turn. */
function fillEvenly(
  slots: readonly WorkerSlots[],
  taskCount: number,
): workerRegistry.RegisteredWorker[] | undefined {
  if (!hasSlotsFor(slots, taskCount)) return undefined;
  const workers: workerRegistry.RegisteredWorker[] = [];
  for (let round = 0; workers.length < taskCount; round++) {
    for (const {worker, tasks} of slots) {
      if (tasks > round && workers.length < taskCount) workers.push(worker);
    }
  }
  return workers;
}

function fillLargestFirst(
  slots: readonly WorkerSlots[],
  taskCount: number,
): workerRegistry.RegisteredWorker[] | undefined {
  if (!hasSlotsFor(slots, taskCount)) return undefined;
  const workers: workerRegistry.RegisteredWorker[] = [];
  const largestFirst = [...slots].sort((a, b) => b.tasks - a.tasks);
  for (const room of largestFirst) {
    const count = Math.min(room.tasks, taskCount - workers.length);
    for (let nth = 0; nth < count; nth++) workers.push(room.worker);
  }
  return workers;
}
