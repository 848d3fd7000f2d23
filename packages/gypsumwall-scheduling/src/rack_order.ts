/**
 * Orders workers by racks for steps that run slower in some places than in
 * others, so that advice and reservations serve a near place first.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as nearPlace from './near_place.js';
import * as stepNeeds from './step_needs.js';
import type * as workerRegistry from './worker_registry.js';

/** Number of racks that are searched for a reservation. */
const MAX_RACKS_TRIED = 2;

/** A worker that the adviser may be asked about. */
export interface RackCandidate {
  readonly rack: types.ids.RackId;
  /** Number of tasks of the step that fit now. */
  readonly tasks: number;
}

/**
 * Orders sorted candidates by rack: that of the step's data first unless it is
 * full, and for a gang whole racks by the number of tasks that fit there,
 * counted over all candidates. The order within a rack stays.
 */
export function orderByRack<Candidate extends RackCandidate>(
  stepRun: activeJob.StepRun,
  sorted: readonly Candidate[],
  all: readonly RackCandidate[],
): readonly Candidate[] {
  const {preferredRack, sameRack} = stepRun.request;
  const byRack = new Map<types.ids.RackId | undefined, Candidate[]>();
  for (const candidate of sorted) {
    const {rack} = candidate;
    // Other racks than that of the data are alike.
    const key = sameRack || rack === preferredRack ? rack : undefined;
    const inRack = byRack.get(key);
    if (inRack === undefined) byRack.set(key, [candidate]);
    else inRack.push(candidate);
  }
  if (byRack.size <= 1) return sorted;
  const rackTasks = new Map<types.ids.RackId | undefined, number>();
  if (sameRack) {
    for (const {rack, tasks} of all)
      rackTasks.set(rack, (rackTasks.get(rack) ?? 0) + tasks);
  }
  // Approvals in a full rack are of use only to a step that waits for it.
  const hasNearRoom = all.some(
    ({rack, tasks}) => rack === preferredRack && tasks > 0,
  );
  if (preferredRack !== undefined && hasNearRoom)
    rackTasks.set(types.ids.brand<types.ids.RackId>(preferredRack), Infinity);
  const waitedFor = stepRun.nearWait?.rack;
  if (waitedFor !== undefined) rackTasks.set(waitedFor, Infinity);
  const tasksIn = (rack: types.ids.RackId | undefined) =>
    rackTasks.get(rack) ?? 0;
  return [...byRack]
    .sort(([a], [b]) => compareDown(tasksIn(a), tasksIn(b)))
    .flatMap(([, inRack]) => inRack);
}

/**
 * Groups sorted workers into the racks that are near for a gang: the rack that
 * it waits for first, then those in which most of its tasks fit now.
 */
export function nearRacks(
  stepRun: activeJob.StepRun,
  sorted: readonly workerRegistry.RegisteredWorker[],
): workerRegistry.RegisteredWorker[][] {
  const size = stepNeeds.reservedSize(stepRun);
  const racks = new Map<
    types.ids.RackId,
    {workers: workerRegistry.RegisteredWorker[]; tasks: number}
  >();
  for (const worker of sorted) {
    if (nearPlace.isFarFromData(stepRun.request, worker)) continue;
    const {rack} = worker.info;
    const inRack = racks.get(rack) ?? {workers: [], tasks: 0};
    inRack.workers.push(worker);
    inRack.tasks += nearPlace.isWaitedFor(stepRun, rack)
      ? Infinity
      : types.resources.tasksThatFit(size, worker.free);
    racks.set(rack, inRack);
  }
  return [...racks.values()]
    .sort((a, b) => compareDown(a.tasks, b.tasks))
    .slice(0, MAX_RACKS_TRIED)
    .map(({workers}) => workers);
}

/** Also for infinite numbers. */
function compareDown(left: number, right: number): number {
  if (left === right) return 0;
  return left > right ? -1 : 1;
}
