/**
 * Finds workers for all tasks of a gang at once, in one rack if its tasks run
 * slower when they are spread.
 */
import type * as types from '@gypsumwall/types';
import * as speedFit from './speed_fit.js';
import type * as workerRegistry from './worker_registry.js';

/** A worker that may run tasks of the gang, and how many fit on it. */
export interface GangCandidate {
  readonly worker: workerRegistry.RegisteredWorker;
  readonly tasks: number;
}

/** How the tasks of a gang are distributed. */
export interface GangLayout {
  readonly sameRack: boolean;
  /**
   * Whether each worker gets few tasks, so that its crash gives more evidence
   * of which task is at fault.
   */
  readonly spread: boolean;
  /** Speeds of the workers; equal if absent. */
  readonly speedOf?: (worker: types.ids.WorkerId) => number;
  /**
   * Speed from which on the gang meets its objective, 0 if any will do. The
   * slowest workers that have it are used; the fastest ones if absent.
   */
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
  layout: GangLayout,
): workerRegistry.RegisteredWorker[] | undefined {
  if (slotsOf(candidates) < taskCount) return undefined;
  const ordered = orderFor(candidates, layout);
  const inRack = layout.sameRack
    ? fitBestRack(ordered, taskCount, layout)
    : undefined;
  return inRack ?? fill(ordered, taskCount, layout);
}

/** The same with all workers in one rack. */
export function fitInRack(
  candidates: readonly GangCandidate[],
  taskCount: number,
  layout: GangLayout,
): workerRegistry.RegisteredWorker[] | undefined {
  if (slotsOf(candidates) < taskCount) return undefined;
  return fitBestRack(orderFor(candidates, layout), taskCount, layout);
}

/** The workers chosen in a rack. */
interface RackFit {
  readonly workers: workerRegistry.RegisteredWorker[];
  /** Cost of the speed of the slowest of them, which the gang runs at. */
  readonly speedCost: number;
  readonly workerCount: number;
  /** Number of further tasks that fit in the rack. */
  readonly left: number;
}

/**
 * Chooses the rack whose speed suits the gang, then that with the fewest
 * workers used, then that with the least capacity left, so that the racks with
 * the most free capacity stay free for wider gangs.
 */
function fitBestRack(
  ordered: readonly GangCandidate[],
  taskCount: number,
  layout: GangLayout,
): workerRegistry.RegisteredWorker[] | undefined {
  const racks = new Map<string, GangCandidate[]>();
  for (const candidate of ordered) {
    const {rack} = candidate.worker.info;
    const inRack = racks.get(rack);
    if (inRack === undefined) racks.set(rack, [candidate]);
    else inRack.push(candidate);
  }
  let best: RackFit | undefined;
  for (const inRack of racks.values()) {
    const workers = fill(inRack, taskCount, layout);
    if (workers === undefined) continue;
    const chosen = new Set(workers);
    const fit = {
      workers,
      speedCost: costOfSpeed(slowestOf(chosen, layout), layout),
      workerCount: chosen.size,
      left: slotsOf(inRack) - taskCount,
    };
    if (best === undefined || compareFits(fit, best) < 0) best = fit;
  }
  return best?.workers;
}

function slowestOf(
  workers: Iterable<workerRegistry.RegisteredWorker>,
  {speedOf}: GangLayout,
): number {
  if (speedOf === undefined) return 1;
  let slowest = Infinity;
  for (const {info} of workers) slowest = Math.min(slowest, speedOf(info.id));
  return slowest;
}

function costOfSpeed(speed: number, {neededSpeed}: GangLayout): number {
  const rounded = speedFit.speedClass(speed);
  return neededSpeed === undefined
    ? -rounded
    : speedFit.speedCost(rounded, neededSpeed);
}

function compareFits(a: RackFit, b: RackFit): number {
  return (
    a.speedCost - b.speedCost ||
    a.workerCount - b.workerCount ||
    a.left - b.left
  );
}

function slotsOf(candidates: readonly GangCandidate[]): number {
  return candidates.reduce((sum, one) => sum + one.tasks, 0);
}

/** Orders the candidates once for all sets of them that are tried. */
function orderFor(
  candidates: readonly GangCandidate[],
  {spread}: GangLayout,
): readonly GangCandidate[] {
  if (spread) return candidates;
  return [...candidates].sort((a, b) => b.tasks - a.tasks);
}

/**
 * Fills the workers of one speed if the gang fits there, because its members
 * wait for the slowest one; otherwise those of several speeds. A gang that is
 * spread uses all, since fewer workers would tell less of the task at fault.
 */
function fill(
  ordered: readonly GangCandidate[],
  taskCount: number,
  layout: GangLayout,
): workerRegistry.RegisteredWorker[] | undefined {
  if (slotsOf(ordered) < taskCount) return undefined;
  if (layout.spread) return fillEvenly(ordered, taskCount);
  let usable: readonly GangCandidate[] = [];
  for (const group of groupsOf(ordered, layout)) {
    usable = usable.length === 0 ? group : [...usable, ...group];
    const fitting = [group, usable].find((one) => slotsOf(one) >= taskCount);
    if (fitting !== undefined) return fillInOrder(fitting, taskCount);
  }
  return undefined;
}

/** Groups of like speed, the one that suits best first. */
function groupsOf(
  ordered: readonly GangCandidate[],
  {speedOf, neededSpeed = 0}: GangLayout,
): readonly (readonly GangCandidate[])[] {
  if (speedOf === undefined) return [ordered];
  const speedOfCandidate = ({worker}: GangCandidate) => speedOf(worker.info.id);
  return speedFit.groupBySpeed(ordered, speedOfCandidate, neededSpeed);
}

/** Distributes one task to each worker in turn. */
function fillEvenly(
  candidates: readonly GangCandidate[],
  taskCount: number,
): workerRegistry.RegisteredWorker[] {
  const workers: workerRegistry.RegisteredWorker[] = [];
  for (let round = 0; workers.length < taskCount; round++) {
    for (const {worker, tasks} of candidates) {
      if (tasks > round && workers.length < taskCount) workers.push(worker);
    }
  }
  return workers;
}

function fillInOrder(
  candidates: readonly GangCandidate[],
  taskCount: number,
): workerRegistry.RegisteredWorker[] {
  const workers: workerRegistry.RegisteredWorker[] = [];
  for (const candidate of candidates) {
    const count = Math.min(candidate.tasks, taskCount - workers.length);
    for (let nth = 0; nth < count; nth++) workers.push(candidate.worker);
  }
  return workers;
}
