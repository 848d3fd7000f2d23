/** Counts the replicas of each service in each rack. */
import * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';

/** The numbers of replicas by service and rack. */
export interface RackReplicas {
  adjust(task: allocationState.TaskAllocation, sign: 1 | -1): void;
  replicasByRack(
    jobId: types.ids.JobId,
  ): ReadonlyMap<types.ids.RackId, number> | undefined;
}

/** Creates empty counts. Tasks of batch jobs and gangs are ignored. */
export function createRackReplicas(): RackReplicas {
  const services = new Map<types.ids.JobId, Map<types.ids.RackId, number>>();

  return {
    adjust(task, sign) {
      if (task.spec.shape.kind !== 'service') return;
      const {jobId} = types.ids.splitTaskId(task.taskId);
      const racks = services.get(jobId) ?? new Map<types.ids.RackId, number>();
      services.set(jobId, racks);
      const {rack} = task.worker;
      const count = (racks.get(rack) ?? 0) + sign;
      if (count > 0) racks.set(rack, count);
      else racks.delete(rack);
      if (racks.size === 0) services.delete(jobId);
    },
    replicasByRack: (jobId) => services.get(jobId),
  };
}
