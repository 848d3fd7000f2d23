/**
 * Finds workers for all tasks of a gang at once, in one rack if its tasks run
 * slower when they are spread.
 */
import * as speedFit from './speed_fit.js';
import type * as workerRegistry from './worker_registry.js';

/** A worker that may run tasks of the gang, and how many fit on it. */
export interface GangCandidate {
  readonly worker: workerRegistry.RegisteredWorker;
  readonly tasks: number;
  /** Speed of the worker; equally fast as the others if absent. */
  readonly speed?: number;
}

/** How the tasks of a gang are distributed. */
export interface GangLayout {
  readonly sameRack: boolean;
  /**
   * Whether each worker gets few tasks, so that its crash gives more evidence
   * of which task is at fault.
   */
  readonly spread: boolean;
  /** Speed from which on the gang meets its objective; 0 if any will do. */
  readonly neededSpeed?: number;
}

/**
 * Returns one worker for each task, or undefined if they do not all fit.
 * Workers of like speed come first, and among them those that fit the most
 * tasks, so that a gang uses few workers and leaves the others free.
 */
export function fitGang(
  candidates: readonly GangCandidate[],
  taskCount: number,
  {sameRack, spread, neededSpeed = 0}: GangLayout,
): workerRegistry.RegisteredWorker[] | undefined {
  // Fewer workers would tell less of which task is at fault.
  const place: Fill = spread
    ? fillEvenly
    : (some, count) => fillLikeSpeed(some, count, neededSpeed);
  if (!sameRack) return place(candidates, taskCount);
  const racks = new Map<string, GangCandidate[]>();
  for (const candidate of candidates) {
    const rack = candidate.worker.info.rack;
    racks.set(rack, [...(racks.get(rack) ?? []), candidate]);
  }
  for (const candidatesInRack of racks.values()) {
    const workers = place(candidatesInRack, taskCount);
    if (workers !== undefined) return workers;
  }
  return place(candidates, taskCount);
}

type Fill = (
  candidates: readonly GangCandidate[],
  taskCount: number,
) => workerRegistry.RegisteredWorker[] | undefined;

/**
 * Tries the workers of each speed by themselves, and then with those before,
 * until the gang fits.
 */
function fillLikeSpeed(
  candidates: readonly GangCandidate[],
  taskCount: number,
  neededSpeed: number,
): workerRegistry.RegisteredWorker[] | undefined {
  const speedOf = ({speed = 1}: GangCandidate) => speed;
  const groups = speedFit.groupBySpeed(candidates, speedOf, neededSpeed);
  let usable: readonly GangCandidate[] = [];
  for (const group of groups) {
    usable = usable.length === 0 ? group : [...usable, ...group];
    const workers =
      fillLargestFirst(group, taskCount) ?? fillLargestFirst(usable, taskCount);
    if (workers !== undefined) return workers;
  }
  return undefined;
}

function hasSlotsFor(
  candidates: readonly GangCandidate[],
  taskCount: number,
): boolean {
  return candidates.reduce((sum, one) => sum + one.tasks, 0) >= taskCount;
}

/** Distributes one task to each worker in turn. */
function fillEvenly(
  candidates: readonly GangCandidate[],
  taskCount: number,
): workerRegistry.RegisteredWorker[] | undefined {
  if (!hasSlotsFor(candidates, taskCount)) return undefined;
  const workers: workerRegistry.RegisteredWorker[] = [];
  for (let round = 0; workers.length < taskCount; round++) {
    for (const {worker, tasks} of candidates) {
      if (tasks > round && workers.length < taskCount) workers.push(worker);
    }
  }
  return workers;
}

function fillLargestFirst(
  candidates: readonly GangCandidate[],
  taskCount: number,
): workerRegistry.RegisteredWorker[] | undefined {
  if (!hasSlotsFor(candidates, taskCount)) return undefined;
  const workers: workerRegistry.RegisteredWorker[] = [];
  const largestFirst = [...candidates].sort((a, b) => b.tasks - a.tasks);
  for (const candidate of largestFirst) {
    const count = Math.min(candidate.tasks, taskCount - workers.length);
    for (let nth = 0; nth < count; nth++) workers.push(candidate.worker);
  }
  return workers;
}
