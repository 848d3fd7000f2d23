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
export const MAX_SILENCE_MS = 900;
/**
 * How long after its last confirmed append a holder takes up new jobs. It
 * must be well below the silence, since then a job that was accepted after a
 * takeover is never started by the old holder; milliseconds.
 */
export const MAX_CONFIRMATION_AGE_MS = 600;

/**
 * Silence from which on peers ask a holder whether it lives: two of its
 * records are missing by then; milliseconds.
 */
export const PROBE_AFTER_MS = 380;
/**
 * Holders that seem lost one after the other within this time may only be busy
 * taking over: reading the logs and meeting all workers keeps a small instance
 * from writing and answering for a second. The next one is as busy, and none
 * of them ever starts a task: 73 holders were seen in 45 s. So from the third
 * on each is given twice the time of the one before, up to eight times, until
 * one has the time that it needs. All these times add up to 15 s, so that none
 * is forgotten before; milliseconds.
 */
export const TAKEOVER_WINDOW_MS = 20_000;
/** So many may really be lost in a row, and are replaced at once. */
const TAKEOVERS_BEFORE_BACKOFF = 2;
const MAX_DOUBLINGS = 3;

/** What the decision looks at. */
export interface FailoverView {
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
  readonly isHolderLost: boolean;
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
}: Pick<FailoverView, 'lastRecordAt' | 'reachableSince'>):
  types.clock.MonotonicMs | undefined {
  if (reachableSince === undefined) return undefined;
  return lastRecordAt > reachableSince ? lastRecordAt : reachableSince;
}

/** How many times the usual silence a holder is given. */
function backoffFactor({takeovers, now}: FailoverView): number {
  const recent = takeovers.filter((at) => now - at < TAKEOVER_WINDOW_MS).length;
  const doublings = Math.max(0, recent - TAKEOVERS_BEFORE_BACKOFF);
  return 2 ** Math.min(MAX_DOUBLINGS, doublings);
}

/** Why the cell may be taken over now; undefined if it may not. */
export function vacancyOf(view: FailoverView): Vacancy | undefined {
  const {claim, self} = view;
  const since = silentSince(view);
  if (view.leaving || since === undefined) return undefined;
  if (claim === undefined) return 'never_held';
  if (claim.state === 'released') return 'released';
  if (claim.holder === self.entryId) return undefined;
  // An instance runs one process: the one that claimed has ended.
  if (claim.instance === self.instance) return 'own_predecessor';
  const baseMs = view.isHolderLost ? PROBE_AFTER_MS : MAX_SILENCE_MS;
  const silentMs = view.now - since;
  if (silentMs <= baseMs * backoffFactor(view)) return undefined;
  return view.isHolderLost ? 'lost' : 'silent';
}
