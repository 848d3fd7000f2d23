/** Tasks that occupy resources on workers, with their worker and phase. */
import type * as types from '@gypsumwall/types';

/** A task that occupies resources on a worker. */
export interface ActiveTask {
  readonly taskId: types.ids.TaskId;
  readonly attempt: types.ids.AttemptId;
  readonly workerId: types.ids.WorkerId;
  readonly size: types.resources.Resources;
  /** `recording`: it has ended, and its result is being appended to the log. */
  phase: 'starting' | 'running' | 'stopping' | 'recording';
  startedAt: types.clock.MonotonicMs;
}

/** Active tasks by id, worker and job. */
export interface TaskTable {
  get(taskId: types.ids.TaskId): ActiveTask | undefined;
  /** The task, if the given attempt is its active one. */
  getAttempt(
    taskId: types.ids.TaskId,
    attempt: types.ids.AttemptId,
  ): ActiveTask | undefined;
  add(task: ActiveTask): void;
  remove(task: ActiveTask): void;
  onWorker(workerId: types.ids.WorkerId): readonly ActiveTask[];
  ofJob(jobId: types.ids.JobId): readonly ActiveTask[];
  size(): number;
}

/** Creates an empty table. */
export function createTaskTable(
  jobOf: (taskId: types.ids.TaskId) => types.ids.JobId,
): TaskTable {
  const byId = new Map<types.ids.TaskId, ActiveTask>();
  const byWorker = new Map<types.ids.WorkerId, Set<ActiveTask>>();
  const byJob = new Map<types.ids.JobId, Set<ActiveTask>>();
  return {
    get: (taskId) => byId.get(taskId),
    getAttempt: (taskId, attempt) => {
      const task = byId.get(taskId);
      return task?.attempt === attempt ? task : undefined;
    },
    add: (task) => {
      byId.set(task.taskId, task);
      addTo(byWorker, task.workerId, task);
      addTo(byJob, jobOf(task.taskId), task);
    },
    remove: (task) => {
      byId.delete(task.taskId);
      removeFrom(byWorker, task.workerId, task);
      removeFrom(byJob, jobOf(task.taskId), task);
    },
    onWorker: (workerId) => [...(byWorker.get(workerId) ?? [])],
    ofJob: (jobId) => [...(byJob.get(jobId) ?? [])],
    size: () => byId.size,
  };
}

function addTo<Key>(
  table: Map<Key, Set<ActiveTask>>,
  key: Key,
  task: ActiveTask,
): void {
  const set = table.get(key) ?? new Set();
  table.set(key, set.add(task));
}

function removeFrom<Key>(
  table: Map<Key, Set<ActiveTask>>,
  key: Key,
  task: ActiveTask,
): void {
  const set = table.get(key);
  set?.delete(task);
  if (set?.size === 0) table.delete(key);
}
