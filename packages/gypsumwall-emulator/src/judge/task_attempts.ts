/** The attempts of each task, from their start to their end at the worker. */
import type * as history from '../model/history.js';

/** One attempt. */
export interface TaskAttempt extends history.AttemptId {
  readonly workerId: string;
  readonly startedAt: number;
  /** Infinite while the attempt is running. */
  endedAt: number;
  /** `lost` if the worker ended before the attempt. */
  how: history.AttemptEnd | 'lost' | 'running';
  /** When the system acknowledged the end; infinite if it didn't. */
  acknowledgedAt: number;
}

/** Attempts by task id, in the order of their starts. */
export type TaskAttempts = ReadonlyMap<string, readonly TaskAttempt[]>;

/** Collects the attempts of a history. */
export function collectTaskAttempts(
  events: readonly history.HistoryEvent[],
): TaskAttempts {
  const byTask = new Map<string, TaskAttempt[]>();

  const findAttempt = (
    workerId: string,
    {taskId, attempt}: history.AttemptId,
  ): TaskAttempt | undefined =>
    byTask
      .get(taskId)
      ?.find((run) => run.workerId === workerId && run.attempt === attempt);

  function markAttemptsLost(workerId: string, at: number): void {
    for (const run of [...byTask.values()].flat()) {
      if (run.workerId !== workerId || run.how !== 'running') continue;
      run.endedAt = at;
      run.how = 'lost';
    }
  }

  for (const event of events) {
    if (event.type === 'run_started') {
      const {taskId, attempt, workerId, at} = event;
      const run: TaskAttempt = {
        taskId,
        attempt,
        workerId,
        startedAt: at,
        endedAt: Infinity,
        how: 'running',
        acknowledgedAt: Infinity,
      };
      byTask.set(taskId, [...(byTask.get(taskId) ?? []), run]);
    } else if (event.type === 'run_ended') {
      const run = findAttempt(event.workerId, event);
      if (run === undefined) continue;
      run.endedAt = event.at;
      run.how = event.how;
    } else if (event.type === 'end_acknowledged') {
      const run = findAttempt(event.workerId, event);
      if (run !== undefined) run.acknowledgedAt = event.at;
    } else if (
      event.type === 'worker_left' ||
      event.type === 'worker_crashed'
    ) {
      markAttemptsLost(event.workerId, event.at);
    }
  }
  return byTask;
}

/** Whether one of a task's attempts was `done` at the given time. */
export function isDoneBy(
  attempts: readonly TaskAttempt[],
  at: number,
): boolean {
  return attempts.some((run) => run.how === 'done' && run.endedAt <= at);
}
