/** Runs of each task, from their start to their end at the worker. */
import type * as history from '../model/history.js';

/** One run. */
export interface TaskRun extends history.RunId {
  readonly workerId: string;
  readonly startedAt: number;
  /** Infinite while it runs on. */
  endedAt: number;
  /** `lost` with its worker. */
  how: history.RunEnd | 'lost' | 'running';
  /** When the system noted the end; infinite if it didn't. */
  notedAt: number;
}

/** Runs by task, in the order of their starts. */
export type TaskRuns = ReadonlyMap<string, readonly TaskRun[]>;

/** Collects the runs of a history. */
export function collectTaskRuns(
  events: readonly history.HistoryEvent[],
): TaskRuns {
  const byTask = new Map<string, TaskRun[]>();

  const find = (
    workerId: string,
    {taskId, attempt}: history.RunId,
  ): TaskRun | undefined =>
    byTask
      .get(taskId)
      ?.find((run) => run.workerId === workerId && run.attempt === attempt);

  function loseRunsOf(workerId: string, at: number): void {
    for (const run of [...byTask.values()].flat()) {
      if (run.workerId !== workerId || run.how !== 'running') continue;
      run.endedAt = at;
      run.how = 'lost';
    }
  }

  for (const event of events) {
    if (event.type === 'run_started') {
      const {taskId, attempt, workerId, at} = event;
      const run: TaskRun = {
        taskId,
        attempt,
        workerId,
        startedAt: at,
        endedAt: Infinity,
        how: 'running',
        notedAt: Infinity,
      };
      byTask.set(taskId, [...(byTask.get(taskId) ?? []), run]);
    } else if (event.type === 'run_ended') {
      const run = find(event.workerId, event);
      if (run === undefined) continue;
      run.endedAt = event.at;
      run.how = event.how;
    } else if (event.type === 'end_acknowledged') {
      const run = find(event.workerId, event);
      if (run !== undefined) run.notedAt = event.at;
    } else if (
      event.type === 'worker_left' ||
      event.type === 'worker_crashed'
    ) {
      loseRunsOf(event.workerId, event.at);
    }
  }
  return byTask;
}

/** Whether one of a task's runs had ended `done` by the moment. */
export function isDoneBy(ofTask: readonly TaskRun[], at: number): boolean {
  return ofTask.some((run) => run.how === 'done' && run.endedAt <= at);
}
