/** Implements `job status`, `job result`, `job cancel` and `job list`. */
import * as timers from 'node:timers/promises';
import type * as types from '@gypsumwall/types';
import * as callEntry from './call_entry.js';
import type * as callFlags from './call_flags.js';
import * as entryClient from './entry_client.js';
import * as fail from './fail.js';

type JobView = types.job.JobView;

/** Flags of a command that reads a job. */
export interface JobFlags extends callFlags.CallFlags {
  readonly json: boolean;
}

/** Interval at which `job result` polls a job that has not ended. */
const POLL_INTERVAL_MS = 250;

/** Prints the state of a job. */
export async function showJob(
  jobId: string,
  flags: JobFlags,
  print: callFlags.Print,
): Promise<void> {
  const view = await readJob(entryClient.createEntryClient(flags), jobId);
  print(flags.json ? JSON.stringify(view, null, 2) : describeJob(view));
}

/** Prints the jobs of the caller's team, in the entry's failure domain. */
export async function listJobs(
  flags: JobFlags,
  print: callFlags.Print,
): Promise<void> {
  const client = entryClient.createEntryClient(flags);
  const call = {method: 'GET', path: '/v1/jobs'} as const;
  const body = (await callEntry.callForJson(client, call)) as {
    failureDomain: string;
    jobs: JobView[];
  };
  if (flags.json) return print(JSON.stringify(body, null, 2));
  print(`failure domain ${body.failureDomain}: ${body.jobs.length} job(s)`);
  body.jobs.forEach((view) => print(describeJob(view)));
}

/** Requests the cancellation of a job; its tasks stop later. */
export async function cancelJob(
  jobId: string,
  flags: JobFlags,
  print: callFlags.Print,
): Promise<void> {
  const client = entryClient.createEntryClient(flags);
  await callEntry.callForJson(client, {method: 'DELETE', path: jobPath(jobId)});
  const message = flags.json ? JSON.stringify({jobId}) : `${jobId}: cancelling`;
  print(message);
}

/**
 * Prints the results of a job's tasks, one per line. Waits at most `wait-ms` for
 * the end of the job. Unless the job is done, the command ends with an error.
 */
export async function printResults(
  jobId: string,
  flags: JobFlags & {readonly 'wait-ms': number},
  print: callFlags.Print,
): Promise<void> {
  const client = entryClient.createEntryClient(flags);
  const waitUntil = performance.now() + flags['wait-ms'];
  let view = await readJob(client, jobId);
  while (isUnfinished(view) && performance.now() < waitUntil) {
    await timers.setTimeout(POLL_INTERVAL_MS);
    view = await readJob(client, jobId);
  }
  if (view.state !== 'done') return failWithoutResults(view);
  if (flags.json) return print(JSON.stringify(view.results, null, 2));
  view.results.forEach((taskResult) => print(taskResult));
}

function failWithoutResults(view: JobView): never {
  const remedy = isUnfinished(view)
    ? 'Wait longer with --wait-ms.'
    : 'It has no results.';
  return fail.fail('failed', `${describeJob(view)}. ${remedy}`);
}

function isUnfinished(view: JobView): boolean {
  switch (view.state) {
    case 'queued':
    case 'running':
      return true;
    case 'done':
    case 'failed':
    case 'cancelled':
      return false;
  }
}

async function readJob(
  client: entryClient.EntryClient,
  jobId: string,
): Promise<JobView> {
  const call = {method: 'GET', path: jobPath(jobId)} as const;
  return (await callEntry.callForJson(client, call)) as JobView;
}

function jobPath(jobId: string): string {
  return `/v1/jobs/${encodeURIComponent(jobId)}`;
}

function describeJob(view: JobView): string {
  const counts =
    `${view.finished}/${view.tasks} finished, ${view.running} running, ` +
    `${view.failed} failed`;
  const message = view.message === '' ? '' : `: ${view.message}`;
  return `${view.jobId}  ${view.kind}  ${view.state}  (${counts})${message}`;
}
