/**
 * What each worker of a cell has and what is booked on it. Room is booked when
 * a start is decided and given back only when the worker has told the end of
 * the run, or the run can't go on any more. So the sum of what a worker was
 * told never passes its capacity, also where the worker checks nothing.
 */
import * as types from '@gypsumwall/types';

/** A worker as the platform's list shows it. */
export interface WorkerInfo {
  /** One stay of a worker process. */
  readonly id: types.ids.WorkerId;
  readonly address: string;
  readonly domain: types.ids.FailureDomain;
  readonly pool: string;
  readonly capacity: types.resources.Resources;
  readonly labels: readonly string[];
  readonly rack: types.ids.RackId;
  /** Told to leave: nothing new may start on it. */
  readonly draining: boolean;
}

/** A worker and what is booked on it. */
export interface BookedWorker {
  info: WorkerInfo;
  /** Room left; negative where the capacity has shrunk below what runs. */
  free: types.resources.Resources;
  /** Whether it has answered under our fencing token, and lately. */
  isUsable: boolean;
  /** Tasks of each step that are booked here, by step run id. */
  readonly perStep: Map<string, number>;
}

/** The workers of a cell. */
export interface WorkerRegistry {
  readonly workers: ReadonlyMap<types.ids.WorkerId, BookedWorker>;
  /** Adds a worker or takes over what the list says of it now. */
  put(info: WorkerInfo): BookedWorker;
  remove(id: types.ids.WorkerId): void;
  reserve(
    id: types.ids.WorkerId,
    stepRun: string,
    size: types.resources.Resources,
  ): void;
  release(
    id: types.ids.WorkerId,
    stepRun: string,
    size: types.resources.Resources,
  ): void;
  /** Whether new tasks may be placed there. */
  setUsable(id: types.ids.WorkerId, usable: boolean): void;
  /** A worker can take work that it couldn't take before. */
  noteFreed(id: types.ids.WorkerId): void;
  /** Workers that were freed since the last call. */
  takeFreed(): ReadonlySet<types.ids.WorkerId>;
}

/** Creates an empty book. */
export function createWorkerRegistry(): WorkerRegistry {
  const workers = new Map<types.ids.WorkerId, BookedWorker>();
  let freed = new Set<types.ids.WorkerId>();

  function move(
    id: types.ids.WorkerId,
    stepRun: string,
    size: types.resources.Resources,
    sign: 1 | -1,
  ): void {
    const worker = workers.get(id);
    // A worker that left took its bookings with it.
    if (worker === undefined) return;
    worker.free = {
      cpuMillis: worker.free.cpuMillis - sign * size.cpuMillis,
      memoryMb: worker.free.memoryMb - sign * size.memoryMb,
      accelerators: worker.free.accelerators - sign * size.accelerators,
    };
    const count = (worker.perStep.get(stepRun) ?? 0) + sign;
    if (count > 0) worker.perStep.set(stepRun, count);
    else worker.perStep.delete(stepRun);
  }

  return {
    workers,
    put(info) {
      freed.add(info.id);
      const known = workers.get(info.id);
      if (known !== undefined) {
        const booked = types.resources.subtract(
          known.info.capacity,
          known.free,
        );
        known.info = info;
        known.free = types.resources.subtract(info.capacity, booked);
        return known;
      }
      const worker: BookedWorker = {
        info,
        free: info.capacity,
        isUsable: false,
        perStep: new Map(),
      };
      workers.set(info.id, worker);
      return worker;
    },
    remove: (id) => void workers.delete(id),
    reserve: (id, stepRun, size) => move(id, stepRun, size, 1),
    release(id, stepRun, size) {
      move(id, stepRun, size, -1);
      freed.add(id);
    },
    setUsable(id, usable) {
      const worker = workers.get(id);
      if (worker !== undefined) worker.isUsable = usable;
      freed.add(id);
    },
    noteFreed: (id) => void freed.add(id),
    takeFreed() {
      const taken = freed;
      freed = new Set();
      return taken;
    },
  };
}
