/**
 * Finds workers on which everything stands still while they answer. Progress
 * is reported in whole percent, so a sound task of 16 s shows one at least
 * every 160 ms; a task that goes on from saved progress or waits for its gang
 * shows none for a second.
 */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';

/** No sound task was seen without progress for this long; milliseconds. */
export const STALLED_AFTER_MS = 2_000;
/** Progress of a task that has done all its work. */
const DONE_PERCENT = 100;

/** What stands still on one worker. */
export interface Stall {
  readonly runs: activeJob.Attempt[];
  /**
   * Whether the worker is to blame. Members of a gang stand still all
   * together, wherever the one at fault is, so they accuse nobody.
   */
  readonly blamesWorker: boolean;
}

/**
 * A member of a gang that has done its part waits for the others at 100, for
 * seconds where its worker is faster than theirs: that says nothing about
 * either. Taken for hanging, every third gang of a quiet day was stopped just
 * before its end and began anew. One that really hangs is found by the members
 * that stand still before 100.
 */
function waitsForGang({task: owner, percent}: activeJob.Attempt): boolean {
  return owner?.stepRun.request.gang === true && percent >= DONE_PERCENT;
}

/** The stalled runs of a worker, if nothing on it moves; else undefined. */
export function findStall(
  runs: ReadonlySet<activeJob.Attempt>,
  now: types.clock.MonotonicMs,
): Stall | undefined {
  const stalled: activeJob.Attempt[] = [];
  for (const run of runs) {
    if (run.task?.stepRun.request.longRunning === true) continue;
    if (run.phase !== 'running' || waitsForGang(run)) continue;
    if (now - run.percentChangedAt < STALLED_AFTER_MS) return undefined;
    stalled.push(run);
  }
  if (stalled.length === 0) return undefined;
  const blamesWorker = stalled.some(
    (run) => run.task?.stepRun.request.gang === false,
  );
  return {runs: stalled, blamesWorker};
}
