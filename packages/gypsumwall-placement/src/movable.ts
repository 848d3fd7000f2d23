/** Which running tasks may be checkpointed so that others can run. */
import type * as types from '@gypsumwall/types';
import type * as bookRecords from './book_records.js';
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
export function isMovable(task: bookRecords.HeldRecord, now: number): boolean {
  return (
    task.spec.shape.kind === 'batch' &&
    task.spec.deadline === undefined &&
    task.spec.urgency !== 'urgent' &&
    !isBeingMoved(task, now)
  );
}

/** A checkpoint was asked for and may still come about. */
export function isBeingMoved(
  task: bookRecords.HeldRecord,
  now: number,
): boolean {
  return (
    task.checkpointAskedAt > 0 &&
    task.checkpointAskedAt + CHECKPOINT_EXPECTED_MS > now
  );
}

/** How urgent a running task is. */
export function rankOf(task: bookRecords.HeldRecord): number {
  return URGENCY_RANK[task.spec.urgency];
}

/** Notes and returns the checkpoint of a task. */
export function askCheckpoint(
  task: bookRecords.HeldRecord,
  now: number,
): placer.PreemptionAction {
  task.checkpointAskedAt = now;
  return {type: 'checkpoint', taskId: task.taskId};
}
