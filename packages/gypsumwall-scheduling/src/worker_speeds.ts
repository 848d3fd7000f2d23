/**
 * How fast workers run tasks, relative to a usual worker. The decisions that
 * depend on run times ask this interface; where nothing is known about a worker
 * it counts as usual.
 */
import type * as types from '@gypsumwall/types';

/** Speeds of the workers of a cell. */
export interface WorkerSpeeds {
  /**
   * Run time of a task on a usual worker divided by its run time on this one:
   * 2 for a worker that is twice as fast; 1 if nothing is known. Never 0.
   */
  speedOf(worker: types.ids.WorkerId): number;
}

/** All workers count as equally fast. */
export const UNIFORM_SPEEDS: WorkerSpeeds = {speedOf: () => 1};
