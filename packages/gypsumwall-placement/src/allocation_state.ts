/** The in-memory state of workers and of the tasks allocated on them. */
import type * as types from '@gypsumwall/types';
import type * as mutableResources from './mutable_resources.js';

/** A worker and the resources allocated on it. */
export interface WorkerState {
  readonly id: types.ids.WorkerId;
  rack: types.ids.RackId;
  capacity: types.resources.Resources;
  /** False before the worker is added and after it is cordoned. */
  isSchedulable: boolean;
  /** True while in quarantine, except when one probe task may be placed. */
  isQuarantined: boolean;
  /** The sum of the sizes of its tasks. */
  readonly allocated: mutableResources.MutableResources;
  /** Reported CPU usage; a task without a report counts with its size. */
  usedCpuMillis: number;
  /** The sum over tasks of the larger of allocated and reported memory. */
  claimedMemoryMb: number;
  /** Reserved for blocked jobs, in addition to what is allocated. */
  readonly reserved: mutableResources.MutableResources;
  /**
   * Resources available for placement: capacity less what is in use and what
   * is reserved. Negative while a reservation waits for running tasks to end.
   */
  readonly free: mutableResources.MutableResources;
  readonly allocations: Set<TaskAllocation>;
  /** Its index in `DomainAllocations.workerList`. */
  listIndex: number;
}

/** The allocation of a task on a worker. */
export interface TaskAllocation {
  readonly taskId: types.ids.TaskId;
  readonly spec: types.job.JobSpec;
  readonly worker: WorkerState;
  readonly size: types.resources.Resources;
  /** The estimated end of the task, used to predict free resources. */
  readonly expectedEndAt: number;
  usedCpuMillis: number;
  usedMemoryMb: number;
  usageReports: number;
  /** Its CPU usage before it was throttled; 0 if it isn't throttled. */
  cpuMillisBeforeThrottle: number;
  /** When a checkpoint was last requested; 0 if none was. */
  checkpointRequestedAt: number;
}
