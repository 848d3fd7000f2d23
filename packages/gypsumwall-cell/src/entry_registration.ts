/** Registers an entry with its peers by a record in the jobs' log. */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as cellEntryTypes from './cell_entry_types.js';
import * as ports from './ports.js';
import * as storeRecords from './store_records.js';

/**
 * Timeout of the append of the entry's record; milliseconds. A shorter one
 * would add a second append to a queue that already contains the first.
 */
const REGISTER_TIMEOUT_MS = 2_400;
/** Pause between two tries, doubled up to the maximum; milliseconds. */
const FIRST_RETRY_MS = 300;
const MAX_RETRY_MS = 4_000;
/**
 * A store that answers a short read within this time has no queue of appends to
 * speak of; milliseconds.
 */
const MAX_QUICK_READ_MS = 100;
/**
 * Time after which an entry registers at a slow store as well; milliseconds.
 * Until then its peers use the record of its earlier process, if there was one.
 */
const MAX_DEFERRAL_MS = 12_000;

/** Dependencies of the registration. */
export interface RegistrationParts {
  readonly self: cellEntryTypes.CellEntryOptions['self'];
  readonly jobsLog: ports.KeyedLog;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
}

/**
 * Retries until the record is stored or the signal aborts. A slow store handles
 * the appends of a log one by one, so the records of many entries that restart
 * together would delay the appends of jobs; they are sent once it is quick.
 */
export async function registerEntry(
  {self, jobsLog, clock, logger}: RegistrationParts,
  signal: AbortSignal,
): Promise<void> {
  const {instance, entryId, domain, peerAddress: address, cores} = self;
  const entry = {entryId, domain, address, cores, readsRanges: true};
  const record = storeRecords.encode({kind: 'entry', instance, entry});
  const deferUntil = types.clock.after(clock.monotonic(), MAX_DEFERRAL_MS);

  async function isStoreQuick(): Promise<boolean> {
    const sentAt = clock.monotonic();
    const answer = await jobsLog.probe(0);
    return (
      result.isOk(answer) && clock.monotonic() - sentAt <= MAX_QUICK_READ_MS
    );
  }

  async function register(): Promise<boolean> {
    const isDeferred = clock.monotonic() < deferUntil;
    if (isDeferred && !(await isStoreQuick())) return false;
    const timeoutMs = REGISTER_TIMEOUT_MS;
    const answer = await jobsLog.append([record], {timeoutMs});
    if (result.isOk(answer) && answer.value.type === 'appended') return true;
    logger.warn('register_failed', {
      error: ports.describeFailedAppend(answer),
    });
    return false;
  }

  let pauseMs = FIRST_RETRY_MS;
  while (!signal.aborted && !(await register())) {
    await types.clock.sleepFor(clock, pauseMs, signal);
    pauseMs = Math.min(MAX_RETRY_MS, pauseMs * 2);
  }
}
