/**
 * An entry's share of the slots and connections of each upstream, worked out
 * from the entries it believes in. Entries do not see the same list at the
 * same time, and still the shares in use never sum to more than there is:
 * docs/design/003-routing.md gives the argument and its limits.
 */
import * as crypto from 'node:crypto';
import type * as types from '@gypsumwall/types';

/** How long views may differ, and how long a request may hold a slot. */
export interface SlotSharesOptions {
  readonly entryId: string;
  /** A view is never older than this when it is handed over. */
  readonly listLagMs: number;
  /** No request holds a slot for longer than this. */
  readonly requestBoundMs: number;
}

/** The share of one entry in everything that is divided. */
export interface SlotShares {
  /** Takes in a view that is current now; the only moment a share may grow. */
  observe(entries: readonly string[], now: types.clock.MonotonicMs): void;
  /**
   * Whether the last view was handed over longer than `listLagMs` ago, so
   * that nothing may be started on it. A process that wakes from a pause still believes its
   * old view, while others have stopped counting it.
   */
  isStale(now: types.clock.MonotonicMs): boolean;
  /** Units of `total` of this upstream that this entry may use. */
  shareOf(upstream: string, total: number): number;
}

/** Upstreams that come and go must not fill the memory. */
const MAX_RANKS = 100_000;

/** How long each kind of change has to wait; see `createSlotShares`. */
interface Waits {
  /** A view is used for no longer than this after it was handed over. */
  readonly viewHoldMs: number;
  /** From an entry's first view of itself to its first use of a share. */
  readonly joinMs: number;
  /** From the first view without another entry to the use of its share. */
  readonly leaveMs: number;
  /** A longer time without a view makes an entry start anew. */
  readonly restartMs: number;
}

/**
 * With `age` the oldest view in use:
 * - every other entry has seen a new one within `age`, and what they sent
 *   before ends within the bound: `joinMs`;
 * - an entry that the list dropped while it was alive sees that within `age`
 *   and its requests end within the bound; another `age` covers one that came
 *   back on the list, which a lagging view does not show yet: `leaveMs`;
 * - in a shorter gap than `restartMs` an entry can have missed only an
 *   absence too short for the others to have used its share.
 */
function waitsFor(options: SlotSharesOptions): Waits {
  const viewHoldMs = options.listLagMs;
  const ageMs = options.listLagMs + viewHoldMs;
  return {
    viewHoldMs,
    joinMs: ageMs + options.requestBoundMs,
    leaveMs: 2 * ageMs + options.requestBoundMs,
    restartMs: viewHoldMs + options.requestBoundMs,
  };
}

/** Keeps what one entry has seen of the others. */
export function createSlotShares(options: SlotSharesOptions): SlotShares {
  const waits = waitsFor(options);
  /** For each entry that counts: since when it is absent from the views. */
  const absentSince = new Map<string, types.clock.MonotonicMs | undefined>();
  let presentSince: types.clock.MonotonicMs | undefined;
  let observedAt: types.clock.MonotonicMs | undefined;
  let settled = false;
  let counted: readonly string[] = [];
  /** Ranks by upstream; they hold as long as the same entries count. */
  const ranks = new Map<string, number>();
  const rankFor = (upstream: string) => {
    const known = ranks.get(upstream);
    if (known !== undefined) return known;
    const rank = rankOf(upstream, options.entryId, counted);
    if (ranks.size >= MAX_RANKS) ranks.clear();
    ranks.set(upstream, rank);
    return rank;
  };

  const sinceView = (now: types.clock.MonotonicMs) =>
    observedAt === undefined ? Infinity : now - observedAt;

  return {
    isStale: (now) => sinceView(now) > waits.viewHoldMs,
    observe: (entries, now) => {
      markPresence(absentSince, entries, now);
      dropLongAbsent(absentSince, now, waits.leaveMs);
      const present = entries.includes(options.entryId);
      // A process that was paused may have been dropped from the list and
      // come back unseen, with its share given away: it starts anew.
      if (sinceView(now) > waits.restartMs) presentSince = undefined;
      presentSince = present ? (presentSince ?? now) : undefined;
      observedAt = now;
      // Others may not have seen a new entry yet: until they have, and until
      // what they sent before has ended, its share is in use elsewhere.
      settled =
        presentSince !== undefined && now - presentSince >= waits.joinMs;
      const before = counted;
      counted = [...absentSince.keys()];
      if (!sameEntries(before, counted)) ranks.clear();
    },
    shareOf: (upstream, total) =>
      settled ? divideByRank(total, counted.length, rankFor(upstream)) : 0,
  };
}

function markPresence(
  absentSince: Map<string, types.clock.MonotonicMs | undefined>,
  entries: readonly string[],
  now: types.clock.MonotonicMs,
): void {
  for (const [id, since] of absentSince) {
    if (since === undefined) absentSince.set(id, now);
  }
  for (const id of entries) absentSince.set(id, undefined);
  // An entry absent before keeps the moment at which it was first missed.
}

function dropLongAbsent(
  absentSince: Map<string, types.clock.MonotonicMs | undefined>,
  now: types.clock.MonotonicMs,
  leaveMs: number,
): void {
  for (const [id, since] of absentSince) {
    if (since !== undefined && now - since >= leaveMs) absentSince.delete(id);
  }
}

/**
 * Divides `total` evenly; what is left over goes to the entries that rank
 * highest for this upstream. An added entry never raises another's share,
 * which is what lets views differ safely.
 */
export function divide(
  total: number,
  upstream: string,
  entry: string,
  entries: readonly string[],
): number {
  if (!entries.includes(entry)) return 0;
  const rank = rankOf(upstream, entry, entries);
  return divideByRank(total, entries.length, rank);
}

function divideByRank(total: number, entries: number, rank: number): number {
  const even = Math.floor(total / entries);
  return rank < total % entries ? even + 1 : even;
}

function sameEntries(
  before: readonly string[],
  after: readonly string[],
): boolean {
  return (
    before.length === after.length &&
    before.every((id, index) => id === after[index])
  );
}

/** How many entries come before this one for the upstream (rendezvous). */
function rankOf(
  upstream: string,
  entry: string,
  entries: readonly string[],
): number {
  const own = rendezvousWeight(upstream, entry);
  return entries.filter((other) => rendezvousWeight(upstream, other) > own)
    .length;
}

function rendezvousWeight(upstream: string, entry: string): string {
  return crypto
    .createHash('sha1')
    .update(`${upstream}\n${entry}`)
    .digest('hex');
}
