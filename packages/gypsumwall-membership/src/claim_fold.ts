/**
 * Folds the claim records of a domain's stream into the newest claim. Whether
 * a record is valid depends only on the records before it, so all readers
 * agree on the newest claim.
 *
 * The fold must read the stream from its first record, or be restored from a
 * snapshot: readers that start at other offsets would not agree.
 */
import type * as records from '@gypsumwall/records';
import type * as types from '@gypsumwall/types';

/** The newest valid claim, with the terms of its newest valid renewal. */
export interface NewestClaim {
  /** Offset of the claim's record. */
  readonly epoch: number;
  /** Offset of its newest valid record: claim, renewal or release. */
  readonly head: number;
  readonly holder: types.ids.EntryId;
  readonly named: readonly types.ids.EntryId[];
  readonly addresses: records.domainRecords.PeerAddresses;
  readonly ttlMs: number;
  readonly allGoneMs: number;
  readonly released: boolean;
  /** Epoch of the claim that it replaced; null for a domain's first claim. */
  readonly replaces: number | null;
}

/** Tracks the newest claim of one domain. */
export interface ClaimFold {
  /**
   * Applies the next record; returns whether it changed the newest claim.
   * `readAt` is a moment after the record's page arrived. A moment that is too
   * late only makes this entry wait longer.
   */
  apply(
    offset: number,
    record: records.domainRecords.DomainRecord,
    readAt: types.clock.MonotonicMs,
  ): boolean;
  newest(): NewestClaim | undefined;
  /** When this process read the newest claim's head. */
  headReadAt(): types.clock.MonotonicMs;
  /** Replaces the state by the claim that a snapshot holds. */
  restore(
    newest: NewestClaim | undefined,
    readAt: types.clock.MonotonicMs,
  ): void;
}

/** Creates a fold that has read no records yet. */
export function createClaimFold(): ClaimFold {
  let newest: NewestClaim | undefined;
  let headReadAt = 0 as types.clock.MonotonicMs;
  return {
    newest: () => newest,
    headReadAt: () => headReadAt,
    restore: (claim, readAt) => {
      newest = claim;
      headReadAt = readAt;
    },
    apply: (offset, record, readAt) => {
      const next = nextClaim(newest, offset, record);
      if (next === newest) return false;
      newest = next;
      headReadAt = readAt;
      return true;
    },
  };
}

/** The newest claim after the record; the same object if it is unchanged. */
function nextClaim(
  newest: NewestClaim | undefined,
  offset: number,
  record: records.domainRecords.DomainRecord,
): NewestClaim | undefined {
  switch (record.type) {
    case 'claim': {
      if (record.replaces !== (newest?.epoch ?? null)) return newest;
      if (record.seen !== (newest?.head ?? null)) return newest;
      return {
        ...termsOf(record),
        epoch: offset,
        head: offset,
        released: false,
        replaces: record.replaces,
      };
    }
    case 'renew': {
      if (newest === undefined || !isByHolder(newest, record)) return newest;
      if (record.seen !== newest.head) return newest;
      return {
        ...termsOf(record),
        epoch: newest.epoch,
        head: offset,
        released: false,
        replaces: newest.replaces,
      };
    }
    case 'release': {
      if (newest === undefined || !isByHolder(newest, record)) return newest;
      return {...newest, head: offset, released: true};
    }
    case 'job_accepted':
    case 'job_cancelled':
    case 'job_given_up':
    case 'task_ended':
      return newest;
  }
}

/** Whether a renewal or release comes from the holder of the newest claim. */
function isByHolder(
  newest: NewestClaim,
  record: {readonly epoch: number; readonly holder: types.ids.EntryId},
): boolean {
  return (
    !newest.released &&
    record.epoch === newest.epoch &&
    record.holder === newest.holder
  );
}

function termsOf(
  record: Pick<
    NewestClaim,
    'holder' | 'named' | 'addresses' | 'ttlMs' | 'allGoneMs'
  >,
) {
  const {holder, named, addresses, ttlMs, allGoneMs} = record;
  return {holder, named, addresses, ttlMs, allGoneMs};
}
