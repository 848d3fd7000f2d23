/** Every attempt that may run on a worker, by id and by worker. */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as workerRegistry from './worker_registry.js';

/**
 * The attempts of a cell. The caller of `add` reserves the capacity; `remove`
 * releases it.
 */
export interface AttemptTable {
  add(attempt: activeJob.Attempt): void;
  find(
    taskId: types.ids.TaskId,
    attemptNumber: number,
    worker: types.ids.WorkerId,
  ): activeJob.Attempt | undefined;
  ofWorker(worker: types.ids.WorkerId): ReadonlySet<activeJob.Attempt>;
  /** Removes an attempt and releases its capacity. */
  remove(attempt: activeJob.Attempt): void;
  has(attempt: activeJob.Attempt): boolean;
  size(): number;
  values(): Iterable<activeJob.Attempt>;
}

const NO_ATTEMPTS: ReadonlySet<activeJob.Attempt> = new Set();

/** Creates an empty table for the workers of a registry. */
export function createAttemptTable(
  registry: workerRegistry.WorkerRegistry,
): AttemptTable {
  const byKey = new Map<string, activeJob.Attempt>();
  const byWorker = new Map<types.ids.WorkerId, Set<activeJob.Attempt>>();
  const keyOf = (taskId: string, attemptNumber: number, worker: string) =>
    `${taskId}#${attemptNumber}@${worker}`;
  const keyOfAttempt = (attempt: activeJob.Attempt) =>
    keyOf(attempt.taskId, attempt.number, attempt.workerId);

  return {
    add(attempt) {
      byKey.set(keyOfAttempt(attempt), attempt);
      const attempts =
        byWorker.get(attempt.workerId) ?? new Set<activeJob.Attempt>();
      byWorker.set(attempt.workerId, attempts.add(attempt));
      attempt.task?.stepRun.attempts.add(attempt);
    },
    find: (taskId, attemptNumber, worker) =>
      byKey.get(keyOf(taskId, attemptNumber, worker)),
    ofWorker: (worker) => byWorker.get(worker) ?? NO_ATTEMPTS,
    remove(attempt) {
      if (!byKey.delete(keyOfAttempt(attempt))) return;
      const attempts = byWorker.get(attempt.workerId);
      attempts?.delete(attempt);
      if (attempts?.size === 0) byWorker.delete(attempt.workerId);
      attempt.task?.stepRun.attempts.delete(attempt);
      registry.release(attempt.workerId, attempt);
    },
    has: (attempt) => byKey.get(keyOfAttempt(attempt)) === attempt,
    size: () => byKey.size,
    values: () => byKey.values(),
  };
}
