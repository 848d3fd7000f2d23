/**
 * Finds workers on which everything runs slowly while they answer, by the
 * progress that running tasks report against what was expected of them.
 *
 * Pattern: a few of many workers take five times as long for some seconds, and
 * jobs of several tasks that wait for the last of them. With 6% of the workers
 * slow and six tasks a job, every third job had a task on one of them.
 *
 * A single slow task says little: its own estimate may be off, by a factor of
 * two in one of forty on the workload known best. So a task alone accuses its
 * worker only when it is far behind, and several together when all are behind.
 */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';

/** Shorter than this, progress in whole percent says nothing; milliseconds. */
const SHORTEST_SPAN_MS = 200;
/** And a task's own start-up weighs too much: share of the expected length. */
const SHORTEST_SPAN_SHARE = 0.3;
/** Below this share of the expected pace several tasks accuse their worker. */
const SLOW_TOGETHER = 0.4;
/** Below this, one task alone. */
const SLOW_ALONE = 0.28;
/** A stop was answered by the end of the run after 0.6 s; milliseconds. */
const STOP_TAKES_MS = 600;
/** Moving has to gain this much, since the estimate may be off. */
const WORTH_MOVING = 1.5;

/** A run whose pace is known. */
interface PacedRun {
  readonly run: activeJob.Run;
  /** Of what is expected: 1 is as expected, 0 stands still. */
  readonly pace: number;
}

/** What is slow on one worker. */
export interface Slowness {
  readonly runs: activeJob.Run[];
  /** Those that would be done sooner if they started anew elsewhere. */
  readonly worthMoving: activeJob.Run[];
}

/** The runs of a slow worker; undefined if nothing shows that it is slow. */
export function findSlowness(
  runs: ReadonlySet<activeJob.Run>,
  now: types.clock.MonotonicMs,
): Slowness | undefined {
  const paced: PacedRun[] = [];
  for (const run of runs) {
    const pace = paceOf(run, now);
    if (pace !== undefined) paced.push({run, pace});
  }
  if (paced.length === 0) return undefined;
  const limit = paced.length > 1 ? SLOW_TOGETHER : SLOW_ALONE;
  if (paced.some(({pace}) => pace > limit)) return undefined;
  const worthMoving = paced.filter(isWorthMoving).map(({run}) => run);
  return {runs: paced.map(({run}) => run), worthMoving};
}

/** Unknown for tasks whose progress depends on others, or isn't counted. */
function paceOf(
  run: activeJob.Run,
  now: types.clock.MonotonicMs,
): number | undefined {
  const request = run.owner?.stepRun.request;
  if (request === undefined || run.phase !== 'running') return undefined;
  if (request.longRunning || request.gang) return undefined;
  const {paceFrom} = run;
  if (paceFrom === undefined || request.expectedMs <= 0) return undefined;
  const spanMs = now - paceFrom.at;
  const shortest = Math.max(
    SHORTEST_SPAN_MS,
    request.expectedMs * SHORTEST_SPAN_SHARE,
  );
  if (spanMs < shortest) return undefined;
  const expected = (spanMs / request.expectedMs) * 100;
  return (run.percent - paceFrom.percent) / expected;
}

function isWorthMoving({run, pace}: PacedRun): boolean {
  const stepRun = run.owner?.stepRun;
  if (stepRun === undefined) return false;
  const {expectedMs, savesProgress} = stepRun.request;
  const leftMs = (expectedMs * (100 - run.percent)) / 100;
  const stayMs = pace > 0 ? leftMs / pace : Infinity;
  const moveMs = STOP_TAKES_MS + (savesProgress ? leftMs : expectedMs);
  return stayMs > moveMs * WORTH_MOVING;
}
