/**
 * Chooses the worker for one task: a handful of workers with room, scored by
 * how tightly the task would fill them, how even the rest would be, and, for
 * services, how many replicas the rack already has. A team's packing weight
 * moves both the place where the search starts and the score.
 */
import type * as types from '@gypsumwall/types';
import type * as bookRecords from './book_records.js';
import * as books from './books.js';
import type * as workerIndex from './worker_index.js';

const CANDIDATES = 6;
/**
 * Searches for a service's replica start at this many evenly spaced workers,
 * so that the candidates lie in distinct racks.
 */
const SPREAD_STARTS = 8;
const CANDIDATES_PER_START = 2;
/** A replica more in the rack outweighs every other term of the score. */
const RACK_WEIGHT = 10;
const IMBALANCE_WEIGHT = 0.5;

/** What is to be placed. */
export interface Pick {
  readonly need: types.resources.Resources;
  /** 0: emptiest worker; 1: fullest worker that still has room. */
  readonly packing: number;
  readonly avoid?: ReadonlySet<types.ids.WorkerId>;
  /** Replicas by rack, for services. */
  readonly racks?: ReadonlyMap<types.ids.RackId, number>;
  /** Workers whose reserved room may be used when there is no other. */
  readonly extra?: () => Iterable<bookRecords.WorkerRecord>;
}

/** Picks a worker; undefined when none has room. */
export type WorkerPicker = (pick: Pick) => bookRecords.WorkerRecord | undefined;

/** Creates a picker over an index. */
export function createWorkerPicker(
  index: workerIndex.WorkerIndex,
  random: types.random.Random,
): WorkerPicker {
  function candidates(pick: Pick): bookRecords.WorkerRecord[] {
    const {need, avoid} = pick;
    const skip =
      avoid === undefined
        ? undefined
        : (worker: bookRecords.WorkerRecord) => avoid.has(worker.id);
    if (pick.racks === undefined) {
      const from = (1 - pick.packing) * random.next();
      return index.find({need, from, limit: CANDIDATES, skip});
    }
    const found: bookRecords.WorkerRecord[] = [];
    const offset = random.next();
    for (let start = 0; start < SPREAD_STARTS; start += 1) {
      const from = ((start + offset) / SPREAD_STARTS) % 1;
      const limit = CANDIDATES_PER_START;
      found.push(...index.find({need, from, limit, skip}));
    }
    return found;
  }

  function extras(pick: Pick): bookRecords.WorkerRecord[] {
    const found: bookRecords.WorkerRecord[] = [];
    for (const worker of pick.extra?.() ?? []) {
      if (!worker.open || worker.quarantined) continue;
      if (pick.avoid?.has(worker.id) === true) continue;
      if (books.fitsReserved(pick.need, worker)) found.push(worker);
    }
    return found;
  }

  return (pick) => {
    const found = candidates(pick);
    return best(pick, found.length > 0 ? found : extras(pick));
  };
}

function best(
  pick: Pick,
  found: readonly bookRecords.WorkerRecord[],
): bookRecords.WorkerRecord | undefined {
  let chosen: bookRecords.WorkerRecord | undefined;
  let lowest = Infinity;
  for (const worker of found) {
    const score = scoreOf(pick, worker);
    if (score >= lowest) continue;
    chosen = worker;
    lowest = score;
  }
  return chosen;
}

/** Lower is better. */
function scoreOf(pick: Pick, worker: bookRecords.WorkerRecord): number {
  const {room, capacity} = worker;
  const {need, packing} = pick;
  const cpuLeft = (room.cpuMillis - need.cpuMillis) / capacity.cpuMillis;
  const memoryLeft = (room.memoryMb - need.memoryMb) / capacity.memoryMb;
  const left = (cpuLeft + memoryLeft) / 2;
  const tightness = packing * left + (1 - packing) * (1 - left);
  const imbalance = Math.abs(cpuLeft - memoryLeft) * IMBALANCE_WEIGHT;
  const replicas = pick.racks?.get(worker.rack) ?? 0;
  return tightness + imbalance + replicas * RACK_WEIGHT;
}
