/**
 * Applies records of the store one by one. A record that can't be decoded or
 * applied, for example one of another version, must neither block the records
 * after it nor end the process of every entry that reads it.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';
import * as storeRecords from './store_records.js';

/** Applies each record that can be decoded, and logs the others. */
export function applyRecords(
  records: readonly ports.KeyedRecord[],
  logger: telemetry.logger.Logger,
  apply: (record: storeRecords.StoreRecord, offset: number) => void,
): void {
  for (const {key, value, offset} of records) {
    const applied = result.andThen(
      (record) =>
        result.tryOrElse(types.stepError.messageOf, () => {
          apply(record, offset);
          return faultOf(record);
        }),
      storeRecords.decode(key, value),
    );
    const error = result.isOk(applied) ? applied.value : applied.error;
    if (error === undefined) continue;
    logger.warn('record_unreadable', {key, offset, error});
  }
}

/** Some records that can't be understood have a meaning all the same. */
function faultOf(record: storeRecords.StoreRecord): string | undefined {
  return record.kind === 'used_worker' ? record.worker?.fault : undefined;
}
