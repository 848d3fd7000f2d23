/** Every run that may be on a worker, by its id and by worker. */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as workerRegistry from './worker_registry.js';

/** The runs of a cell. Room is booked by whoever adds, and given back here. */
export interface AttemptTable {
  add(run: activeJob.Attempt): void;
  find(
    taskId: types.ids.TaskId,
    attempt: number,
    worker: types.ids.WorkerId,
  ): activeJob.Attempt | undefined;
  ofWorker(worker: types.ids.WorkerId): ReadonlySet<activeJob.Attempt>;
  /** Forgets a run and gives its room back. */
  remove(run: activeJob.Attempt): void;
  has(run: activeJob.Attempt): boolean;
  size(): number;
}

const NO_RUNS: ReadonlySet<activeJob.Attempt> = new Set();

/** Creates an empty table over the given books. */
export function createAttemptTable(
  book: workerRegistry.WorkerRegistry,
): AttemptTable {
  const byKey = new Map<string, activeJob.Attempt>();
  const byWorker = new Map<types.ids.WorkerId, Set<activeJob.Attempt>>();
  const keyOf = (taskId: string, attempt: number, worker: string) =>
    `${taskId}#${attempt}@${worker}`;
  const keyOfRun = (run: activeJob.Attempt) =>
    keyOf(run.taskId, run.number, run.workerId);

  return {
    add(run) {
      byKey.set(keyOfRun(run), run);
      const runs = byWorker.get(run.workerId) ?? new Set<activeJob.Attempt>();
      byWorker.set(run.workerId, runs.add(run));
      run.task?.stepRun.attempts.add(run);
    },
    find: (taskId, attempt, worker) =>
      byKey.get(keyOf(taskId, attempt, worker)),
    ofWorker: (worker) => byWorker.get(worker) ?? NO_RUNS,
    remove(run) {
      if (!byKey.delete(keyOfRun(run))) return;
      const runs = byWorker.get(run.workerId);
      runs?.delete(run);
      if (runs?.size === 0) byWorker.delete(run.workerId);
      run.task?.stepRun.attempts.delete(run);
      book.release(run.workerId, run.stepRunId, run.size);
    },
    has: (run) => byKey.get(keyOfRun(run)) === run,
    size: () => byKey.size,
  };
}
