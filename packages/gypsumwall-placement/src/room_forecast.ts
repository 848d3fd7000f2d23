/**
 * The room a worker would have without some of its tasks. Processors count as
 * taken by what is held or by what is used, whichever is more, so a task that
 * ends gives back less than its size on a worker that is used beyond its
 * books. A plan that overlooks this comes up short by a little everywhere.
 */
import type * as types from '@gypsumwall/types';
import type * as bookRecords from './book_records.js';

/** Room as it would be. */
export interface RoomForecast {
  /** As if the task had ended. */
  without(task: bookRecords.HeldRecord): void;
  /** As if a task of that size had started. */
  withOne(size: types.resources.Resources): void;
  fits(size: types.resources.Resources): boolean;
}

/** Starts from the room that the worker has now. */
export function createRoomForecast(
  worker: bookRecords.WorkerRecord,
): RoomForecast {
  const {capacity, reserved} = worker;
  let heldCpu = worker.held.cpuMillis;
  let usedCpu = worker.usedCpuMillis;
  let memoryMb = worker.room.memoryMb;
  let accelerators = worker.room.accelerators;

  return {
    without(task) {
      heldCpu -= task.size.cpuMillis;
      usedCpu -= task.usedCpuMillis;
      memoryMb += Math.max(task.size.memoryMb, task.usedMemoryMb);
      accelerators += task.size.accelerators;
    },
    withOne(size) {
      heldCpu += size.cpuMillis;
      usedCpu += size.cpuMillis;
      memoryMb -= size.memoryMb;
      accelerators -= size.accelerators;
    },
    fits(size) {
      const taken = Math.max(heldCpu, usedCpu) + reserved.cpuMillis;
      return (
        size.cpuMillis <= capacity.cpuMillis - taken &&
        size.memoryMb <= memoryMb &&
        size.accelerators <= accelerators
      );
    },
  };
}
