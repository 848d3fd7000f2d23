/**
 * Who holds the cell according to its log. A claim is only appended if it is
 * the next record after all that the claimant has read. Its offset orders the
 * claims and serves as fencing token at the store and at the workers.
 */
import type * as storeRecords from './store_records.js';

/** The newest claim. */
export interface CellClaim extends storeRecords.ClaimRecord {
  /** Offset of the claim; its release doesn't change it. */
  readonly offset: number;
}

/**
 * The fencing token of a claim. Workers start with token 0, so every claim's
 * token is higher.
 */
export function tokenOf(claim: CellClaim): number {
  return claim.offset + 1;
}

/** Applies a claim record to the previously known claim. */
export function foldClaim(
  before: CellClaim | undefined,
  record: storeRecords.ClaimRecord,
  offset: number,
): CellClaim {
  const releases =
    before?.holder === record.holder && record.state === 'released';
  return {...record, offset: releases ? before.offset : offset};
}
