/**
 * An entry's share of the slots and connections of each upstream, computed from
 * the entries in its view. Although entries don't have the same view at the
 * same time, the shares in use never sum to more than the total:
 * docs/design/003-routing.md has the proof and its limits.
 */
import * as crypto from 'node:crypto';
import type * as types from '@gypsumwall/types';

/** The bounds on the age of views and on the duration of requests. */
export interface SlotSharesOptions {
  readonly entryId: string;
  /** The maximum age of a view when it is passed to `observe`. */
  readonly listLagMs: number;
  /** The maximum time for which a request holds a slot. */
  readonly requestBoundMs: number;
}

/** The share of one entry in the slots and connections of upstreams. */
export interface SlotShares {
  /** Sets the current view. Shares grow only in this call. */
  observe(entries: readonly string[], now: types.clock.MonotonicMs): void;
  /**
   * Whether the last view was passed longer than `listLagMs` ago, so that no
   * request may be sent on it. A process that resumes after a pause still has
   * its old view, while the other entries may no longer count it.
   */
  isStale(now: types.clock.MonotonicMs): boolean;
  /** The part of `total` at this upstream that this entry may use. */
  shareOf(upstream: string, total: number): number;
}

/** Bounds the memory if upstreams keep being added and removed. */
const MAX_CACHED_RANKS = 100_000;

/** The delays after which changes take effect; see `delaysFor`. */
interface Delays {
  /** The maximum time for which a view is used after it was passed. */
  readonly viewLifetimeMs: number;
  /**
   * The time from the first view that contains the entry itself to the first
   * use of its share.
   */
  readonly joinDelayMs: number;
  /**
   * The time from the first view without another entry to the use of that
   * entry's share.
   */
  readonly leaveDelayMs: number;
  /** After a longer time without a view, the entry joins anew. */
  readonly restartAfterMs: number;
}

/**
 * With `age` the maximum age of a view in use, and `bound` the maximum time for
 * which a request holds a slot:
 * - `joinDelayMs`: all other entries have seen a new entry within `age`, and
 *   the requests that they sent before have ended within `bound` after that.
 * - `leaveDelayMs`: an entry that is dropped from the list while it runs has
 *   seen this within `age`, and its requests have ended within `bound` after
 *   that. Another `age` covers an entry that is listed again, which a lagging
 *   view doesn't show yet.
 * - `restartAfterMs`: in a shorter time without a view, an entry can have
 *   missed only an absence too short for the others to have used its share.
 */
function delaysFor(options: SlotSharesOptions): Delays {
  const viewLifetimeMs = options.listLagMs;
  const maxViewAgeMs = options.listLagMs + viewLifetimeMs;
  return {
    viewLifetimeMs,
    joinDelayMs: maxViewAgeMs + options.requestBoundMs,
    leaveDelayMs: 2 * maxViewAgeMs + options.requestBoundMs,
    restartAfterMs: viewLifetimeMs + options.requestBoundMs,
  };
}

/** Creates the shares of one entry, which are 0 until it has joined. */
export function createSlotShares(options: SlotSharesOptions): SlotShares {
  const delays = delaysFor(options);
  /**
   * For each counted entry, since when it is absent from the views, if it is.
   */
  const absentSince = new Map<string, types.clock.MonotonicMs | undefined>();
  let presentSince: types.clock.MonotonicMs | undefined;
  let observedAt: types.clock.MonotonicMs | undefined;
  let hasJoined = false;
  let countedEntries: readonly string[] = [];
  /**
   * Ranks by upstream; they are valid as long as the counted entries don't
   * change.
   */
  const ranks = new Map<string, number>();
  const rankFor = (upstream: string) => {
    const cached = ranks.get(upstream);
    if (cached !== undefined) return cached;
    const rank = rankOf(upstream, options.entryId, countedEntries);
    if (ranks.size >= MAX_CACHED_RANKS) ranks.clear();
    ranks.set(upstream, rank);
    return rank;
  };

  const sinceViewMs = (now: types.clock.MonotonicMs) =>
    observedAt === undefined ? Infinity : now - observedAt;

  return {
    isStale: (now) => sinceViewMs(now) > delays.viewLifetimeMs,
    observe: (entries, now) => {
      markPresence(absentSince, entries, now);
      removeLongAbsent(absentSince, now, delays.leaveDelayMs);
      const isPresent = entries.includes(options.entryId);
      // While the process was paused, it may have been dropped from the list
      // and listed again, and others may use its share. So it joins anew.
      if (sinceViewMs(now) > delays.restartAfterMs) presentSince = undefined;
      presentSince = isPresent ? (presentSince ?? now) : undefined;
      observedAt = now;
      // Until all other entries have seen a new entry, and until the requests
      // that they sent before have ended, they use its share.
      hasJoined =
        presentSince !== undefined && now - presentSince >= delays.joinDelayMs;
      const previousEntries = countedEntries;
      countedEntries = [...absentSince.keys()];
      if (!sameEntries(previousEntries, countedEntries)) ranks.clear();
    },
    shareOf: (upstream, total) =>
      hasJoined
        ? divideByRank(total, countedEntries.length, rankFor(upstream))
        : 0,
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
  // An entry that was absent before keeps the time of the first view without
  // it.
}

function removeLongAbsent(
  absentSince: Map<string, types.clock.MonotonicMs | undefined>,
  now: types.clock.MonotonicMs,
  leaveDelayMs: number,
): void {
  for (const [id, since] of absentSince) {
    if (since !== undefined && now - since >= leaveDelayMs)
      absentSince.delete(id);
  }
}

/**
 * Divides `total` evenly. The remainder goes to the entries that rank highest
 * for this upstream. An additional entry never raises the share of another one,
 * so it is safe if views differ by an entry.
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
  const evenShare = Math.floor(total / entries);
  return rank < total % entries ? evenShare + 1 : evenShare;
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

/** The rank of an entry for an upstream, from 0, by rendezvous hashing. */
function rankOf(
  upstream: string,
  entry: string,
  entries: readonly string[],
): number {
  const ownWeight = rendezvousWeight(upstream, entry);
  return entries.filter(
    (other) => rendezvousWeight(upstream, other) > ownWeight,
  ).length;
}

function rendezvousWeight(upstream: string, entry: string): string {
  return crypto
    .createHash('sha1')
    .update(`${upstream}\n${entry}`)
    .digest('hex');
}
