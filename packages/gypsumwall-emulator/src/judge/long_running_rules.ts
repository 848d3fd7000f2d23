/** Rules on long-running tasks. */
import type * as history from '../model/history.js';
import * as jobCatalog from '../model/job_catalog.js';
import type * as finding from './finding.js';
import type * as taskAttempts from './task_attempts.js';

/** A long-running task must be running again within this time after any end. */
const MAX_DOWNTIME_MS = 9_000;

/** Finds long-running tasks of accepted jobs that were down for too long. */
export function findLongDowntimes(
  events: readonly history.HistoryEvent[],
  attempts: taskAttempts.TaskAttempts,
): finding.Finding[] {
  return listLongRunningJobs(events).flatMap(({job, from, until}) =>
    jobCatalog.listTaskIds(job).flatMap((taskId) => {
      const downtimeMs = findLongestDowntime(
        attempts.get(taskId) ?? [],
        from,
        until,
      );
      if (downtimeMs <= MAX_DOWNTIME_MS) return [];
      const detail = `${taskId}: not at work for ${Math.round(downtimeMs)} ms`;
      return [{promise: 'lasting tasks run again in time' as const, detail}];
    }),
  );
}

interface LongRunningJob {
  readonly job: jobCatalog.JobSpec;
  readonly from: number;
  readonly until: number;
}

function listLongRunningJobs(
  events: readonly history.HistoryEvent[],
): readonly LongRunningJob[] {
  const closedAt = events.at(-1)?.at ?? 0;
  return events.flatMap((event) => {
    if (event.type !== 'job_sent') return [];
    const {job} = event;
    if (!job.steps.every((step) => step.lasting)) return [];
    const acceptedEvent = events.find(
      (one) =>
        one.type === 'job_told' &&
        one.jobId === job.jobId &&
        one.told === 'accepted',
    );
    if (acceptedEvent === undefined) return [];
    const cancelEvent = events.find(
      (one) => one.type === 'cancel_sent' && one.jobId === job.jobId,
    );
    return [{job, from: acceptedEvent.at, until: cancelEvent?.at ?? closedAt}];
  });
}

/** Returns the longest time without a running attempt, in milliseconds. */
function findLongestDowntime(
  attemptsOfTask: readonly taskAttempts.TaskAttempt[],
  from: number,
  until: number,
): number {
  let longestMs = 0;
  let downSince = from;
  for (const attempt of attemptsOfTask) {
    longestMs = Math.max(longestMs, attempt.startedAt - downSince);
    downSince = Math.max(downSince, attempt.endedAt);
  }
  return Math.max(longestMs, until - downSince);
}
