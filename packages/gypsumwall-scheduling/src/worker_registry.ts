/**
 * The workers of a cell and the resources reserved on them. Resources are
 * reserved when a start is decided and released only when the worker has
 * reported the end of the attempt, or when the attempt certainly cannot run any
 * more. The sum of the started tasks therefore never exceeds the capacity of a
 * worker, even if the worker checks nothing.
 */
import * as organisations from '@gypsumwall/organisations';
import * as types from '@gypsumwall/types';

/** A worker as listed by the platform. */
export interface WorkerInfo {
  readonly id: types.ids.WorkerId;
  /**
   * Start of the incarnation that has the id now, in milliseconds since 1970;
   * undefined if the worker or the record doesn't say.
   */
  readonly bornMs?: number;
  readonly address: string;
  readonly domain: types.ids.FailureDomain;
  readonly pool: string;
  readonly capacity: types.resources.Resources;
  readonly labels: readonly string[];
  readonly rack: types.ids.RackId;
  /** Whether it was told to leave; no new task may start on it. */
  readonly draining: boolean;
}

/** A worker and its reservations. */
export interface RegisteredWorker {
  info: WorkerInfo;
  /** Free resources; negative where the capacity has shrunk below what runs. */
  free: types.resources.Resources;
  /**
   * Whether it has answered recently under the fencing token of this holder.
   */
  isUsable: boolean;
  /**
   * Whether its list entry is recent. The capacity in an older one may have
   * shrunk since.
   */
  isCurrent: boolean;
  /** Number of tasks reserved here, by step run id. */
  readonly tasksByStep: Map<string, number>;
}

/** Resources reserved for an attempt. */
export interface Reservation {
  readonly stepRunId: string;
  /** Whose quota it counts against; absent if there is no organisation. */
  readonly organisation?: types.ids.OrganisationId;
  readonly size: types.resources.Resources;
}

/** The workers of a cell. */
export interface WorkerRegistry {
  /** What the reservations of each organisation add up to. */
  readonly quotas: organisations.quotaLedger.QuotaLedger;
  readonly workers: ReadonlyMap<types.ids.WorkerId, RegisteredWorker>;
  /** Adds a worker or updates it from the list. */
  put(info: WorkerInfo): RegisteredWorker;
  remove(id: types.ids.WorkerId): void;
  reserve(id: types.ids.WorkerId, reservation: Reservation): void;
  release(id: types.ids.WorkerId, reservation: Reservation): void;
  /** Sets whether new tasks may be placed on a worker. */
  setUsable(id: types.ids.WorkerId, usable: boolean): void;
  /** Sets whether the list entry of a worker is recent. */
  setCurrent(id: types.ids.WorkerId, current: boolean): void;
  /** Marks that a worker may accept tasks that it could not accept before. */
  markFreed(id: types.ids.WorkerId): void;
  /** Returns the workers marked as freed since the last call. */
  takeFreed(): ReadonlySet<types.ids.WorkerId>;
}

/** Whether new tasks may be placed on a worker. */
export function acceptsTasks({
  info,
  isUsable,
  isCurrent,
}: RegisteredWorker): boolean {
  return isUsable && isCurrent && !info.draining;
}

/** Creates a registry without workers. */
export function createWorkerRegistry(): WorkerRegistry {
  const quotas = organisations.quotaLedger.createQuotaLedger();
  const workers = new Map<types.ids.WorkerId, RegisteredWorker>();
  let freed = new Set<types.ids.WorkerId>();

  function adjust(
    id: types.ids.WorkerId,
    {stepRunId, size}: Reservation,
    sign: 1 | -1,
  ): void {
    const worker = workers.get(id);
    // The reservations of a removed worker were removed with it.
    if (worker === undefined) return;
    worker.free = {
      cpuMillis: worker.free.cpuMillis - sign * size.cpuMillis,
      memoryMb: worker.free.memoryMb - sign * size.memoryMb,
      accelerators: worker.free.accelerators - sign * size.accelerators,
    };
    const count = (worker.tasksByStep.get(stepRunId) ?? 0) + sign;
    if (count > 0) worker.tasksByStep.set(stepRunId, count);
    else worker.tasksByStep.delete(stepRunId);
  }

  return {
    quotas,
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
      const worker: RegisteredWorker = {
        info,
        free: info.capacity,
        isUsable: false,
        isCurrent: true,
        tasksByStep: new Map(),
      };
      workers.set(info.id, worker);
      return worker;
    },
    remove: (id) => void workers.delete(id),
    reserve(id, reservation) {
      adjust(id, reservation, 1);
      quotas.allocate(reservation.organisation, reservation.size);
    },
    release(id, reservation) {
      adjust(id, reservation, -1);
      quotas.release(reservation.organisation, reservation.size);
      freed.add(id);
    },
    setUsable(id, usable) {
      const worker = workers.get(id);
      if (worker !== undefined) worker.isUsable = usable;
      freed.add(id);
    },
    setCurrent(id, current) {
      const worker = workers.get(id);
      if (worker !== undefined) worker.isCurrent = current;
      freed.add(id);
    },
    markFreed: (id) => void freed.add(id),
    takeFreed() {
      const taken = freed;
      freed = new Set();
      return taken;
    },
  };
}
