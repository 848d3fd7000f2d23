/**
 * The order in which steps get room. Work that can still be on time goes
 * before work that is late, and late work before work so late that its caller
 * has no use for it; within each, by the queue's priority and then by the
 * latest moment at which it must start.
 */
import type * as types from '@gypsumwall/types';

/** What the order looks at. */
export interface Claimant {
  readonly priority: number;
  /** When the job should be done. */
  readonly dueAt: types.clock.MonotonicMs;
  /** When its caller has no use for it any more. */
  readonly worthlessAt: types.clock.MonotonicMs;
  /** Expected length of the work that is left, in milliseconds. */
  readonly remainingMs: number;
  /**
   * Whether the work lasts until it is cancelled. It is of use whenever it
   * runs, so it is never late.
   */
  readonly isLongRunning: boolean;
  /** Rises with each job; settles ties first come, first served. */
  readonly arrival: number;
}

/**
 * A late job keeps some worth up to this many times its objective; this is
 * how the users value it.
 */
export const LATE_FACTOR = 3;

/** 0 may be on time, 1 is late, 2 is of no more use. */
export function lateness(
  claimant: Claimant,
  now: types.clock.MonotonicMs,
): 0 | 1 | 2 {
  if (claimant.isLongRunning) return 0;
  const endsAt = now + claimant.remainingMs;
  if (endsAt <= claimant.dueAt) return 0;
  return endsAt <= claimant.worthlessAt ? 1 : 2;
}

/** A claimant and how late it is now. */
export interface RankedClaimant {
  readonly claimant: Claimant;
  readonly lateness: 0 | 1 | 2;
}

/** Compares two claimants: negative when the left one goes first. */
export function compareRanked(
  left: RankedClaimant,
  right: RankedClaimant,
): number {
  const {claimant: a} = left;
  const {claimant: b} = right;
  return (
    left.lateness - right.lateness ||
    a.priority - b.priority ||
    latestStart(a) - latestStart(b) ||
    a.arrival - b.arrival
  );
}

/** Compares two claimants as they stand now. */
export function compare(
  left: Claimant,
  right: Claimant,
  now: types.clock.MonotonicMs,
): number {
  return compareRanked(
    {claimant: left, lateness: lateness(left, now)},
    {claimant: right, lateness: lateness(right, now)},
  );
}

function latestStart(claimant: Claimant): number {
  return claimant.dueAt - claimant.remainingMs;
}
