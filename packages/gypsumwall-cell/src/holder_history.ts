/**
 * The holders of a cell as an entry has read them from the log, with the moments
 * at which it read their records: nothing in a record was done later than the
 * record was read. A successor concludes from them when the leases of each of
 * them have expired, however many there were.
 */
import type * as types from '@gypsumwall/types';
import type * as storeRecords from './store_records.js';

/** A holder, or all those before the first one whose claim was read. */
export interface PastHolder {
  readonly generation: number;
  readonly claimedAt: types.clock.MonotonicMs;
  /** When its last record was read. */
  readonly lastRecordAt: types.clock.MonotonicMs;
  /** When it had certainly stopped; undefined if that isn't known. */
  readonly endedAt?: types.clock.MonotonicMs;
  /**
   * When it was read that more than half of the workers of earlier holders
   * answer it.
   */
  readonly majorityAt?: types.clock.MonotonicMs;
  /** Workers on which it has granted no lease; undefined if it doesn't say. */
  readonly unanswered?: ReadonlySet<types.ids.WorkerId>;
}

/** The holders of a cell. */
export interface HolderHistory {
  /**
   * The log is loaded anew: records between the last one read and the newest ones
   * are missing.
   */
  onReloaded(): void;
  /** Records other than claims were read. */
  onRecordsRead(now: types.clock.MonotonicMs): void;
  onClaim(claim: storeRecords.ClaimRecord, now: types.clock.MonotonicMs): void;
  onTakeoverRead(
    takeover: storeRecords.TakeoverState | undefined,
    now: types.clock.MonotonicMs,
  ): void;
  /** By generation; the last one is the holder of the newest claim. */
  holders(): readonly PastHolder[];
}

/**
 * Time after the next claim for which a holder is remembered. Longer than it may
 * renew leases and the longest of these together; milliseconds.
 */
const MEMORY_MS = 40_000;

type Writable<Fields> = {-readonly [Name in keyof Fields]: Fields[Name]};

/** Creates the history of a cell of which nothing was read. */
export function createHolderHistory(): HolderHistory {
  let holders: Writable<PastHolder>[] = [];
  let current: storeRecords.ClaimRecord | undefined;

  function addHolder(
    claim: storeRecords.ClaimRecord,
    now: types.clock.MonotonicMs,
  ): void {
    const {generation} = claim;
    const last = holders.at(-1);
    if (last?.generation !== generation - 1) {
      // Claims before this one weren't read: all of them are older.
      const before = {claimedAt: now, lastRecordAt: now};
      holders = generation > 0 ? [{generation: generation - 1, ...before}] : [];
    } else if (
      current?.instance === claim.instance &&
      current.holder !== claim.holder
    ) {
      // An instance runs one process, so the process that claimed has ended.
      last.endedAt ??= now;
    }
    holders.push({generation, claimedAt: now, lastRecordAt: now});
    holders = holders.filter((_, nth) => {
      const next = holders[nth + 1];
      return next === undefined || now - next.claimedAt < MEMORY_MS;
    });
  }

  return {
    onReloaded() {
      holders = [];
      current = undefined;
    },
    onRecordsRead(now) {
      const last = holders.at(-1);
      if (last !== undefined) last.lastRecordAt = now;
    },
    onClaim(claim, now) {
      const last = holders.at(-1);
      if (current === undefined || last?.generation !== claim.generation)
        addHolder(claim, now);
      current = claim;
      const holder = holders.at(-1)!;
      holder.lastRecordAt = now;
      if (claim.state === 'released') holder.endedAt ??= now;
    },
    onTakeoverRead(takeover, now) {
      const holder = holders.at(-1);
      // After a load, the newest heartbeat may be of an earlier holder.
      const isOwn = takeover?.generation === holder?.generation;
      if (holder === undefined || (takeover !== undefined && !isOwn)) return;
      if (takeover?.hasMajority === true) holder.majorityAt ??= now;
      const {unanswered} = takeover ?? {};
      holder.unanswered = unanswered && new Set(unanswered);
    },
    holders: () => holders,
  };
}
