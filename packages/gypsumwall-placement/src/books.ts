/**
 * The books of a failure domain: what every worker has, which task holds
 * which room, and what each team holds. Room is booked at the moment of
 * decision, so the sum of what was told to a worker never passes its
 * capacity, whatever the worker reports and however late.
 */
import * as types from '@gypsumwall/types';
import type * as placer from './placer.js';

/** An amount that is updated in place. */
export interface MutableResources {
  cpuMillis: number;
  memoryMb: number;
  accelerators: number;
}

/** A worker and what is booked on it. */
export interface WorkerRecord {
  readonly id: types.ids.WorkerId;
  rack: types.ids.RackId;
  capacity: types.resources.Resources;
  /** False until added, and after it was closed. */
  open: boolean;
  /** Kept out by quarantine, but for one probe at a time. */
  quarantined: boolean;
  /** Sum of the sizes that tasks were told. */
  readonly held: MutableResources;
  /** Processors in use as reported; a silent task counts what it holds. */
  usedCpuMillis: number;
  /** Sum over tasks of the larger of memory held and memory reported. */
  claimedMemoryMb: number;
  /** Kept for jobs that wait for room, on top of what is held. */
  readonly reserved: MutableResources;
  /**
   * What may be placed here: capacity less what is held and reserved. Below
   * zero while a reservation waits for tasks to end.
   */
  readonly room: MutableResources;
  readonly tasks: Set<HeldRecord>;
  /** Where it is in the list of workers. */
  position: number;
}

/** A task that holds room. */
export interface HeldRecord {
  readonly taskId: types.ids.TaskId;
  readonly spec: types.job.JobSpec;
  readonly worker: WorkerRecord;
  readonly size: types.resources.Resources;
  /** When it should be done; a guess, for draining workers. */
  readonly endsAt: number;
  usedCpuMillis: number;
  usedMemoryMb: number;
  reports: number;
  /** Usage before it was throttled; 0 when it isn't. */
  throttledFromMillis: number;
  /** When its checkpoint was last asked for; 0 when it wasn't. */
  checkpointAskedAt: number;
}

/** A team and what it holds. */
export interface TeamRecord {
  readonly id: types.ids.TeamId;
  weight: number;
  packing: number;
  quota: types.resources.Resources;
  readonly held: MutableResources;
  /** The same, apart for each urgency. */
  readonly heldBy: Readonly<Record<types.job.Urgency, MutableResources>>;
  waitingJobs: number;
}

/** What a team gets before its settings arrive. */
const UNLIMITED: types.resources.Resources = {
  cpuMillis: Infinity,
  memoryMb: Infinity,
  accelerators: Infinity,
};
const DEFAULT_PACKING = 0.5;

/** All books of one domain. */
export interface Books {
  readonly workers: ReadonlyMap<types.ids.WorkerId, WorkerRecord>;
  /** The same workers, for sampling. */
  readonly list: readonly WorkerRecord[];
  /** The most of each kind that any one worker has. */
  readonly largest: types.resources.Resources;
  readonly held: ReadonlyMap<types.ids.TaskId, HeldRecord>;
  readonly teams: ReadonlyMap<types.ids.TeamId, TeamRecord>;
  /** Capacity of all open workers. */
  readonly total: types.resources.Resources;
  /** Room on all open workers. */
  readonly free: types.resources.Resources;
  team(id: types.ids.TeamId): TeamRecord;
  setTeam(team: placer.PlacerTeam): void;
  setWorker(worker: placer.PlacerWorker): WorkerRecord;
  setOpen(worker: WorkerRecord, open: boolean): void;
  removeWorker(id: types.ids.WorkerId): WorkerRecord | undefined;
  book(task: placer.HeldTask, endsAt: number): HeldRecord;
  unbook(taskId: types.ids.TaskId): HeldRecord | undefined;
  noteUsage(task: HeldRecord, used: types.resources.Resources): void;
  /** Keeps room (or with -1 gives it back) on top of what is held. */
  reserve(
    worker: WorkerRecord,
    amount: types.resources.Resources,
    sign: 1 | -1,
  ): void;
  /**
   * The largest share of the domain that a team holds of any resource, for
   * work of the given urgencies.
   */
  dominantShare(
    team: TeamRecord,
    urgencies: readonly types.job.Urgency[],
  ): number;
}

