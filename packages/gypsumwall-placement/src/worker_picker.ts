/**
 * Chooses the worker for a task. A few workers on which it fits are scored by
 * how full they would be, by how balanced their remaining CPU and memory would
 * be and, for services, by the number of replicas in the rack. The team's
 * packing weight affects both where the search starts and the score.
 */
import * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';
import * as domainAllocations from './domain_allocations.js';
import type * as workerIndex from './worker_index.js';

const MAX_CANDIDATES = 6;
/**
 * A search for a service's replica starts at this many evenly spaced workers,
 * so that the candidates are in different racks.
 */
const RACK_SEARCH_STARTS = 8;
const MAX_CANDIDATES_PER_START = 2;
/** One more replica in the rack outweighs all other terms of the score. */
const RACK_WEIGHT = 10;
const IMBALANCE_WEIGHT = 0.5;

/** The needs of the task to place. */
export interface WorkerQuery {
  readonly need: types.resources.Resources;
  /**
   * 0 prefers the emptiest worker, 1 the fullest one on which the task fits.
   */
  readonly packing: number;
  readonly avoid?: ReadonlySet<types.ids.WorkerId>;
  /** For services, the number of replicas in each rack. */
  readonly racks?: ReadonlyMap<types.ids.RackId, number>;
  /** Workers whose reserved resources may be used if no other worker fits. */
  readonly reservedFallback?: () => Iterable<allocationState.WorkerState>;
}

/** Returns a worker; undefined if the task fits on none. */
export type WorkerPicker = (
  query: WorkerQuery,
) => allocationState.WorkerState | undefined;

/** Creates a picker over an index. */
export function createWorkerPicker(
  index: workerIndex.WorkerIndex,
  random: types.random.Random,
): WorkerPicker {
  function findCandidates(query: WorkerQuery): allocationState.WorkerState[] {
    const {need, avoid} = query;
    const skip =
      avoid === undefined
        ? undefined
        : (worker: allocationState.WorkerState) => avoid.has(worker.id);
    if (query.racks === undefined) {
      const from = (1 - query.packing) * random.next();
      return index.find({need, from, limit: MAX_CANDIDATES, skip});
    }
    const found: allocationState.WorkerState[] = [];
    const offset = random.next();
    for (let start = 0; start < RACK_SEARCH_STARTS; start += 1) {
      const from = ((start + offset) / RACK_SEARCH_STARTS) % 1;
      const limit = MAX_CANDIDATES_PER_START;
      types.lists.append(found, index.find({need, from, limit, skip}));
    }
    return found;
  }

  function findReserved(query: WorkerQuery): allocationState.WorkerState[] {
    const found: allocationState.WorkerState[] = [];
    for (const worker of query.reservedFallback?.() ?? []) {
      if (!worker.isSchedulable || worker.isQuarantined) continue;
      if (query.avoid?.has(worker.id) === true) continue;
      if (domainAllocations.fitsWithReserved(query.need, worker))
        found.push(worker);
    }
    return found;
  }

  return (query) => {
    const found = findCandidates(query);
    return selectBest(query, found.length > 0 ? found : findReserved(query));
  };
}

function selectBest(
  query: WorkerQuery,
  found: readonly allocationState.WorkerState[],
): allocationState.WorkerState | undefined {
  let chosen: allocationState.WorkerState | undefined;
  let lowestScore = Infinity;
  for (const worker of found) {
    const score = scoreOf(query, worker);
    if (score >= lowestScore) continue;
    chosen = worker;
    lowestScore = score;
  }
  return chosen;
}

/** A lower score is better. */
function scoreOf(
  query: WorkerQuery,
  worker: allocationState.WorkerState,
): number {
  const {free, capacity} = worker;
  const {need, packing} = query;
  const cpuLeft = (free.cpuMillis - need.cpuMillis) / capacity.cpuMillis;
  const memoryLeft = (free.memoryMb - need.memoryMb) / capacity.memoryMb;
  const left = (cpuLeft + memoryLeft) / 2;
  const tightness = packing * left + (1 - packing) * (1 - left);
  const imbalance = Math.abs(cpuLeft - memoryLeft) * IMBALANCE_WEIGHT;
  const replicas = query.racks?.get(worker.rack) ?? 0;
  return tightness + imbalance + replicas * RACK_WEIGHT;
}
