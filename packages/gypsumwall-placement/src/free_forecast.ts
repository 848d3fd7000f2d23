/**
 * The free resources that a worker would have without some of its tasks. CPU
 * counts as taken by the larger of what is allocated and what is used. So on a
 * worker where more CPU is used than allocated, a task that ends frees less
 * than its size. A prediction that ignores this is a little too high on many
 * workers.
 */
import type * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';

/** Predicted free resources of one worker. */
export interface FreeForecast {
  /** Assumes that a task has ended. */
  removeTask(task: allocationState.TaskAllocation): void;
  /** Assumes that a task of this size has started. */
  addTask(size: types.resources.Resources): void;
  fits(size: types.resources.Resources): boolean;
}

/** Creates a forecast that starts from the worker's present state. */
export function createFreeForecast(
  worker: allocationState.WorkerState,
): FreeForecast {
  const {capacity, reserved} = worker;
  let allocatedCpu = worker.allocated.cpuMillis;
  let usedCpu = worker.usedCpuMillis;
  let memoryMb = worker.free.memoryMb;
  let accelerators = worker.free.accelerators;

  return {
    removeTask(task) {
      allocatedCpu -= task.size.cpuMillis;
      usedCpu -= task.usedCpuMillis;
      memoryMb += Math.max(task.size.memoryMb, task.usedMemoryMb);
      accelerators += task.size.accelerators;
    },
    addTask(size) {
      allocatedCpu += size.cpuMillis;
      usedCpu += size.cpuMillis;
      memoryMb -= size.memoryMb;
      accelerators -= size.accelerators;
    },
    fits(size) {
      const taken = Math.max(allocatedCpu, usedCpu) + reserved.cpuMillis;
      return (
        size.cpuMillis <= capacity.cpuMillis - taken &&
        size.memoryMb <= memoryMb &&
        size.accelerators <= accelerators
      );
    },
  };
}
