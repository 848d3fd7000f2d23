/** The records that the placement books keep of workers and held tasks. */
import type * as types from '@gypsumwall/types';
import type * as mutableResources from './mutable_resources.js';

/** A worker and what is booked on it. */
export interface WorkerState {
  readonly id: types.ids.WorkerId;
  rack: types.ids.RackId;
  capacity: types.resources.Resources;
  /** False until added, and after it was closed. */
  isSchedulable: boolean;
  /** Kept out by quarantine, but for one probe at a time. */
  isQuarantined: boolean;
  /** Sum of the sizes that tasks were told. */
  readonly allocated: mutableResources.MutableResources;
  /** Processors in use as reported; a silent task counts what it holds. */
  usedCpuMillis: number;
  /** Sum over tasks of the larger of memory held and memory reported. */
  claimedMemoryMb: number;
  /** Kept for jobs that wait for room, on top of what is held. */
  readonly reserved: mutableResources.MutableResources;
  /**
   * What may be placed here: capacity less what is held and reserved. Below
   * zero while a reservation waits for tasks to end.
   */
  readonly free: mutableResources.MutableResources;
  readonly allocations: Set<TaskAllocation>;
  /** Where it is in the list of workers. */
  listIndex: number;
}

/** A task that holds room. */
export interface TaskAllocation {
  readonly taskId: types.ids.TaskId;
  readonly spec: types.job.JobSpec;
  readonly worker: WorkerState;
  readonly size: types.resources.Resources;
  /** When it should be done; a guess, for draining workers. */
  readonly expectedEndAt: number;
  usedCpuMillis: number;
  usedMemoryMb: number;
  usageReports: number;
  /** Usage before it was throttled; 0 when it isn't. */
  cpuMillisBeforeThrottle: number;
  /** When its checkpoint was last asked for; 0 when it wasn't. */
  checkpointRequestedAt: number;
}
