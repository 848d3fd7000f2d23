/** Polls accepted jobs until they have ended. */
import * as timers from 'node:timers/promises';
import type * as types from '@gypsumwall/types';
import type * as entryClient from './entry_client.js';

/** An accepted job. */
export interface AcceptedJob {
  readonly jobId: string;
  readonly token: string;
  readonly kind: types.job.JobShape['kind'];
}

const POLL_MS = 100;
/** Limits the parallel polls, so that polling doesn't add noticeable load. */
const MAX_CONCURRENT_POLLS = 8;

/**
 * Waits until every job has ended, or runs with all its replicas if it is a
 * service. Resolves to false if the deadline on `performance.now()` passes
 * first. `nextClient` returns the client for each poll.
 */
export async function waitForJobs(
  jobs: readonly AcceptedJob[],
  nextClient: () => entryClient.EntryClient,
  deadline: number,
): Promise<boolean> {
  let pending = [...jobs];
  while (pending.length > 0) {
    const polled = pending.slice(0, MAX_CONCURRENT_POLLS);
    const settled = await Promise.all(
      polled.map((job) => isSettled(job, nextClient)),
    );
    const unsettled = polled.filter((_, index) => settled[index] !== true);
    // Unsettled jobs move to the end, so that all are polled in turn.
    pending = [...pending.slice(MAX_CONCURRENT_POLLS), ...unsettled];
    if (pending.length === 0) break;
    if (performance.now() > deadline) return false;
    if (unsettled.length === polled.length) await timers.setTimeout(POLL_MS);
  }
  return true;
}

async function isSettled(
  job: AcceptedJob,
  nextClient: () => entryClient.EntryClient,
): Promise<boolean> {
  const view = await nextClient().job(job.token, job.jobId);
  if (view === undefined) return false;
  switch (view.state) {
    case 'done':
    case 'failed':
    case 'cancelled':
      return true;
    case 'queued':
      return false;
    case 'running':
      return job.kind === 'service' && view.running === view.tasks;
  }
}
