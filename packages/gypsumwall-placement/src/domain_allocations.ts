/**
 * The allocations of a failure domain: the capacity of every worker, the
 * resources allocated to each task, and the total of each team. Resources are
 * allocated when a placement is decided, so the sum of the sizes sent to a
 * worker never exceeds its capacity, even if its reports are wrong or late.
 */
import * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';
import * as mutableResources from './mutable_resources.js';
import type * as placer from './placer.js';
import * as teamAllocations from './team_allocations.js';

/** The allocations of one failure domain. */
export interface DomainAllocations {
  readonly workers: ReadonlyMap<
    types.ids.WorkerId,
    allocationState.WorkerState
  >;
  /** The same workers as an array, for sampling. */
  readonly workerList: readonly allocationState.WorkerState[];
  /** For each resource, the largest capacity of any single worker. */
  readonly largestCapacity: types.resources.Resources;
  readonly taskAllocations: ReadonlyMap<
    types.ids.TaskId,
    allocationState.TaskAllocation
  >;
  readonly teams: teamAllocations.TeamAllocations;
  /** The capacity of all schedulable workers. */
  readonly totalCapacity: types.resources.Resources;
  /** The free resources of all schedulable workers. */
  readonly totalFree: types.resources.Resources;
  setWorker(worker: placer.PlacerWorker): allocationState.WorkerState;
  setSchedulable(
    worker: allocationState.WorkerState,
    isSchedulable: boolean,
  ): void;
  removeWorker(id: types.ids.WorkerId): allocationState.WorkerState | undefined;
  allocate(
    task: placer.RunningTask,
    expectedEndAt: number,
  ): allocationState.TaskAllocation;
  deallocate(
    taskId: types.ids.TaskId,
  ): allocationState.TaskAllocation | undefined;
  updateUsage(
    task: allocationState.TaskAllocation,
    used: types.resources.Resources,
  ): void;
  /** Reserves resources on a worker; with -1, ends the reservation. */
  reserve(
    worker: allocationState.WorkerState,
    amount: types.resources.Resources,
    sign: 1 | -1,
  ): void;
}

/**
 * Creates an empty set of allocations. `onFreeChanged` is called with each
 * worker whose free resources changed, and whether any of them grew.
 */
