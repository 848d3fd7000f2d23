/**
 * The order in which steps get capacity. Work that its organisation is entitled
 * to ranks before what it sends in excess of its rate. Work that can still be on time ranks
 * before late work, and late work before work that is so late that its caller
 * has no use for it; within each class the priority of the queue decides, then
 * the latest start that meets the objective.
 */
import type * as types from '@gypsumwall/types';

/** The properties of waiting work that decide its rank. */
export interface Claimant {
  readonly priority: number;
  /** Whether it exceeds the rate that its organisation is entitled to. */
  readonly isExcess: boolean;
  /** When the job should be done. */
  readonly dueAt: types.clock.MonotonicMs;
  /** When the result is of no more use to the caller. */
  readonly worthlessAt: types.clock.MonotonicMs;
  /** Expected duration of the remaining work, in milliseconds. */
  readonly remainingMs: number;
  /**
   * Whether the work runs until it is cancelled. It is useful whenever it runs,
   * so it is never late.
   */
  readonly isLongRunning: boolean;
  /** Increases with each job; breaks ties in order of arrival. */
  readonly arrival: number;
  /** Number of the occurrence; breaks ties within a job. */
  readonly occurrence: number;
}

/**
 * A late job keeps some value for the users up to this multiple of its
 * objective; the users have defined this value.
 */
export const LATE_FACTOR = 3;

/**
 * Returns 0 if the work may be on time, 1 if it is late, 2 if it is of no more
 * use.
 */
export function lateness(
  claimant: Claimant,
  now: types.clock.MonotonicMs,
): 0 | 1 | 2 {
  if (claimant.isLongRunning) return 0;
  const endsAt = now + claimant.remainingMs;
  if (endsAt <= claimant.dueAt) return 0;
  return endsAt <= claimant.worthlessAt ? 1 : 2;
}

/** A claimant with its current lateness. */
export interface RankedClaimant {
  readonly claimant: Claimant;
  readonly lateness: 0 | 1 | 2;
}

/** Compares two ranked claimants: negative if the left one ranks first. */
export function compareRanked(
  left: RankedClaimant,
  right: RankedClaimant,
): number {
  const {claimant: a} = left;
  const {claimant: b} = right;
  return (
    Number(a.isExcess) - Number(b.isExcess) ||
    left.lateness - right.lateness ||
    a.priority - b.priority ||
    latestStart(a) - latestStart(b) ||
    a.arrival - b.arrival ||
    a.occurrence - b.occurrence
  );
}

/** Compares two claimants by their current lateness. */
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
