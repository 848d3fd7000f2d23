/**
 * Who holds the cell, as its log tells. A claim is appended only where the
 * log ends, so whoever claims has read everything before; its offset is its
 * place in the order of claims and its fencing token at the store and at the
 * workers.
 */
import type * as storeRecords from './store_records.js';

/** The newest claim. */
export interface CellClaim extends storeRecords.ClaimRecord {
  /** Offset of the claim; a release keeps the claim's. */
  readonly offset: number;
}

/** The fencing token of a claim; a worker starts from 0, so it is above. */
export function tokenOf(claim: CellClaim): number {
  return claim.offset + 1;
}

/** Folds one claim record into what was known before. */
export function foldClaim(
  before: CellClaim | undefined,
  record: storeRecords.ClaimRecord,
  offset: number,
): CellClaim {
  const releases =
    before?.holder === record.holder && record.state === 'released';
  return {...record, offset: releases ? before.offset : offset};
}
