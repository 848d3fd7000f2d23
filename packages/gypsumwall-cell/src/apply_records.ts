/**
 * Takes records of the store in one by one. One that can't be decoded or taken
 * in, such as one of another version, must not keep those after it from being
 * known, nor end the process of each entry that reads it.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';
import * as storeRecords from './store_records.js';

/** Hands each record on that can be decoded; the log tells of the others. */
export function applyRecords(
  records: readonly ports.KeyedRecord[],
  logger: telemetry.logger.Logger,
  apply: (record: storeRecords.StoreRecord, offset: number) => void,
): void {
  for (const {key, value, offset} of records) {
    const applied = result.andThen(
      (record) =>
        result.tryOrElse(types.stepError.messageOf, () =>
          apply(record, offset),
        ),
      storeRecords.decode(key, value),
    );
    if (result.isOk(applied)) continue;
    logger.warn('record_unreadable', {key, offset, error: applied.error});
  }
}
