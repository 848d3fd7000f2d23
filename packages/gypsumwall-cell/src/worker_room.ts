/** Whether the workers that accept tasks have room for more. */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';

/** Free share of processors and memory from which on there is room. */
const MIN_FREE_SHARE = 0.25;

/**
 * Whether the processor time and memory of the workers are far from used up;
 * true without a worker, as nothing runs then.
 */
export function hasRoom(
  workers: Iterable<scheduling.workerRegistry.RegisteredWorker>,
): boolean {
  let free = types.resources.NO_RESOURCES;
  let capacity = types.resources.NO_RESOURCES;
  for (const worker of workers) {
    if (!scheduling.workerRegistry.acceptsTasks(worker)) continue;
    free = types.resources.add(free, worker.free);
    capacity = types.resources.add(capacity, worker.info.capacity);
  }
  return (
    free.cpuMillis >= capacity.cpuMillis * MIN_FREE_SHARE &&
    free.memoryMb >= capacity.memoryMb * MIN_FREE_SHARE
  );
}
