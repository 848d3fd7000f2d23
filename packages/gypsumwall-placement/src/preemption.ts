/** Which running tasks may be preempted, by checkpointing them. */
import type * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';
import type * as placer from './placer.js';

/** A checkpoint without effect after this time may be requested again. */
export const CHECKPOINT_RETRY_AFTER_MS = 10_000;

/** Tasks of lower rank are preempted first. */
export const URGENCY_RANK: Readonly<Record<types.job.Urgency, number>> = {
  overnight: 0,
  normal: 1,
  urgent: 2,
};

/**
 * Only batch tasks without a deadline are preempted. Preempting one task of a
 * gang would stop all of them, a service would lose a replica, and a job with a
 * deadline might miss it.
 */
export function isPreemptible(
  task: allocationState.TaskAllocation,
  now: number,
): boolean {
  return (
    task.spec.shape.kind === 'batch' &&
    task.spec.deadline === undefined &&
    task.spec.urgency !== 'urgent' &&
    !isCheckpointPending(task, now)
  );
}

/** Whether a checkpoint was requested that may still take effect. */
export function isCheckpointPending(
  task: allocationState.TaskAllocation,
  now: number,
): boolean {
  return (
    task.checkpointRequestedAt > 0 &&
    task.checkpointRequestedAt + CHECKPOINT_RETRY_AFTER_MS > now
  );
}

/** The rank of a running task by its urgency. */
export function urgencyRankOf(task: allocationState.TaskAllocation): number {
  return URGENCY_RANK[task.spec.urgency];
}

/** Marks a task as being checkpointed and returns the action for its worker. */
export function requestCheckpoint(
  task: allocationState.TaskAllocation,
  now: number,
): placer.PreemptionAction {
  task.checkpointRequestedAt = now;
  return {type: 'checkpoint', taskId: task.taskId};
}
