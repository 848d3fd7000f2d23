/** Predicts when running tasks will have freed enough resources for a job. */
import * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';
import * as freeForecast from './free_forecast.js';

/** The assumed time from the request of a checkpoint to the freed resources. */
const CHECKPOINT_DURATION_MS = 500;

/** The workers and the time at which all tasks of a job will fit. */
export interface ExpectedCapacity {
  /** The number of tasks that will fit on each worker. */
  readonly slots: ReadonlyMap<allocationState.WorkerState, number>;
  /** Running tasks that must be checkpointed to free the resources in time. */
  readonly victims: readonly allocationState.TaskAllocation[];
  readonly readyAt: number;
}

/** The search for capacity for `count` tasks of one size. */
export interface CapacitySearch {
  readonly size: types.resources.Resources;
  readonly count: number;
  readonly now: number;
  /** Whether a running task may be checkpointed for the job. */
  readonly mayPreempt: (task: allocationState.TaskAllocation) => boolean;
}

interface Slot {
  readonly worker: allocationState.WorkerState;
  readonly at: number;
  readonly victims: readonly allocationState.TaskAllocation[];
}

/**
 * Finds the earliest capacity on the given workers, assuming that tasks end
 * when estimated. Services don't end, and resources reserved for other jobs
 * aren't used. Returns undefined if the workers can't hold that many tasks.
 */
export function findEarliestCapacity(
  workers: readonly allocationState.WorkerState[],
  search: CapacitySearch,
): ExpectedCapacity | undefined {
  const {count, now} = search;
  const all: Slot[] = [];
  for (const worker of workers)
    types.lists.append(all, findSlotsOn(worker, search));
  if (all.length < count) return undefined;
  all.sort((left, right) => left.at - right.at);
  const slots = new Map<allocationState.WorkerState, number>();
  const victims: allocationState.TaskAllocation[] = [];
  for (const slot of all.slice(0, count)) {
    slots.set(slot.worker, (slots.get(slot.worker) ?? 0) + 1);
    types.lists.append(victims, slot.victims);
  }
  return {slots, victims, readyAt: all[count - 1]?.at ?? now};
}

interface ExpectedEnd {
  readonly task: allocationState.TaskAllocation;
  readonly at: number;
  readonly isPreempted: boolean;
}

/** The times at which one more task fits on a worker. */
function findSlotsOn(
  worker: allocationState.WorkerState,
  search: CapacitySearch,
): Slot[] {
  const {size, count, now} = search;
  const expectedEnds = listExpectedEnds(worker, search);
  const forecast = freeForecast.createFreeForecast(worker);
  const slots: Slot[] = [];
  let victims: allocationState.TaskAllocation[] = [];
  let at = now;
  let next = 0;
  while (slots.length < count) {
    if (forecast.fits(size)) {
      slots.push({worker, at, victims});
      victims = [];
      forecast.addTask(size);
      continue;
    }
    const expectedEnd = expectedEnds[next];
    if (expectedEnd === undefined) break;
    next += 1;
    at = Math.max(at, expectedEnd.at);
    const {task} = expectedEnd;
    if (expectedEnd.isPreempted) victims.push(task);
    forecast.removeTask(task);
  }
  return slots;
}

/** The tasks of a worker, ordered by when they end or could be checkpointed. */
function listExpectedEnds(
  worker: allocationState.WorkerState,
  search: CapacitySearch,
): ExpectedEnd[] {
  const preemptedAt = search.now + CHECKPOINT_DURATION_MS;
  const expectedEnds: ExpectedEnd[] = [];
  for (const task of worker.allocations) {
    if (task.spec.shape.kind === 'service') continue;
    const isPreempted =
      task.expectedEndAt > preemptedAt && search.mayPreempt(task);
    expectedEnds.push({
      task,
      isPreempted,
      at: isPreempted ? preemptedAt : task.expectedEndAt,
    });
  }
  return expectedEnds.sort((left, right) => left.at - right.at);
}
