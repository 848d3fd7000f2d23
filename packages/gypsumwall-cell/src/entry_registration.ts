/** Makes an entry known to its peers, by a record in the jobs' log. */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as cellEntryTypes from './cell_entry_types.js';
import type * as ports from './ports.js';
import * as storeRecords from './store_records.js';

/** Time given to the append of an entry's own record; milliseconds. */
const REGISTER_TIMEOUT_MS = 600;
/** How long an entry waits before it registers again; milliseconds. */
const REGISTER_RETRY_MS = 300;

/** What registering works on. */
export interface RegistrationParts {
  readonly self: cellEntryTypes.CellEntryOptions['self'];
  readonly jobsLog: ports.KeyedLog;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
}

/** Tries until the record stands or the signal aborts. */
export async function registerEntry(
  {self, jobsLog, clock, logger}: RegistrationParts,
  signal: AbortSignal,
): Promise<void> {
  const {instance, entryId, domain, peerAddress: address, cores} = self;
  const entry = {entryId, domain, address, cores};
  const record = storeRecords.encode({kind: 'entry', instance, entry});
  while (!signal.aborted) {
    const timeoutMs = REGISTER_TIMEOUT_MS;
    const answer = await jobsLog.append([record], {timeoutMs});
    if (result.isOk(answer)) return;
    logger.warn('register_failed', {
      error: types.stepError.describeError(answer.error),
    });
    await types.clock.sleepFor(clock, REGISTER_RETRY_MS, signal);
  }
}
