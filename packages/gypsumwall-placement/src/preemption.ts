/** Which running tasks may be checkpointed so that others can run. */
import type * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';
import type * as placer from './placer.js';

/** A checkpoint that had no effect by then is asked for again. */
export const CHECKPOINT_EXPECTED_MS = 10_000;

/** Lower is taken from first. */
export const URGENCY_RANK: Readonly<Record<types.job.Urgency, number>> = {
  overnight: 0,
  normal: 1,
  urgent: 2,
};

/**
 * Only batch work without a deadline is moved: a gang would lose all its
 * tasks, a service its replica, and a deadline its slack.
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

/** A checkpoint was asked for and may still come about. */
export function isCheckpointPending(
  task: allocationState.TaskAllocation,
  now: number,
): boolean {
  return (
    task.checkpointRequestedAt > 0 &&
    task.checkpointRequestedAt + CHECKPOINT_EXPECTED_MS > now
  );
}

/** How urgent a running task is. */
export function urgencyRankOf(task: allocationState.TaskAllocation): number {
  return URGENCY_RANK[task.spec.urgency];
}

/** Notes and returns the checkpoint of a task. */
export function requestCheckpoint(
  task: allocationState.TaskAllocation,
  now: number,
): placer.Relief {
  task.checkpointRequestedAt = now;
  return {type: 'checkpoint', taskId: task.taskId};
}
