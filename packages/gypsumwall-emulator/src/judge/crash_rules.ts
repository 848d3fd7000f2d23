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
  const crashedAt = new Map<string, number[]>();
  for (const event of events) {
    if (event.type !== 'worker_crashed' || event.culprit === undefined)
      continue;
    const times = crashedAt.get(event.culprit) ?? [];
    crashedAt.set(event.culprit, [...times, event.at]);
  }
  return [...crashedAt].flatMap(([taskId, times]) => {
    const lastAt = times[MAX_CRASHES - 1];
    if (lastAt === undefined) return [];
    const ofTask = attempts.get(taskId) ?? [];
    const after = ofTask.filter((run) => run.startedAt > lastAt).length;
    if (after <= MAX_STARTS_AFTER_CRASHES) return [];
    const detail = `${taskId}: ${after} starts after ${MAX_CRASHES} crashes under it`;
    return [
      {promise: 'tasks that crash workers are given up' as const, detail},
    ];
  });
}
