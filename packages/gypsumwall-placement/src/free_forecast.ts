/**
 * The room a worker would have without some of its tasks. Processors count as
 * taken by what is held or by what is used, whichever is more, so a task that
 * ends gives back less than its size on a worker that is used beyond its
 * books. A plan that overlooks this comes up short by a little everywhere.
 */
import type * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';

/** Room as it would be. */
export interface FreeForecast {
  /** As if the task had ended. */
  removeTask(task: allocationState.TaskAllocation): void;
  /** As if a task of that size had started. */
  addTask(size: types.resources.Resources): void;
  fits(size: types.resources.Resources): boolean;
}

/** Starts from the room that the worker has now. */
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
