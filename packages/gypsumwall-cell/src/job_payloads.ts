/**
 * Finds the payloads of jobs in their records, for tasks that a holder on a
 * narrow link has started by reference.
 */
import * as types from '@gypsumwall/types';
import type * as jobTable from './job_table.js';

/** How long jobs count as referenced after a search; milliseconds. */
const REFERENCE_MEMORY_MS = 2_000;
/** Timeout of a search in the log; milliseconds. */
const FIND_TIMEOUT_MS = 200;

/** Options of the payloads. */
export interface JobPayloadsOptions {
  readonly jobs: jobTable.JobTable;
  /** Reads the jobs' log to its end; false if that failed. */
  readonly catchUp: () => Promise<boolean>;
  readonly clock: types.clock.Clock;
}

/** The payloads of jobs that this entry has read. */
export interface JobPayloads {
  /** Undefined if the job isn't found, or is over. */
  find(job: types.ids.JobId): Promise<string | undefined>;
  /** Whether a payload was searched for just now. */
  isReferenced(): boolean;
}

/** Creates the payloads. */
export function createJobPayloads({
  jobs,
  catchUp,
  clock,
}: JobPayloadsOptions): JobPayloads {
  let searchedAt: types.clock.MonotonicMs | undefined;
  return {
    async find(id) {
      searchedAt = clock.monotonic();
      const known = () => jobs.get(id)?.record?.request.payload;
      if (known() === undefined) {
        const timeout = types.clock.sleepFor(clock, FIND_TIMEOUT_MS);
        await Promise.race([catchUp(), timeout]);
      }
      return known();
    },
    isReferenced: () =>
      searchedAt !== undefined &&
      clock.monotonic() - searchedAt < REFERENCE_MEMORY_MS,
  };
}
