/** How much room the workers that accept tasks have. */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';

/** Free share of processors and memory from which on there is room. */
const MIN_FREE_SHARE = 0.25;
/** Free share of processors or memory below which workers are nearly full. */
const NEARLY_FULL_SHARE = 0.15;

/** Free and total resources of the workers that accept tasks. */
export interface WorkerRoom {
  readonly free: types.resources.Resources;
  readonly capacity: types.resources.Resources;
}

/** Sums up the workers that accept tasks. */
export function sumRoom(
  workers: Iterable<scheduling.workerRegistry.RegisteredWorker>,
): WorkerRoom {
  let free = types.resources.NO_RESOURCES;
  let capacity = types.resources.NO_RESOURCES;
  for (const worker of workers) {
    if (!scheduling.workerRegistry.acceptsTasks(worker)) continue;
    free = types.resources.add(free, worker.free);
    capacity = types.resources.add(capacity, worker.info.capacity);
  }
  return {free, capacity};
}

/** The same for each pool. */
export function sumRoomByPool(
  workers: Iterable<scheduling.workerRegistry.RegisteredWorker>,
): ReadonlyMap<string, WorkerRoom> {
  const byPool = new Map<
    string,
    scheduling.workerRegistry.RegisteredWorker[]
  >();
  for (const worker of workers) {
    const {pool} = worker.info;
    const others = byPool.get(pool);
    if (others === undefined) byPool.set(pool, [worker]);
    else others.push(worker);
  }
  return new Map([...byPool].map(([pool, some]) => [pool, sumRoom(some)]));
}

/**
 * Whether the processor time and memory of the workers are far from used up;
 * true without a worker, as nothing runs then.
 */
export function hasRoom({free, capacity}: WorkerRoom): boolean {
  return (
    free.cpuMillis >= capacity.cpuMillis * MIN_FREE_SHARE &&
    free.memoryMb >= capacity.memoryMb * MIN_FREE_SHARE
  );
}

/** Whether so little is free that few workers fit another task. */
export function isNearlyFull({free, capacity}: WorkerRoom): boolean {
  return (
    free.cpuMillis < capacity.cpuMillis * NEARLY_FULL_SHARE ||
    free.memoryMb < capacity.memoryMb * NEARLY_FULL_SHARE
  );
}

/** Processors in use, in percent; 100 without workers. */
export function usedPercent({free, capacity}: WorkerRoom): number {
  if (capacity.cpuMillis === 0) return 100;
  return Math.round(100 - (free.cpuMillis * 100) / capacity.cpuMillis);
}
