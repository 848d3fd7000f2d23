/**
 * Finds workers for all tasks of a gang at once, in one rack where its tasks
 * run slower when they are spread.
 */
import type * as types from '@gypsumwall/types';
import type * as workerRegistry from './worker_registry.js';

/** A worker that may run the tasks, and how many it has room for. */
export interface WorkerSlots {
  readonly worker: workerRegistry.RegisteredWorker;
  readonly tasks: number;
}

/** How many tasks of a size fit into some room. */
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

/** How a gang's tasks are laid out. */
export interface GangLayout {
  readonly sameRack: boolean;
  /** Few on each worker, so that its crash tells more of which is at fault. */
  readonly spread: boolean;
}

/**
 * One worker for each task, or undefined while there is no room for all.
 * Workers that take the most tasks come first, so that a gang sits on few
 * workers and leaves the others whole.
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

/** One task for each worker, round after round. */
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
