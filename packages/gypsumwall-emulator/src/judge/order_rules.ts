/** Rules on the order of a job's steps. */
import type * as history from '../model/history.js';
import type * as jobCatalog from '../model/job_catalog.js';
import type * as finding from './finding.js';
import * as taskAttempts from './task_attempts.js';

/** Finds starts of tasks before the steps that they depend on were done. */
export function findEarlyStarts(
  events: readonly history.HistoryEvent[],
  attempts: taskAttempts.TaskAttempts,
): finding.Finding[] {
  const jobs = new Map(
    events.flatMap((event) =>
      event.type === 'job_sent' ? [[event.job.jobId, event.job] as const] : [],
    ),
  );
  return events.flatMap((event) => {
    if (event.type !== 'run_started') return [];
    const [jobId = '', , step = ''] = event.taskId.split('.');
    const unfinishedTaskId = listPrerequisiteTaskIds(
      jobs.get(jobId),
      Number(step),
    ).find(
      (taskId) => !taskAttempts.isDoneBy(attempts.get(taskId) ?? [], event.at),
    );
    if (unfinishedTaskId === undefined) return [];
    const detail = `${event.taskId} began before ${unfinishedTaskId} was done`;
    return [{promise: 'steps keep their order', detail}];
  });
}

/** Lists the ids of all tasks that must be done before a step starts. */
function listPrerequisiteTaskIds(
  job: jobCatalog.JobSpec | undefined,
  step: number,
): string[] {
  const prerequisites = job?.steps[step]?.after ?? [];
  return prerequisites.flatMap((earlier) => {
    const taskCount = job?.steps[earlier]?.taskCount ?? 0;
    return Array.from(
      {length: taskCount},
      (_, index) => `${job?.jobId}.0.${earlier}.${index}`,
    );
  });
}
