/**
 * Which speed suits a step. Work that would miss its objective on a slow worker
 * goes to a fast one; work with time to spare goes to a slow one, which leaves
 * the fast ones free.
 *
 * Pattern: two thirds of the workers run at 0.7 of the usual speed and a third
 * at 1.7; short urgent jobs have hardly more time than a slow worker needs,
 * while wide jobs have several times as much.
 */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as learnedSpeeds from './learned_speeds.js';

/**
 * Multiple of the expected run time that must be left: run times are often 2.5
 * times their estimates, and the last task of a step decides.
 */
const TIME_FACTOR = 2.5;
/** Speeds are rounded to powers of two of this width. */
const CLASS_WIDTH_LOG2 = 0.5;
/** Cost of a worker on which the work would miss its objective. */
const TOO_SLOW_COST = 5e5;
/** Cost of a speed of 1, in thousandths of a core left free. */
const SPEED_COST = 3e4;

/** Speed from which on a step meets its objective; 0 if any will do. */
export function neededSpeed(
  {rank}: activeJob.StepRun,
  now: types.clock.MonotonicMs,
): number {
  if (rank === undefined || rank.claimant.isLongRunning) return 0;
  const {dueAt, worthlessAt, remainingMs} = rank.claimant;
  const neededMs = remainingMs * TIME_FACTOR;
  const inTime = neededMs / Math.max(1, dueAt - now);
  if (inTime <= learnedSpeeds.MAX_SPEED) return inTime;
  const useful = neededMs / Math.max(1, worthlessAt - now);
  // If no worker is fast enough, the fast ones are left to others.
  return useful <= learnedSpeeds.MAX_SPEED ? useful : 0;
}

/**
 * Cost of a worker of the given speed: the slowest that is fast enough is best,
 * and otherwise the fastest.
 */
export function speedCost(speed: number, needed: number): number {
  if (speed >= needed) return speed * SPEED_COST;
  return TOO_SLOW_COST + (learnedSpeeds.MAX_SPEED - speed) * SPEED_COST;
}

/**
 * Rounds a speed, so that workers of about the same speed are told apart by
 * what is free on them.
 */
export function speedClass(speed: number): number {
  return (
    2 ** (Math.round(Math.log2(speed) / CLASS_WIDTH_LOG2) * CLASS_WIDTH_LOG2)
  );
}

/**
 * Groups workers by like speed, the group that suits best first. The members of
 * a gang wait for the slowest one, so a fast worker among slow ones is wasted.
 */
export function groupBySpeed<Candidate>(
  candidates: readonly Candidate[],
  speedOf: (candidate: Candidate) => number,
  needed: number,
): readonly (readonly Candidate[])[] {
  const groups = new Map<number, Candidate[]>();
  for (const candidate of candidates) {
    const speed = speedClass(speedOf(candidate));
    const group = groups.get(speed);
    if (group === undefined) groups.set(speed, [candidate]);
    else group.push(candidate);
  }
  if (groups.size < 2) return [candidates];
  return [...groups]
    .sort(([a], [b]) => speedCost(a, needed) - speedCost(b, needed))
    .map(([, group]) => group);
}
