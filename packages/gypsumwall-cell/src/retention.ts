/**
 * Drops from the store what nobody will ask for: the request of a job that is
 * over, and later all of it. Only the holder does so.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as cellHolderTypes from './cell_holder_types.js';
import type * as jobTable from './job_table.js';
import type * as ports from './ports.js';
import * as storeRecords from './store_records.js';

/**
 * How often requests of jobs that are over are dropped: an entry that starts
 * loads what is left, at a millisecond a job; milliseconds.
 */
const TIDY_MS = 1_000;
/** Time given to an append; milliseconds. */
const APPEND_TIMEOUT_MS = 600;

/** Records of one append, so that a rush can't outgrow its timeout. */
const MAX_APPEND_RECORDS = 500;

/** What retention works on. */
export interface RetentionParts {
  readonly jobsLog: ports.KeyedLog;
  readonly jobs: jobTable.JobTable;
  /** This process's hold on the cell, if it has one. */
  readonly holder: () => cellHolderTypes.CellHolder | undefined;
  /** How long the state of a job that is over can be asked for. */
  readonly keepOverMs: () => number;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
}

/** Tidies until the signal aborts. */
export async function runRetention(
  parts: RetentionParts,
  signal: AbortSignal,
): Promise<void> {
  const {jobs, clock, logger} = parts;

  /** Jobs whose requests aren't dropped yet. */
  let ended: types.ids.JobId[] = [];

  async function run(): Promise<void> {
    while (!signal.aborted) {
      await types.clock.sleepFor(clock, TIDY_MS, signal);
      const holder = parts.holder();
      if (holder === undefined) continue;
      const before = types.clock.after(clock.monotonic(), -parts.keepOverMs());
      ended.push(...holder.takeEnded());
      await dropRequests();
      // The rest stays in the table and is dropped in the next rounds.
      const over = jobs.overBefore(before).slice(0, MAX_APPEND_RECORDS / 2);
      await dropJobs(over, holder);
    }
  }

  /** What the store doesn't take is tried again. */
  async function dropRequests(): Promise<void> {
    while (ended.length > 0 && !signal.aborted) {
      const ids = ended.slice(0, MAX_APPEND_RECORDS);
      const records = ids.map((jobId): storeRecords.StoreRecord => ({
        kind: 'job',
        jobId,
        job: undefined,
      }));
      if (!(await appendToJobs(records))) return;
      ended = ended.slice(ids.length);
    }
  }

  async function dropJobs(
    ids: readonly types.ids.JobId[],
    by: cellHolderTypes.CellHolder,
  ): Promise<void> {
    const records = ids.flatMap((jobId): storeRecords.StoreRecord[] => [
      {kind: 'job', jobId, job: undefined},
      {kind: 'cancel', jobId, dropped: true},
    ]);
    // Progress goes last: without it the job would look as if never begun.
    if (await appendToJobs(records)) await by.dropProgress(ids);
  }

  /** True if there was something and it stands. */
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
    if (result.isOk(answer)) return true;
    logger.warn('retention_failed', {
      records: records.length,
      error: types.stepError.describeError(answer.error),
    });
    return false;
  }

  await run();
}
