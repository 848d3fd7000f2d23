/**
 * When an entry may take the cell over. The holder appends something several
 * times in the span below; an entry that reads the log without interruption
 * and finds nothing for so long takes the holder as dead. If it isn't, its
 * next append is refused by the store, and the workers refuse its orders.
 */
import type * as types from '@gypsumwall/types';
import type * as claimView from './claim_view.js';

/** The holder's longest pause between two appends; milliseconds. */
export const HEARTBEAT_MS = 200;
/**
 * Silence after which a holder is taken as dead. Worked out for a store that
 * is sixty times slower than usual: an append and a read of 240 ms each and a
 * reader's pause of 120 ms make 600 ms between two records of a sound holder.
 * A longer silence lets every job that comes meanwhile be late; milliseconds.
 */
export const SILENCE_MS = 900;
/**
 * How long after its last confirmed append a holder takes up new jobs. It
 * must be well below the silence, since then a job that was accepted after a
 * takeover is never started by the old holder; milliseconds.
 */
export const FRESH_MS = 600;

/**
 * Holders that are lost one after the other within this time may not be lost:
 * taking over may be more than an instance bears; milliseconds.
 */
export const STORM_WINDOW_MS = 30_000;

/** What the decision looks at. */
export interface TakeOverView {
  readonly claim: claimView.CellClaim | undefined;
  readonly self: {
    readonly entryId: types.ids.EntryId;
    readonly instance: string;
  };
  /** When a record of the cell's log was last read. */
  readonly lastRecordAt: types.clock.MonotonicMs;
  /** Since when the log answers without fail; undefined: it doesn't. */
  readonly reachableSince: types.clock.MonotonicMs | undefined;
  /** Whether the holder is silent and doesn't answer its peers either. */
  readonly holderLost: boolean;
  /** When holders were replaced that hadn't handed the cell over; ascending. */
  readonly takeovers: readonly types.clock.MonotonicMs[];
  readonly leaving: boolean;
  readonly now: types.clock.MonotonicMs;
}

/** Why the cell may be taken. */
export type Vacancy =
  'never_held' | 'released' | 'own_predecessor' | 'lost' | 'silent';

/** Since when the log is silent while it is read; undefined: it isn't read. */
export function silentSince({
  lastRecordAt,
  reachableSince,
}: Pick<TakeOverView, 'lastRecordAt' | 'reachableSince'>):
  types.clock.MonotonicMs | undefined {
  if (reachableSince === undefined) return undefined;
  return lastRecordAt > reachableSince ? lastRecordAt : reachableSince;
}

/** Why the cell may be taken over now; undefined if it may not. */
export function vacancyOf(view: TakeOverView): Vacancy | undefined {
  const {claim, self} = view;
  const quietSince = silentSince(view);
  if (view.leaving || quietSince === undefined) return undefined;
  if (claim === undefined) return 'never_held';
  if (claim.state === 'released') return 'released';
  if (claim.holder === self.entryId) return undefined;
  // An instance runs one process: the one that claimed has ended.
  if (claim.instance === self.instance) return 'own_predecessor';
  if (view.holderLost) return 'lost';
  return view.now - quietSince > SILENCE_MS ? 'silent' : undefined;
}
