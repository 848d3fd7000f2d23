/**
 * Folds the claim records of a domain's stream. Which record counts depends
 * on the records before it alone, so all readers agree on the newest claim.
 *
 * The fold must see the stream from its first record on, or be restored from
 * a snapshot: readers that start in different places don't agree.
 */
import type * as records from '@gypsumwall/records';
import type * as types from '@gypsumwall/types';

/** The newest claim that counts, as its newest renewal states it. */
export interface NewestClaim {
  /** Offset of the claim's record. */
  readonly epoch: number;
  /** Offset of its newest record that counts: claim, renewal or release. */
  readonly head: number;
  readonly holder: types.ids.EntryId;
  readonly named: readonly types.ids.EntryId[];
  readonly addresses: records.domainRecords.PeerAddresses;
  readonly ttlMs: number;
  readonly allGoneMs: number;
  readonly released: boolean;
  /** The claim before it; null for a domain's first. */
  readonly replaces: number | null;
}

/** Follows a domain's claim. */
export interface ClaimFold {
  /**
   * Takes the next record; returns whether it changed the newest claim.
   * `readAt` is a moment after the record's page had arrived: too late a
   * moment only makes this entry wait longer.
   */
  apply(
    offset: number,
    record: records.domainRecords.DomainRecord,
    readAt: types.clock.MonotonicMs,
  ): boolean;
  newest(): NewestClaim | undefined;
  /** When the newest claim's head was read here. */
  headReadAt(): types.clock.MonotonicMs;
  /** Puts a snapshot's claim in place of all records before it. */
  restore(
    newest: NewestClaim | undefined,
    readAt: types.clock.MonotonicMs,
  ): void;
}

/** Makes a fold that has read nothing yet. */
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

/** The newest claim after one more record; the same object if unchanged. */
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

/** A renewal or release counts only from the newest claim's own holder. */
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
