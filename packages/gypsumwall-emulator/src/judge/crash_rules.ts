/** Rules on tasks that crash their workers. */
import type * as history from '../model/history.js';
import type * as finding from './finding.js';
import type * as taskAttempts from './task_attempts.js';

/** Number of crashes caused by a task after which its starts are limited. */
const MAX_CRASHES = 3;
/** Number of starts that a task may still have after these crashes. */
const MAX_STARTS_AFTER_CRASHES = 2;

/** Finds tasks that are started too often although they crash their workers. */
export function findCrashLoops(
  events: readonly history.HistoryEvent[],
  attempts: taskAttempts.TaskAttempts,
): finding.Finding[] {
  const crashTimesByTask = new Map<string, number[]>();
  for (const event of events) {
    if (event.type !== 'worker_crashed' || event.culprit === undefined)
      continue;
    const crashTimes = crashTimesByTask.get(event.culprit) ?? [];
    crashTimesByTask.set(event.culprit, [...crashTimes, event.at]);
  }
  return [...crashTimesByTask].flatMap(([taskId, crashTimes]) => {
    const limitedFrom = crashTimes[MAX_CRASHES - 1];
    if (limitedFrom === undefined) return [];
    const attemptsOfTask = attempts.get(taskId) ?? [];
    const startsAfter = attemptsOfTask.filter(
      (attempt) => attempt.startedAt > limitedFrom,
    ).length;
    if (startsAfter <= MAX_STARTS_AFTER_CRASHES) return [];
    const detail = `${taskId}: ${startsAfter} starts after ${MAX_CRASHES} crashes under it`;
    return [
      {promise: 'tasks that crash workers are given up' as const, detail},
    ];
  });
}
