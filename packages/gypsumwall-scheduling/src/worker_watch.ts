/**
 * Draws the consequences of what a report shows of a worker as a whole: that
 * nothing on it moves, or that all of it is slow.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import type * as jobBooks from './job_book.js';
import * as paceWatch from './pace_watch.js';
import type * as runTable from './run_table.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as stallWatch from './stall_watch.js';
import type * as workerBook from './worker_book.js';
import type * as workerHealth from './worker_health.js';

/** What a watch works on. */
export interface WorkerWatchParts {
  readonly book: workerBook.WorkerBook;
  readonly runs: runTable.RunTable;
  readonly health: workerHealth.WorkerHealth;
  readonly jobBook: jobBooks.JobBook;
  readonly onEvent: (event: schedulerTypes.SchedulerEvent) => void;
}

/** Looks at a worker after its report has been read. */
export type WorkerWatch = (
  worker: types.ids.WorkerId,
  now: types.clock.MonotonicMs,
) => void;

/** Creates the watch of a scheduler. */
export function createWorkerWatch(parts: WorkerWatchParts): WorkerWatch {
  const {book, runs, health, jobBook} = parts;

  function handleStall(
    workerId: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void {
    const stall = stallWatch.findStall(runs.ofWorker(workerId), now);
    if (stall === undefined) return;
    parts.onEvent({
      type: 'worker_stalled',
      worker: workerId,
      runs: stall.runs.length,
      blamed: stall.blamesWorker,
    });
    if (stall.blamesWorker) health.noteStalled(workerId, now);
    for (const run of stall.runs) jobBook.stop(run);
  }

  /**
   * Gives a slow worker nothing more for a while, and takes from it what would
   * be done sooner elsewhere.
   */
  function handleSlowness(
    workerId: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void {
    const slow = paceWatch.findSlowness(runs.ofWorker(workerId), now);
    if (slow === undefined) return;
    parts.onEvent({
      type: 'worker_slow',
      worker: workerId,
      runs: slow.runs.length,
      worthMoving: slow.worthMoving.length,
    });
    health.noteStalled(workerId, now);
    for (const run of slow.worthMoving) {
      if (!hasRoomElsewhere(run, now)) continue;
      if (!jobBook.startCopy(run)) jobBook.stop(run);
    }
  }

  function hasRoomElsewhere(
    {owner, size, workerId}: activeJob.Run,
    now: types.clock.MonotonicMs,
  ): boolean {
    if (owner === undefined) return false;
    return chooseWorker
      .mayEverRun(owner.stepRun, {book, health, now})
      .some(
        ({info, free}) =>
          info.id !== workerId && types.resources.fits(size, free),
      );
  }

  return (worker, now) => {
    handleStall(worker, now);
    handleSlowness(worker, now);
  };
}
