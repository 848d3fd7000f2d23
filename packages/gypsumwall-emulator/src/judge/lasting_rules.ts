/** Rules on tasks that last. */
import type * as history from '../model/history.js';
import * as jobCatalog from '../model/job_catalog.js';
import type * as finding from './finding.js';
import type * as taskRuns from './task_runs.js';

/** A task that lasts runs again within this, however its run ended. */
const LONGEST_ABSENCE_MS = 9_000;

/** Absences of lasting tasks of accepted jobs that took too long. */
export function findLongAbsences(
  events: readonly history.HistoryEvent[],
  runs: taskRuns.TaskRuns,
): finding.Finding[] {
  return lastingJobs(events).flatMap(({job, from, until}) =>
    jobCatalog.taskIdsOf(job).flatMap((taskId) => {
      const longest = longestAbsence(runs.get(taskId) ?? [], from, until);
      if (longest <= LONGEST_ABSENCE_MS) return [];
      const detail = `${taskId}: not at work for ${Math.round(longest)} ms`;
      return [{promise: 'lasting tasks run again in time' as const, detail}];
    }),
  );
}

interface LastingJob {
  readonly job: jobCatalog.JobSpec;
  readonly from: number;
  readonly until: number;
}

function lastingJobs(
  events: readonly history.HistoryEvent[],
): readonly LastingJob[] {
  const closedAt = events.at(-1)?.at ?? 0;
  return events.flatMap((event) => {
    if (event.type !== 'job_sent') return [];
    const {job} = event;
    if (!job.steps.every((step) => step.lasting)) return [];
    const accepted = events.find(
      (one) =>
        one.type === 'job_told' &&
        one.jobId === job.jobId &&
        one.told === 'accepted',
    );
    if (accepted === undefined) return [];
    const cancelled = events.find(
      (one) => one.type === 'cancel_sent' && one.jobId === job.jobId,
    );
    return [{job, from: accepted.at, until: cancelled?.at ?? closedAt}];
  });
}

/** The longest span without a run, in milliseconds. */
function longestAbsence(
  ofTask: readonly taskRuns.TaskRun[],
  from: number,
  until: number,
): number {
  let longest = 0;
  let absentFrom = from;
  for (const run of ofTask) {
    longest = Math.max(longest, run.startedAt - absentFrom);
    absentFrom = Math.max(absentFrom, run.endedAt);
  }
  return Math.max(longest, until - absentFrom);
}