export function createDomainAllocations(
  onFreeChanged: (
    worker: allocationState.WorkerState,
    hasGrown: boolean,
  ) => void,
): DomainAllocations {
  const workers = new Map<types.ids.WorkerId, allocationState.WorkerState>();
  const workerList: allocationState.WorkerState[] = [];
  const largestCapacity = mutableResources.mutableCopy(
    types.resources.NO_RESOURCES,
  );
  const taskAllocations = new Map<
    types.ids.TaskId,
    allocationState.TaskAllocation
  >();
  const totalCapacity = mutableResources.mutableCopy(
    types.resources.NO_RESOURCES,
  );
  const totalFree = mutableResources.mutableCopy(types.resources.NO_RESOURCES);
  const teams = teamAllocations.createTeamAllocations(totalCapacity);

  /**
   * Returns the state of a worker. Tasks may be adopted on a worker before it
   * is added; its state is created then.
   */
  function getOrAddWorker(id: types.ids.WorkerId): allocationState.WorkerState {
    const existing = workers.get(id);
    if (existing !== undefined) return existing;
    const created: allocationState.WorkerState = {
      id,
      rack: types.ids.brand(''),
      capacity: types.resources.NO_RESOURCES,
      isSchedulable: false,
      isQuarantined: false,
      allocated: mutableResources.mutableCopy(types.resources.NO_RESOURCES),
      usedCpuMillis: 0,
      claimedMemoryMb: 0,
      reserved: mutableResources.mutableCopy(types.resources.NO_RESOURCES),
      free: mutableResources.mutableCopy(types.resources.NO_RESOURCES),
      allocations: new Set(),
      listIndex: workerList.length,
    };
    workers.set(id, created);
    workerList.push(created);
    return created;
  }

  function raiseLargestCapacity(capacity: types.resources.Resources): void {
    largestCapacity.cpuMillis = Math.max(
      largestCapacity.cpuMillis,
      capacity.cpuMillis,
    );
    largestCapacity.memoryMb = Math.max(
      largestCapacity.memoryMb,
      capacity.memoryMb,
    );
    largestCapacity.accelerators = Math.max(
      largestCapacity.accelerators,
      capacity.accelerators,
    );
  }

  function removeFromList(state: allocationState.WorkerState): void {
    const lastWorker = workerList.pop();
    if (lastWorker === undefined || lastWorker === state) return;
    workerList[state.listIndex] = lastWorker;
    lastWorker.listIndex = state.listIndex;
  }

  function recomputeFree(state: allocationState.WorkerState): void {
    const {capacity, free, reserved} = state;
    const cpuTaken = Math.max(state.allocated.cpuMillis, state.usedCpuMillis);
    const cpuMillis = capacity.cpuMillis - cpuTaken - reserved.cpuMillis;
    const memoryMb =
      capacity.memoryMb - state.claimedMemoryMb - reserved.memoryMb;
    const accelerators =
      capacity.accelerators -
      state.allocated.accelerators -
      reserved.accelerators;
    const hasGrown =
      cpuMillis > free.cpuMillis ||
      memoryMb > free.memoryMb ||
      accelerators > free.accelerators;
    if (state.isSchedulable) mutableResources.adjust(totalFree, free, -1);
    free.cpuMillis = cpuMillis;
    free.memoryMb = memoryMb;
    free.accelerators = accelerators;
    if (state.isSchedulable) mutableResources.adjust(totalFree, free, 1);
    // A task may be released after its worker was removed. Nothing is placed
    // on a removed worker, so nobody is notified.
    if (workers.get(state.id) === state) onFreeChanged(state, hasGrown);
  }

  function setSchedulable(
    state: allocationState.WorkerState,
    isSchedulable: boolean,
  ): void {
    if (state.isSchedulable === isSchedulable) return;
    state.isSchedulable = isSchedulable;
    mutableResources.adjust(
      totalCapacity,
      state.capacity,
      isSchedulable ? 1 : -1,
    );
    mutableResources.adjust(totalFree, state.free, isSchedulable ? 1 : -1);
    onFreeChanged(state, isSchedulable);
  }

  function deallocate(
    taskId: types.ids.TaskId,
  ): allocationState.TaskAllocation | undefined {
    const task = taskAllocations.get(taskId);
    if (task === undefined) return undefined;
    taskAllocations.delete(taskId);
    teams.adjust(task, -1);
    const state = task.worker;
    state.allocations.delete(task);
    mutableResources.adjust(state.allocated, task.size, -1);
    state.usedCpuMillis -= task.usedCpuMillis;
    state.claimedMemoryMb -= Math.max(task.size.memoryMb, task.usedMemoryMb);
    recomputeFree(state);
    return task;
  }

  return {
    workers,
    workerList,
    largestCapacity,
    taskAllocations,
    teams,
    totalCapacity,
    totalFree,
    setSchedulable,
    deallocate,
    setWorker(next) {
      const state = getOrAddWorker(next.id);
      setSchedulable(state, false);
      state.rack = next.rack;
      state.capacity = next.capacity;
      raiseLargestCapacity(next.capacity);
      recomputeFree(state);
      setSchedulable(state, true);
      return state;
    },
    removeWorker(id) {
      const state = workers.get(id);
      if (state === undefined) return undefined;
      setSchedulable(state, false);
      workers.delete(id);
      removeFromList(state);
      Object.assign(largestCapacity, types.resources.NO_RESOURCES);
      for (const each of workerList) raiseLargestCapacity(each.capacity);
      return state;
    },
    allocate(task, expectedEndAt) {
      deallocate(task.taskId);
      const state = getOrAddWorker(task.workerId);
      const allocation: allocationState.TaskAllocation = {
        taskId: task.taskId,
        spec: task.spec,
        worker: state,
        size: task.size,
        expectedEndAt,
        usedCpuMillis: task.size.cpuMillis,
        usedMemoryMb: 0,
        usageReports: 0,
        cpuMillisBeforeThrottle: 0,
        checkpointRequestedAt: 0,
      };
      taskAllocations.set(task.taskId, allocation);
      teams.adjust(allocation, 1);
      state.allocations.add(allocation);
      mutableResources.adjust(state.allocated, task.size, 1);
      state.usedCpuMillis += allocation.usedCpuMillis;
      state.claimedMemoryMb += task.size.memoryMb;
      recomputeFree(state);
      return allocation;
    },
    updateUsage(task, used) {
      const state = task.worker;
      const claimedBefore = Math.max(task.size.memoryMb, task.usedMemoryMb);
      const claimed = Math.max(task.size.memoryMb, used.memoryMb);
      state.usedCpuMillis += used.cpuMillis - task.usedCpuMillis;
      state.claimedMemoryMb += claimed - claimedBefore;
      task.usedCpuMillis = used.cpuMillis;
      task.usedMemoryMb = used.memoryMb;
      task.usageReports += 1;
      recomputeFree(state);
    },
    reserve(state, amount, sign) {
      mutableResources.adjust(state.reserved, amount, sign);
      recomputeFree(state);
    },
  };
}

/** Whether a size fits a worker if its reserved resources may be used too. */
export function fitsWithReserved(
  need: types.resources.Resources,
  worker: allocationState.WorkerState,
): boolean {
  const {free, reserved} = worker;
  return (
    need.cpuMillis <= free.cpuMillis + reserved.cpuMillis &&
    need.memoryMb <= free.memoryMb + reserved.memoryMb &&
    need.accelerators <= free.accelerators + reserved.accelerators
  );
}
