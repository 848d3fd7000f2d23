/**
 * Chooses the worker for one task: a handful of workers with room, scored by
 * how tightly the task would fill them, how even the rest would be, and, for
 * services, how many replicas the rack already has. A team's packing weight
 * moves both the place where the search starts and the score.
 */
import type * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';
import * as domainAllocations from './domain_allocations.js';
import type * as workerIndex from './worker_index.js';

const MAX_CANDIDATES = 6;
/**
 * Searches for a service's replica start at this many evenly spaced workers,
 * so that the candidates lie in distinct racks.
 */
const RACK_SEARCH_STARTS = 8;
const MAX_CANDIDATES_PER_START = 2;
/** A replica more in the rack outweighs every other term of the score. */
const RACK_WEIGHT = 10;
const IMBALANCE_WEIGHT = 0.5;

/** What is to be placed. */
export interface WorkerQuery {
  readonly need: types.resources.Resources;
  /** 0: emptiest worker; 1: fullest worker that still has room. */
  readonly packing: number;
  readonly avoid?: ReadonlySet<types.ids.WorkerId>;
  /** Replicas by rack, for services. */
  readonly racks?: ReadonlyMap<types.ids.RackId, number>;
  /** Workers whose reserved room may be used when there is no other. */
  readonly reservedFallback?: () => Iterable<allocationState.WorkerState>;
}

/** Picks a worker; undefined when none has room. */
export type WorkerPicker = (
  pick: WorkerQuery,
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
      found.push(...index.find({need, from, limit, skip}));
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
  let lowest = Infinity;
  for (const worker of found) {
    const score = scoreOf(query, worker);
    if (score >= lowest) continue;
    chosen = worker;
    lowest = score;
  }
  return chosen;
}

/** Lower is better. */
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
