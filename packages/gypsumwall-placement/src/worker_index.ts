/**
 * Finds workers with enough free resources without examining every worker. In
 * a tree over the workers, each node has the maximum of each free resource
 * below it, and a search visits only nodes where the size could fit. Workers
 * with accelerators have a tree of their own, so that tasks that need no
 * accelerator are placed there last.
 */
import type * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';

/**
 * The number of nodes that a search may visit. The maxima of a node may come
 * from different workers, so a search can visit a node in vain. The limit
 * bounds the time of a decision for any number of workers. The next search
 * starts at another worker.
 */
const MAX_VISITS_PER_SEARCH = 600;
const INITIAL_SLOTS = 32;

/** A search for workers that a task fits on. */
export interface WorkerSearch {
  readonly need: types.resources.Resources;
  /** Where the search starts among the workers, as a fraction below 1. */
  readonly from: number;
  /** The search stops after this many fitting workers. */
  readonly limit: number;
  readonly skip?: (worker: allocationState.WorkerState) => boolean;
}

/** The schedulable workers by their free resources. */
export interface WorkerIndex {
  /** Adds or updates a worker; with `usable` false, searches skip it. */
  update(worker: allocationState.WorkerState, isUsable: boolean): void;
  remove(worker: allocationState.WorkerState): void;
  /** The fitting workers, in slot order from the start and wrapping around. */
  find(search: WorkerSearch): allocationState.WorkerState[];
}

export function createWorkerIndex(): WorkerIndex {
  const plain = createFreeTree();
  const accelerated = createFreeTree();
  const treeOf = (worker: allocationState.WorkerState) =>
    worker.capacity.accelerators > 0 ? accelerated : plain;

  return {
    update(worker, isUsable) {
      const tree = treeOf(worker);
      // A changed capacity may move the worker to the other tree.
      (tree === plain ? accelerated : plain).remove(worker);
      tree.update(worker, isUsable);
    },
    remove(worker) {
      plain.remove(worker);
      accelerated.remove(worker);
    },
    find(search) {
      if (search.need.accelerators > 0) return accelerated.find(search);
      const found = plain.find(search);
      return found.length > 0 ? found : accelerated.find(search);
    },
  };
}

/**
 * A tree in an array: leaf `slots + i` is slot i, node n has the children 2n
 * and 2n+1.
 */
function createFreeTree() {
  let slots = INITIAL_SLOTS;
  let cpu = new Float64Array(slots * 2).fill(-1);
  let memory = new Float64Array(slots * 2).fill(-1);
  let accelerators = new Float64Array(slots * 2).fill(-1);
  /**
   * The smaller of free CPU and free memory, relative to a reference worker.
   */
  let balance = new Float64Array(slots * 2).fill(-1);
  let referenceCapacity: types.resources.Resources | undefined;
  const slotOf = new Map<allocationState.WorkerState, number>();
  const workerAt: Array<allocationState.WorkerState | undefined> = [];
  const freeSlots: number[] = [];
  let visitCount = 0;

  function balanceOf(amount: types.resources.Resources): number {
    if (referenceCapacity === undefined) return 0;
    return Math.min(
      amount.cpuMillis / referenceCapacity.cpuMillis,
      amount.memoryMb / referenceCapacity.memoryMb,
    );
  }

  function grow(): void {
    const records = workerAt.slice();
    const usable = records.map((_, slot) => cpu[slots + slot]! >= 0);
    slots *= 2;
    cpu = new Float64Array(slots * 2).fill(-1);
    memory = new Float64Array(slots * 2).fill(-1);
    accelerators = new Float64Array(slots * 2).fill(-1);
    balance = new Float64Array(slots * 2).fill(-1);
    records.forEach((worker, slot) => {
      if (worker !== undefined) setLeaf(slot, worker, usable[slot] === true);
    });
  }

  function setLeaf(
    slot: number,
    worker: allocationState.WorkerState,
    isUsable: boolean,
  ): void {
    let node = slots + slot;
    cpu[node] = isUsable ? worker.free.cpuMillis : -1;
    memory[node] = isUsable ? worker.free.memoryMb : -1;
    accelerators[node] = isUsable ? worker.free.accelerators : -1;
    balance[node] = isUsable ? balanceOf(worker.free) : -1;
    for (node >>= 1; node >= 1; node >>= 1) {
      const left = node * 2;
      const right = left + 1;
      cpu[node] = Math.max(cpu[left]!, cpu[right]!);
      memory[node] = Math.max(memory[left]!, memory[right]!);
      accelerators[node] = Math.max(accelerators[left]!, accelerators[right]!);
      balance[node] = Math.max(balance[left]!, balance[right]!);
    }
  }

  function assignSlot(worker: allocationState.WorkerState): number {
    const slot = freeSlots.pop() ?? workerAt.length;
    if (slot >= slots) grow();
    slotOf.set(worker, slot);
    workerAt[slot] = worker;
    return slot;
  }

  /**
   * Adds the fitting workers of the slots from `low` to below `high` to
   * `found`.
   */
  function collect(
    search: WorkerSearch,
    needBalance: number,
    node: number,
    nodeLow: number,
    nodeHigh: number,
    low: number,
    high: number,
    found: allocationState.WorkerState[],
  ): void {
    if (nodeHigh <= low || nodeLow >= high) return;
    if (found.length >= search.limit || visitCount >= MAX_VISITS_PER_SEARCH)
      return;
    visitCount += 1;
    const {need} = search;
    if (cpu[node]! < need.cpuMillis || memory[node]! < need.memoryMb) return;
    if (accelerators[node]! < need.accelerators) return;
    if (balance[node]! < needBalance) return;
    if (node >= slots) {
      const worker = workerAt[node - slots];
      if (worker !== undefined && search.skip?.(worker) !== true) {
        found.push(worker);
      }
      return;
    }
    const middle = (nodeLow + nodeHigh) >> 1;
    const left = node * 2;
    collect(search, needBalance, left, nodeLow, middle, low, high, found);
    collect(search, needBalance, left + 1, middle, nodeHigh, low, high, found);
  }

  return {
    update(worker: allocationState.WorkerState, isUsable: boolean): void {
      referenceCapacity ??=
        worker.capacity.cpuMillis > 0 ? worker.capacity : undefined;
      const slot = slotOf.get(worker) ?? assignSlot(worker);
      setLeaf(slot, worker, isUsable);
    },
    remove(worker: allocationState.WorkerState): void {
      const slot = slotOf.get(worker);
      if (slot === undefined) return;
      setLeaf(slot, worker, false);
      slotOf.delete(worker);
      workerAt[slot] = undefined;
      freeSlots.push(slot);
    },
    find(search: WorkerSearch): allocationState.WorkerState[] {
      const found: allocationState.WorkerState[] = [];
      const start = Math.floor(search.from * workerAt.length);
      const needBalance = balanceOf(search.need);
      visitCount = 0;
      collect(search, needBalance, 1, 0, slots, start, slots, found);
      collect(search, needBalance, 1, 0, slots, 0, start, found);
      return found;
    },
  };
}
