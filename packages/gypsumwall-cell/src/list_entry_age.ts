/**
 * How old a worker's list entry is, by this process's clocks and by the
 * worker's own, and what follows from its age.
 */
import type * as types from '@gypsumwall/types';
import type * as logFollower from './log_follower.js';

/**
 * Time that an order may take to reach its worker: a list entry must not expire
 * before; milliseconds.
 */
const ORDER_MARGIN_MS = 250;

/**
 * A removal counts as the worker's own as long as its last list entry is
 * younger than this share of the time after which the list removes a silent
 * worker.
 */
const EXPIRY_MARGIN = 0.8;

/** When the newest list entry of a worker was written. */
export interface EntryTimes {
  /** After this moment; undefined if none is known. */
  readonly writtenAfter?: logFollower.ClockReading;
  /** On the clock of the worker's incarnation; undefined if it doesn't say. */
  readonly writtenAtMs?: number;
}

/** The ages of list entries. */
export interface ListEntryAges {
  /**
   * Maximum age of an entry, in milliseconds. A loaded entry may be as old as
   * the list's expiry.
   */
  maximumMs(times: EntryTimes): number;
  /**
   * Age of an entry by the worker's clock, if both are known; in milliseconds.
   */
  onWorkerMs(times: EntryTimes, nowMs: number | undefined): number | undefined;
  /**
   * Whether the capacity in an entry counts: the list itself keeps an entry no
   * longer than its expiry. It may hold an older one that arrived late, or may
   * not be readable.
   */
  isCurrent(times: EntryTimes, nowMs: number | undefined): boolean;
  /**
   * Whether an entry is too recent to have been removed for the silence of its
   * worker.
   */
  isRecent(times: EntryTimes): boolean;
}

/**
 * Creates the ages for a list that removes silent workers after this time in
 * milliseconds, if it is known.
 */
export function createListEntryAges(
  clock: types.clock.Clock,
  listExpiryMs: number | undefined,
): ListEntryAges {
  function onWorkerMs(
    {writtenAtMs}: EntryTimes,
    nowMs: number | undefined,
  ): number | undefined {
    if (nowMs === undefined || writtenAtMs === undefined) return undefined;
    return nowMs - writtenAtMs;
  }

  return {
    maximumMs({writtenAfter}) {
      if (writtenAfter === undefined) return listExpiryMs ?? 0;
      return clock.monotonic() - writtenAfter.at;
    },
    onWorkerMs,
    isCurrent(times, nowMs) {
      const ageMs = onWorkerMs(times, nowMs);
      if (ageMs === undefined || listExpiryMs === undefined) return true;
      return ageMs <= listExpiryMs - ORDER_MARGIN_MS;
    },
    isRecent({writtenAfter}) {
      if (writtenAfter === undefined || listExpiryMs === undefined)
        return false;
      const {at, wall} = writtenAfter;
      // The monotonic clock doesn't count a suspension of this process.
      const silentMs = Math.max(clock.monotonic() - at, clock.wall() - wall);
      return silentMs < listExpiryMs * EXPIRY_MARGIN;
    },
  };
}
