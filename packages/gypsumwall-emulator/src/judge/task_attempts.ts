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
      ?.find(
        (candidate) =>
          candidate.workerId === workerId && candidate.attempt === attempt,
      );

  function markAttemptsLost(workerId: string, at: number): void {
    for (const attempt of [...byTask.values()].flat()) {
      if (attempt.workerId !== workerId || attempt.how !== 'running') continue;
      attempt.endedAt = at;
      attempt.how = 'lost';
    }
  }

  for (const event of events) {
    if (event.type === 'run_started') {
      const {taskId, attempt, workerId, at} = event;
      const started: TaskAttempt = {
        taskId,
        attempt,
        workerId,
        startedAt: at,
        endedAt: Infinity,
        how: 'running',
        acknowledgedAt: Infinity,
      };
      byTask.set(taskId, [...(byTask.get(taskId) ?? []), started]);
    } else if (event.type === 'run_ended') {
      const found = findAttempt(event.workerId, event);
      if (found === undefined) continue;
      found.endedAt = event.at;
      found.how = event.how;
    } else if (event.type === 'end_acknowledged') {
      const found = findAttempt(event.workerId, event);
      if (found !== undefined) found.acknowledgedAt = event.at;
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
  time: number,
): boolean {
  return attempts.some(
    (attempt) => attempt.how === 'done' && attempt.endedAt <= time,
  );
}
