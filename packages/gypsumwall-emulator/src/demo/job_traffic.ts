/** Sends jobs to an emulated cell and waits for them to finish. */
import * as types from '@gypsumwall/types';
import type * as history from '../model/history.js';
import * as jobCatalog from '../model/job_catalog.js';
import type * as emulatedCell from '../rig/emulated_cell.js';

const POLL_MS = 200;

/**
 * Sends jobs at a fixed interval, without waiting for earlier ones, until
 * aborted. Resolves to the sent jobs once all submissions have an answer.
 */
export async function sendPeriodically(
  cell: emulatedCell.EmulatedCell,
  createJob: () => jobCatalog.JobSpec,
  intervalMs: number,
  stopSending: AbortController,
): Promise<jobCatalog.JobSpec[]> {
  const sent: jobCatalog.JobSpec[] = [];
  const pending: Promise<unknown>[] = [];
  while (!stopSending.signal.aborted) {
    const job = createJob();
    sent.push(job);
    pending.push(cell.callers.submit(job));
    await types.clock.sleepFor(cell.clock, intervalMs, stopSending.signal);
  }
  await Promise.all(pending);
  return sent;
}

/**
 * Polls the accepted jobs until all have their expected final state, or until
 * the deadline.
 */
export async function waitForFinalStates(
  cell: emulatedCell.EmulatedCell,
  jobs: readonly jobCatalog.JobSpec[],
  deadline: types.clock.MonotonicMs,
): Promise<void> {
  const acceptedIds = new Set(
    cell.model.history
      .events()
      .flatMap((event) =>
        event.type === 'job_told' && event.told === 'accepted'
          ? [event.jobId]
          : [],
      ),
  );
  let unfinished = jobs.filter((job) => acceptedIds.has(job.jobId));
  while (unfinished.length > 0 && cell.clock.monotonic() < deadline) {
    const states = await Promise.all(
      unfinished.map((job) => cell.callers.stateOf(job)),
    );
    unfinished = unfinished.filter(
      (job, nth) => !hasReachedFinalState(job, states[nth]),
    );
    if (unfinished.length > 0) await types.clock.sleepFor(cell.clock, POLL_MS);
  }
}

/** The expected state of a long-running job is `running`, as it never ends. */
function hasReachedFinalState(
  job: jobCatalog.JobSpec,
  state: history.JobState | undefined,
): boolean {
  return state === jobCatalog.expectedFinalState(job);
}
