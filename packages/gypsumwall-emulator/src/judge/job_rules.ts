/** Rules on the states of jobs that callers see. */
import type * as history from '../model/history.js';
import * as jobCatalog from '../model/job_catalog.js';
import type * as finding from './finding.js';
import * as taskAttempts from './task_attempts.js';

interface ObservedJob {
  readonly job: jobCatalog.JobSpec;
  acceptedAt: number;
  cancelled: boolean;
  readonly states: {state: history.JobState; at: number}[];
}

/** Time after which every entry must know an accepted job. */
const VISIBILITY_DELAY_MS = 3_000;

/**
 * Finds accepted jobs that an entry doesn't know, that don't have their
 * expected state at the end of the history, or that are shown as completed
 * before all their tasks are done.
 */
export function findLostJobs(
  events: readonly history.HistoryEvent[],
  attempts: taskAttempts.TaskAttempts,
): finding.Finding[] {
  return [...collectJobs(events).values()]
    .filter((observed) => observed.acceptedAt < Infinity && !observed.cancelled)
    .flatMap((observed) => listFaults(observed, attempts))
    .map((detail) => ({promise: 'nothing accepted is lost', detail}));
}

function collectJobs(
  events: readonly history.HistoryEvent[],
): Map<string, ObservedJob> {
  const jobs = new Map<string, ObservedJob>();
  for (const event of events) {
    if (event.type === 'job_sent') {
      const {job} = event;
      const observed = {
        job,
        acceptedAt: Infinity,
        cancelled: false,
        states: [],
      };
      jobs.set(job.jobId, observed);
    } else if (event.type === 'job_told') {
      const observed = jobs.get(event.jobId);
      if (observed && event.told === 'accepted') observed.acceptedAt = event.at;
    } else if (event.type === 'cancel_sent') {
      const observed = jobs.get(event.jobId);
      if (observed) observed.cancelled = true;
    } else if (event.type === 'state_shown') {
      jobs.get(event.jobId)?.states.push({state: event.state, at: event.at});
    }
  }
  return jobs;
}

function listFaults(
  observed: ObservedJob,
  attempts: taskAttempts.TaskAttempts,
): string[] {
  const {job, states, acceptedAt} = observed;
  const faults: string[] = [];
  const isUnknownLater = states.some(
    ({state, at}) =>
      state === 'absent' && at > acceptedAt + VISIBILITY_DELAY_MS,
  );
  if (isUnknownLater) faults.push(`${job.jobId}: accepted, later unknown`);
  const lastState = states.at(-1)?.state;
  const expectedState = jobCatalog.expectedFinalState(job);
  if (lastState !== expectedState) {
    faults.push(
      `${job.jobId}: ${lastState ?? 'no state'} at the end, not ${expectedState}`,
    );
  }
  const completedAt = states.find(({state}) => state === 'completed')?.at;
  if (completedAt === undefined) return faults;
  const unfinishedTaskIds = jobCatalog
    .listTaskIds(job)
    .filter(
      (taskId) =>
        !taskAttempts.isDoneBy(attempts.get(taskId) ?? [], completedAt),
    );
  if (unfinishedTaskIds.length > 0) {
    faults.push(
      `${job.jobId}: completed, and not ${unfinishedTaskIds.join(', ')}`,
    );
  }
  return faults;
}
