/**
 * The books of a failure domain: what every worker has, which task holds
 * which room, and what each team holds. Room is booked at the moment of
 * decision, so the sum of what was told to a worker never passes its
 * capacity, whatever the worker reports and however late.
 */
import * as types from '@gypsumwall/types';
import type * as bookRecords from './book_records.js';
import * as mutableResources from './mutable_resources.js';
import type * as placer from './placer.js';
import * as teamBooks from './team_books.js';

/** All books of one domain. */
export interface Books {
  readonly workers: ReadonlyMap<types.ids.WorkerId, bookRecords.WorkerRecord>;
  /** The same workers, for sampling. */
  readonly list: readonly bookRecords.WorkerRecord[];
  /** The most of each kind that any one worker has. */
  readonly largest: types.resources.Resources;
  readonly held: ReadonlyMap<types.ids.TaskId, bookRecords.HeldRecord>;
  readonly teams: teamBooks.TeamBooks;
  /** Capacity of all open workers. */
  readonly total: types.resources.Resources;
  /** Room on all open workers. */
  readonly free: types.resources.Resources;
  setWorker(worker: placer.PlacerWorker): bookRecords.WorkerRecord;
  setOpen(worker: bookRecords.WorkerRecord, open: boolean): void;
  removeWorker(id: types.ids.WorkerId): bookRecords.WorkerRecord | undefined;
  book(task: placer.RunningTask, endsAt: number): bookRecords.HeldRecord;
  unbook(taskId: types.ids.TaskId): bookRecords.HeldRecord | undefined;
  noteUsage(
    task: bookRecords.HeldRecord,
    used: types.resources.Resources,
  ): void;
  /** Keeps room (or with -1 gives it back) on top of what is held. */
  reserve(
    worker: bookRecords.WorkerRecord,
    amount: types.resources.Resources,
    sign: 1 | -1,
  ): void;
}

/**
 * Creates empty books. `onRoom` is told of every worker whose room changed,
 * and whether it grew.
 */
export function createBooks(
  onRoom: (worker: bookRecords.WorkerRecord, grew: boolean) => void,
): Books {
  const workers = new Map<types.ids.WorkerId, bookRecords.WorkerRecord>();
  const list: bookRecords.WorkerRecord[] = [];
  const largest = mutableResources.mutable(types.resources.NO_RESOURCES);
  const held = new Map<types.ids.TaskId, bookRecords.HeldRecord>();
  const total = mutableResources.mutable(types.resources.NO_RESOURCES);
  const free = mutableResources.mutable(types.resources.NO_RESOURCES);
  const teams = teamBooks.createTeamBooks(total);

  /** A worker that tasks were adopted on before it was added. */
  function worker(id: types.ids.WorkerId): bookRecords.WorkerRecord {
    const known = workers.get(id);
    if (known !== undefined) return known;
    const made: bookRecords.WorkerRecord = {
      id,
      rack: types.ids.brand(''),
      capacity: types.resources.NO_RESOURCES,
      open: false,
      quarantined: false,
      held: mutableResources.mutable(types.resources.NO_RESOURCES),
      usedCpuMillis: 0,
      claimedMemoryMb: 0,
      reserved: mutableResources.mutable(types.resources.NO_RESOURCES),
      room: mutableResources.mutable(types.resources.NO_RESOURCES),
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

  function dropFromList(record: bookRecords.WorkerRecord): void {
    const last = list.pop();
    if (last === undefined || last === record) return;
    list[record.position] = last;
    last.position = record.position;
  }

  function refreshRoom(record: bookRecords.WorkerRecord): void {
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
    if (record.open) mutableResources.moveBy(free, room, -1);
    room.cpuMillis = cpuMillis;
    room.memoryMb = memoryMb;
    room.accelerators = accelerators;
    if (record.open) mutableResources.moveBy(free, room, 1);
    // A task may outlive the books of its worker; nobody places there.
    if (workers.get(record.id) === record) onRoom(record, grew);
  }

  function setOpen(record: bookRecords.WorkerRecord, open: boolean): void {
    if (record.open === open) return;
    record.open = open;
    mutableResources.moveBy(total, record.capacity, open ? 1 : -1);
    mutableResources.moveBy(free, record.room, open ? 1 : -1);
    onRoom(record, open);
  }

  function unbook(
    taskId: types.ids.TaskId,
  ): bookRecords.HeldRecord | undefined {
    const task = held.get(taskId);
    if (task === undefined) return undefined;
    held.delete(taskId);
    teams.move(task, -1);
    const record = task.worker;
    record.tasks.delete(task);
    mutableResources.moveBy(record.held, task.size, -1);
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
    setOpen,
    unbook,
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
      const made: bookRecords.HeldRecord = {
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
      teams.move(made, 1);
      record.tasks.add(made);
      mutableResources.moveBy(record.held, task.size, 1);
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
      mutableResources.moveBy(record.reserved, amount, sign);
      refreshRoom(record);
    },
  };
}

/** Whether a size fits a worker when what is reserved there is used too. */
export function fitsReserved(
  need: types.resources.Resources,
  worker: bookRecords.WorkerRecord,
): boolean {
  const {room, reserved} = worker;
  return (
    need.cpuMillis <= room.cpuMillis + reserved.cpuMillis &&
    need.memoryMb <= room.memoryMb + reserved.memoryMb &&
    need.accelerators <= room.accelerators + reserved.accelerators
  );
}
