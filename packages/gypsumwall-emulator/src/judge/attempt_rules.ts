/** Rules on single attempts. */
import type * as history from '../model/history.js';
import type * as finding from './finding.js';
import type * as taskAttempts from './task_attempts.js';

/**
 * Finds attempts that overlap with another attempt of the task, or that start
 * after one was `done` and its end was acknowledged.
 */
export function findOverlappingAttempts(
  attempts: taskAttempts.TaskAttempts,
): finding.Finding[] {
  return [...attempts.values()].flatMap((attemptsOfTask) =>
    attemptsOfTask.flatMap((attempt, nth) =>
      attemptsOfTask
        .slice(0, nth)
        .flatMap((earlier) => compareAttempts(earlier, attempt)),
    ),
  );
}

function compareAttempts(
  earlier: taskAttempts.TaskAttempt,
  later: taskAttempts.TaskAttempt,
): finding.Finding[] {
  const promise = 'no task runs twice at a time';
  const description = `${later.taskId}: attempt ${later.attempt} on ${later.workerId}`;
  if (earlier.endedAt > later.startedAt) {
    const detail = `${description} began beside attempt ${earlier.attempt} on ${earlier.workerId}`;
    return [{promise, detail}];
  }
  if (earlier.how !== 'done' || earlier.acknowledgedAt === Infinity) return [];
  const detail = `${description} began after attempt ${earlier.attempt} was done`;
  return [{promise, detail}];
}

/**
 * Finds starts of tasks of refused jobs, and starts that workers recorded as
 * unasked, such as unknown tasks or starts beyond a worker's capacity.
 */
export function findUnaskedStarts(
  events: readonly history.HistoryEvent[],
): finding.Finding[] {
  const promise = 'nothing runs that was not asked for';
  const refusedJobIds = new Set(
    events.flatMap((event) =>
      event.type === 'job_told' && event.told === 'refused'
        ? [event.jobId]
        : [],
    ),
  );
  return events.flatMap((event) => {
    if (event.type === 'start_unasked') {
      const detail = `${event.taskId} on ${event.workerId}: ${event.reason}`;
      return [{promise, detail}];
    }
    if (event.type !== 'run_started') return [];
    const jobId = event.taskId.split('.', 1)[0] ?? '';
    if (!refusedJobIds.has(jobId)) return [];
    return [{promise, detail: `${event.taskId}: its job was refused`}];
  });
}
