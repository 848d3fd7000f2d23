/**
 * Decides from the record of a simulated world whether a job may be shown as
 * failed. What a scheduler remembers or logs is no evidence.
 */
import * as assert from 'node:assert/strict';
import type * as types from '@gypsumwall/types';
import type * as jobRequest from '../job_request.js';

/** A task under which this many workers have crashed may be given up. */
export const MIN_CRASHES_TO_GIVE_UP = 2;

/** What really happened on the workers of a world. */
export interface WorldRecord {
  /** Attempts that ended `failed` at their worker. */
  readonly failures: readonly {
    readonly taskId: types.ids.TaskId;
    readonly attempt: number;
  }[];
  /** Crashes of workers, with the tasks that ran there. */
  readonly crashes: readonly {readonly tasks: readonly types.ids.TaskId[]}[];
}

/** A job as it was submitted. */
export interface SubmittedJob {
  readonly id: types.ids.JobId;
  readonly request: jobRequest.JobRequest;
  readonly policy: jobRequest.QueuePolicy;
}

/** Returns the largest number of crashes of one task of a job. */
export function maxCrashesUnder(
  id: types.ids.JobId,
  {crashes}: WorldRecord,
): number {
  const taskIds = crashes.flatMap(({tasks}) => [...new Set(tasks)]);
  return largestCount(taskIds.filter((taskId) => taskId.startsWith(`${id}.`)));
}

/**
 * Returns the largest number of failed attempts of one task of a job, or of one
 * of its gangs. Long-running tasks may fail any number of times.
 */
function maxFailuresUnder(
  {id, request}: SubmittedJob,
  {failures}: WorldRecord,
): number {
  const counters = new Map<string, string>();
  for (const {taskId, attempt} of failures) {
    const [jobId, occurrence, step] = taskId.split('.');
    const {gang, longRunning} = request.steps[Number(step)] ?? {};
    if (jobId !== id || longRunning === true) continue;
    const counted =
      gang === true ? `${jobId}.${occurrence}.${step}` : `${taskId}`;
    counters.set(`${counted}#${attempt}`, counted);
  }
  return largestCount([...counters.values()]);
}

function largestCount(keys: readonly string[]): number {
  const counts = new Map<string, number>();
  for (const key of keys) counts.set(key, (counts.get(key) ?? 0) + 1);
  return Math.max(0, ...counts.values());
}

/**
 * Checks that a failed job had a task that really failed as often as its queue
 * allows, or under which two workers really crashed.
 */
export function assertFailureCause(
  job: SubmittedJob,
  record: WorldRecord,
): void {
  const failures = maxFailuresUnder(job, record);
  const crashes = maxCrashesUnder(job.id, record);
  assert.ok(
    failures >= job.policy.maxFailures || crashes >= MIN_CRASHES_TO_GIVE_UP,
    `${job.id} has failed after ${failures} failures and ${crashes} crashes`,
  );
}
