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
  /** An entry's view is never older than this. */
  readonly listLagMs: number;
  /** No request holds a slot for longer than this. */
  readonly requestBoundMs: number;
}

/** The share of one entry in everything that is divided. */
export interface SlotShares {
  /** Takes in a view that is current now; the only moment a share may grow. */
  observe(entries: readonly string[], now: types.clock.MonotonicMs): void;
  /**
   * Whether the last view is older than the lag allows, so that nothing may
   * be started on it. A process that wakes from a pause still believes its
   * old view, while others have stopped counting it.
   */
  isStale(now: types.clock.MonotonicMs): boolean;
  /** Units of `total` of this upstream that this entry may use. */
  shareOf(upstream: string, total: number): number;
}

/** Keeps what one entry has seen of the others. */
export function createSlotShares(options: SlotSharesOptions): SlotShares {
  const joinMs = options.listLagMs + options.requestBoundMs;
  const leaveMs = 2 * options.listLagMs + options.requestBoundMs;
  /** For each entry that counts: since when it is absent from the views. */
  const absentSince = new Map<string, types.clock.MonotonicMs | undefined>();
  let presentSince: types.clock.MonotonicMs | undefined;
  let observedAt: types.clock.MonotonicMs | undefined;
  let settled = false;
  let counted: readonly string[] = [];

  const isStale = (now: types.clock.MonotonicMs) =>
    observedAt === undefined || now - observedAt > options.listLagMs;

  return {
    isStale,
    observe: (entries, now) => {
      markPresence(absentSince, entries, now);
      dropLongAbsent(absentSince, now, leaveMs);
      const present = entries.includes(options.entryId);
      // A process that was paused may have been dropped from the list and
      // come back unseen, with its share given away: it starts anew.
      if (isStale(now)) presentSince = undefined;
      presentSince = present ? (presentSince ?? now) : undefined;
      observedAt = now;
      // Others may not have seen a new entry yet: until they have, and until
      // what they sent before has ended, its share is in use elsewhere.
      settled = presentSince !== undefined && now - presentSince >= joinMs;
      counted = [...absentSince.keys()];
    },
    shareOf: (upstream, total) =>
      settled ? divide(total, upstream, options.entryId, counted) : 0,
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
  const even = Math.floor(total / entries.length);
  const leftOver = total % entries.length;
  if (leftOver === 0) return even;
  return rank(upstream, entry, entries) < leftOver ? even + 1 : even;
}

/** How many entries come before this one for the upstream (rendezvous). */
function rank(
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