/**
 * Creates empty books. `onRoom` is told of every worker whose room changed,
 * and whether it grew.
 */
export function createBooks(
  onRoom: (worker: WorkerRecord, grew: boolean) => void,
): Books {
  const workers = new Map<types.ids.WorkerId, WorkerRecord>();
  const list: WorkerRecord[] = [];
  const largest = mutable(types.resources.NO_RESOURCES);
  const held = new Map<types.ids.TaskId, HeldRecord>();
  const teams = new Map<types.ids.TeamId, TeamRecord>();
  const total = mutable(types.resources.NO_RESOURCES);
  const free = mutable(types.resources.NO_RESOURCES);

  function team(id: types.ids.TeamId): TeamRecord {
    const known = teams.get(id);
    if (known !== undefined) return known;
    const made = {
      id,
      weight: 1,
      packing: DEFAULT_PACKING,
      quota: UNLIMITED,
      held: mutable(types.resources.NO_RESOURCES),
      heldBy: {
        urgent: mutable(types.resources.NO_RESOURCES),
        normal: mutable(types.resources.NO_RESOURCES),
        overnight: mutable(types.resources.NO_RESOURCES),
      },
      waitingJobs: 0,
    };
    teams.set(id, made);
    return made;
  }

  /** A worker that tasks were adopted on before it was added. */
  function worker(id: types.ids.WorkerId): WorkerRecord {
    const known = workers.get(id);
    if (known !== undefined) return known;
    const made: WorkerRecord = {
      id,
      rack: types.ids.brand(''),
      capacity: types.resources.NO_RESOURCES,
      open: false,
      quarantined: false,
      held: mutable(types.resources.NO_RESOURCES),
      usedCpuMillis: 0,
      claimedMemoryMb: 0,
      reserved: mutable(types.resources.NO_RESOURCES),
      room: mutable(types.resources.NO_RESOURCES),
      tasks: new Set(),
      position: list.length,
    };
    workers.set(id, made);
    list.push(made);
    return made;
  }

  function raiseLargest(capacity: types.resources.Resources): void {
    largest.cpuMillis = Math.max(largest.cpuMillis, capacity.cpuMillis);
    largest.memoryMb = Math.max(largest.memoryMb, capacity.memoryMb);
    largest.accelerators = Math.max(
      largest.accelerators,
      capacity.accelerators,
    );
  }

  function dropFromList(record: WorkerRecord): void {
    const last = list.pop();
    if (last === undefined || last === record) return;
    list[record.position] = last;
    last.position = record.position;
  }

  function refreshRoom(record: WorkerRecord): void {
    const {capacity, room, reserved} = record;
    const cpuTaken = Math.max(record.held.cpuMillis, record.usedCpuMillis);
    const cpuMillis = capacity.cpuMillis - cpuTaken - reserved.cpuMillis;
    const memoryMb =
      capacity.memoryMb - record.claimedMemoryMb - reserved.memoryMb;
    const accelerators =
      capacity.accelerators - record.held.accelerators - reserved.accelerators;
    const grew =
      cpuMillis > room.cpuMillis ||
      memoryMb > room.memoryMb ||
      accelerators > room.accelerators;
    if (record.open) moveBy(free, room, -1);
    room.cpuMillis = cpuMillis;
    room.memoryMb = memoryMb;
    room.accelerators = accelerators;
    if (record.open) moveBy(free, room, 1);
    // A task may outlive the books of its worker; nobody places there.
    if (workers.get(record.id) === record) onRoom(record, grew);
  }

  function setOpen(record: WorkerRecord, open: boolean): void {
    if (record.open === open) return;
    record.open = open;
    moveBy(total, record.capacity, open ? 1 : -1);
    moveBy(free, record.room, open ? 1 : -1);
    onRoom(record, open);
  }

  function moveTeam(task: HeldRecord, sign: 1 | -1): void {
    const record = team(task.spec.team);
    moveBy(record.held, task.size, sign);
    moveBy(record.heldBy[task.spec.urgency], task.size, sign);
  }

  function unbook(taskId: types.ids.TaskId): HeldRecord | undefined {
    const task = held.get(taskId);
    if (task === undefined) return undefined;
    held.delete(taskId);
    moveTeam(task, -1);
    const record = task.worker;
    record.tasks.delete(task);
    moveBy(record.held, task.size, -1);
    record.usedCpuMillis -= task.usedCpuMillis;
    record.claimedMemoryMb -= Math.max(task.size.memoryMb, task.usedMemoryMb);
    refreshRoom(record);
    return task;
  }

  return {
    workers,
    list,
    largest,
    held,
    teams,
    total,
    free,
    team,
    setOpen,
    unbook,
    setTeam(next) {
      const record = team(next.id);
      record.weight = next.weight;
      record.packing = next.packing;
      record.quota = next.quota;
    },
    setWorker(next) {
      const record = worker(next.id);
      setOpen(record, false);
      record.rack = next.rack;
      record.capacity = next.capacity;
      raiseLargest(next.capacity);
      refreshRoom(record);
      setOpen(record, true);
      return record;
    },
    removeWorker(id) {
      const record = workers.get(id);
      if (record === undefined) return undefined;
      setOpen(record, false);
      workers.delete(id);
      dropFromList(record);
      Object.assign(largest, types.resources.NO_RESOURCES);
      for (const each of list) raiseLargest(each.capacity);
      return record;
    },
    book(task, endsAt) {
      unbook(task.taskId);
      const record = worker(task.workerId);
      const made: HeldRecord = {
        taskId: task.taskId,
        spec: task.spec,
        worker: record,
        size: task.size,
        endsAt,
        usedCpuMillis: task.size.cpuMillis,
        usedMemoryMb: 0,
        reports: 0,
        throttledFromMillis: 0,
        checkpointAskedAt: 0,
      };
      held.set(task.taskId, made);
      moveTeam(made, 1);
      record.tasks.add(made);
      moveBy(record.held, task.size, 1);
      record.usedCpuMillis += made.usedCpuMillis;
      record.claimedMemoryMb += task.size.memoryMb;
      refreshRoom(record);
      return made;
    },
    noteUsage(task, used) {
      const record = task.worker;
      const claimedBefore = Math.max(task.size.memoryMb, task.usedMemoryMb);
      const claimed = Math.max(task.size.memoryMb, used.memoryMb);
      record.usedCpuMillis += used.cpuMillis - task.usedCpuMillis;
      record.claimedMemoryMb += claimed - claimedBefore;
      task.usedCpuMillis = used.cpuMillis;
      task.usedMemoryMb = used.memoryMb;
      task.reports += 1;
      refreshRoom(record);
    },
    reserve(record, amount, sign) {
      moveBy(record.reserved, amount, sign);
      refreshRoom(record);
    },
    dominantShare(record, urgencies) {
      let cpu = 0;
      let memory = 0;
      let accelerators = 0;
      for (const urgency of urgencies) {
        const part = record.heldBy[urgency];
        cpu += part.cpuMillis;
        memory += part.memoryMb;
        accelerators += part.accelerators;
      }
      return Math.max(
        share(cpu, total.cpuMillis),
        share(memory, total.memoryMb),
        share(accelerators, total.accelerators),
      );
    },
  };
}

/** Whether a size fits a worker when what is reserved there is used too. */
export function fitsReserved(
  need: types.resources.Resources,
  worker: WorkerRecord,
): boolean {
  const {room, reserved} = worker;
  return (
    need.cpuMillis <= room.cpuMillis + reserved.cpuMillis &&
    need.memoryMb <= room.memoryMb + reserved.memoryMb &&
    need.accelerators <= room.accelerators + reserved.accelerators
  );
}

function share(part: number, whole: number): number {
  return whole > 0 ? part / whole : 0;
}

function mutable(from: types.resources.Resources): MutableResources {
  return {...from};
}

function moveBy(
  target: MutableResources,
  amount: types.resources.Resources,
  sign: 1 | -1,
): void {
  target.cpuMillis += sign * amount.cpuMillis;
  target.memoryMb += sign * amount.memoryMb;
  target.accelerators += sign * amount.accelerators;
}
