/**
 * Drops records from the store that are no longer needed: the request of a
 * finished job at once, and all its other records after the retention period.
 * Only the holder does this.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as cellHolderTypes from './cell_holder_types.js';
import type * as jobTable from './job_table.js';
import * as ports from './ports.js';
import * as storeRecords from './store_records.js';

/**
 * Interval at which the requests of finished jobs are dropped. An entry that
 * starts loads the remaining ones, which takes a millisecond per job;
 * milliseconds.
 */
const RETENTION_INTERVAL_MS = 1_000;
/** Timeout of an append; milliseconds. */
const APPEND_TIMEOUT_MS = 600;
/**
 * Latency of appends above which nothing is dropped, so that the appends of
 * jobs don't wait for it; milliseconds.
 */
const MAX_APPEND_LATENCY_MS = 60;

/**
 * Maximum number of records in one append, so that a burst of finished jobs
 * can't exceed its timeout.
 */
const MAX_APPEND_RECORDS = 500;

/** Dependencies of the retention. */
export interface RetentionParts {
  readonly jobsLog: ports.KeyedLog;
  readonly jobs: jobTable.JobTable;
  /** The holder in this process, if it holds the cell. */
  readonly holder: () => cellHolderTypes.CellHolder | undefined;
  /** Recent latency of appends in milliseconds, if it is known. */
  readonly appendLatencyMs: () => number | undefined;
  /** How long the state of a finished job can be queried; milliseconds. */
  readonly retentionMs: () => number;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
}

/** Drops records until the signal aborts. */
export async function runRetention(
  parts: RetentionParts,
  signal: AbortSignal,
): Promise<void> {
  const {jobs, clock, logger} = parts;

  /** Finished jobs whose requests haven't been dropped yet. */
  let endedJobs: types.ids.JobId[] = [];

  async function run(): Promise<void> {
    while (!signal.aborted) {
      await types.clock.sleepFor(clock, RETENTION_INTERVAL_MS, signal);
      const holder = parts.holder();
      if (holder === undefined) continue;
      if ((parts.appendLatencyMs() ?? 0) > MAX_APPEND_LATENCY_MS) continue;
      const before = types.clock.after(clock.monotonic(), -parts.retentionMs());
      types.lists.append(endedJobs, holder.takeEndedJobs());
      await dropRequests();
      // The others remain in the table and are dropped in the next rounds.
      const over = jobs.endedBefore(before).slice(0, MAX_APPEND_RECORDS / 2);
      await dropJobs(over, holder);
    }
  }

  /** Drops requests; those that the store doesn't accept are retried. */
  async function dropRequests(): Promise<void> {
    while (endedJobs.length > 0 && !signal.aborted) {
      const ids = endedJobs.slice(0, MAX_APPEND_RECORDS);
      const records = ids.map((jobId): storeRecords.StoreRecord => ({
        kind: 'job',
        jobId,
        job: undefined,
      }));
      if (!(await appendToJobs(records))) return;
      endedJobs = endedJobs.slice(ids.length);
    }
  }

  async function dropJobs(
    ids: readonly types.ids.JobId[],
    holder: cellHolderTypes.CellHolder,
  ): Promise<void> {
    const records = ids.flatMap((jobId): storeRecords.StoreRecord[] => [
      {kind: 'job', jobId, job: undefined},
      {kind: 'cancel', jobId, dropped: true},
    ]);
    // Progress is dropped last: without it the job would seem never to have
    // started.
    if (await appendToJobs(records)) await holder.dropProgress(ids);
  }

  /** True if there were records and they were stored. */
  async function appendToJobs(
    records: readonly storeRecords.StoreRecord[],
  ): Promise<boolean> {
    if (records.length === 0) return false;
    const answer = await parts.jobsLog.append(
      records.map(storeRecords.encode),
      {
        timeoutMs: APPEND_TIMEOUT_MS,
      },
    );
    if (result.isOk(answer) && answer.value.type === 'appended') return true;
    logger.warn('retention_failed', {
      records: records.length,
      error: ports.describeFailedAppend(answer),
    });
    return false;
  }

  await run();
}
