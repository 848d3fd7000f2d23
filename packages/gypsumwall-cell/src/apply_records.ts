/**
 * Applies records of the store one by one. A record that can't be decoded or
 * applied, for example one of another version, must neither block the records
 * after it nor end the process of every entry that reads it.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';
import * as decodeRecord from './decode_record.js';
import * as storeRecords from './store_records.js';

/** Applies each record that can be decoded, and logs the others. */
export function applyRecords(
  records: readonly ports.KeyedRecord[],
  logger: telemetry.logger.Logger,
  apply: (record: storeRecords.StoreRecord, offset: number) => void,
): void {
  for (const record of records) {
    const {key, offset} = record;
    const error = applyRecord(record, apply);
    if (error !== undefined)
      logger.warn('record_unreadable', {key, offset, error});
  }
}

/** Returns what is wrong with the record, or undefined. */
function applyRecord(
  {key, value, offset}: ports.KeyedRecord,
  apply: (record: storeRecords.StoreRecord, offset: number) => void,
): string | undefined {
  const decoded = decodeRecord.decodeRecord(key, value);
  if (result.isErr(decoded)) return decoded.error;
  try {
    apply(decoded.value, offset);
    return faultOf(decoded.value);
  } catch (thrown) {
    return types.stepError.messageOf(thrown);
  }
}

/** Some records that can't be understood have a meaning all the same. */
function faultOf(record: storeRecords.StoreRecord): string | undefined {
  return record.kind === 'used_worker' ? record.worker?.fault : undefined;
}
