/**
 * Decides when an entry may take over the cell. The holder appends several
 * records within the maximum silence; an entry that reads the log without
 * interruption and finds none for that long considers the holder dead. If the
 * holder is alive after all, the store rejects its next append, and the workers
 * refuse its orders.
 */
import type * as types from '@gypsumwall/types';
import type * as claimView from './claim_view.js';

/** Maximum pause between two appends of the holder; milliseconds. */
export const HEARTBEAT_MS = 200;
/**
 * Silence after which a holder is considered dead. Calculated for a store that
 * is sixty times slower than usual: an append and a read of 240 ms each and a
 * reader's pause of 120 ms add up to 600 ms between two records of a healthy
 * holder. Every job that is submitted during a longer silence would be late;
 * milliseconds.
 */
export const MAX_SILENCE_MS = 900;
/**
 * How long after its last confirmed append a holder accepts new jobs for
 * scheduling. Must be well below the maximum silence, so that an old holder
 * never starts a job that was accepted after a takeover; milliseconds.
 */
export const MAX_CONFIRMATION_AGE_MS = 600;

/**
 * Silence after which peers ping a holder: two of its records are missing by
 * then; milliseconds.
 */
export const PROBE_AFTER_MS = 380;
/**
 * Time within which successive takeovers count as related. Holders that seem
 * lost shortly after each other may only be busy taking over: reading the logs
 * and contacting all workers keeps a small instance from writing and answering
 * for a second. Its successor is just as busy, and none of them ever starts a
 * task: 73 holders were seen in 45 s. From the third on, each holder is
 * therefore allowed twice the silence of the one before, up to eight times,
 * until one has enough time. All these silences add up to 15 s, so that no
 * takeover is forgotten too early; milliseconds.
 */
export const TAKEOVER_WINDOW_MS = 20_000;
/** This many holders may be lost in a row and are replaced without backoff. */
const TAKEOVERS_BEFORE_BACKOFF = 2;
const MAX_DOUBLINGS = 3;

/** State on which the decision is based. */
export interface FailoverView {
  readonly claim: claimView.CellClaim | undefined;
  readonly self: {
    readonly entryId: types.ids.EntryId;
    readonly instance: string;
  };
  /** When a record of the cell's log was last read. */
  readonly lastRecordAt: types.clock.MonotonicMs;
  /**
   * Since when every read of the log has been answered; undefined while reads
   * fail.
   */
  readonly reachableSince: types.clock.MonotonicMs | undefined;
  /** Whether the holder is silent and doesn't answer its peers either. */
  readonly isHolderLost: boolean;
  /** When holders were replaced that hadn't released the cell; ascending. */
  readonly takeovers: readonly types.clock.MonotonicMs[];
  readonly isLeaving: boolean;
  /** Longest pause between two recent records of the holder; milliseconds. */
  readonly longestPauseMs: number;
  readonly now: types.clock.MonotonicMs;
}

/** Why the cell may be taken over. */
export type Vacancy =
  'never_held' | 'released' | 'own_predecessor' | 'lost' | 'silent';

/**
 * Since when the log has been silent although it is read; undefined while reads
 * fail.
 */
export function silentSince({
  lastRecordAt,
  reachableSince,
}: Pick<FailoverView, 'lastRecordAt' | 'reachableSince'>):
  types.clock.MonotonicMs | undefined {
  if (reachableSince === undefined) return undefined;
  return lastRecordAt > reachableSince ? lastRecordAt : reachableSince;
}

/**
 * A silence is unusual if it is this many times the longest one between two
 * recent records of the holder. A holder whose link or processor is busy writes
 * seldom, and no other entry would do better.
 */
const UNUSUAL_SILENCE_FACTOR = 1.5;

/**
 * Longest silence in milliseconds that is not unusual, given the longest recent
 * pause between two records.
 */
export function usualSilenceMs(longestPauseMs: number): number {
  return Math.min(longestPauseMs, MAX_SILENCE_MS) * UNUSUAL_SILENCE_FACTOR;
}

/** How many times the usual silence a holder is allowed. */
function backoffFactor({takeovers, now}: FailoverView): number {
  const recent = takeovers.filter((at) => now - at < TAKEOVER_WINDOW_MS).length;
  const doublings = Math.max(0, recent - TAKEOVERS_BEFORE_BACKOFF);
  return 2 ** Math.min(MAX_DOUBLINGS, doublings);
}

/** Why the cell may be taken over now; undefined if it may not. */
export function vacancyOf(view: FailoverView): Vacancy | undefined {
  const {claim, self} = view;
  const since = silentSince(view);
  if (view.isLeaving || since === undefined) return undefined;
  if (claim === undefined) return 'never_held';
  if (claim.state === 'released') return 'released';
  if (claim.holder === self.entryId) return undefined;
  // An instance runs one process, so the process that claimed has ended.
  if (claim.instance === self.instance) return 'own_predecessor';
  const baseMs = view.isHolderLost ? PROBE_AFTER_MS : MAX_SILENCE_MS;
  const minMs = Math.max(baseMs, usualSilenceMs(view.longestPauseMs));
  const silentMs = view.now - since;
  if (silentMs <= minMs * backoffFactor(view)) return undefined;
  return view.isHolderLost ? 'lost' : 'silent';
}
