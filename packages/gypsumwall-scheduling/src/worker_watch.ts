/** Draws the consequences of a report that shows that nothing on a worker moves. */
import type * as types from '@gypsumwall/types';
import type * as jobBooks from './job_book.js';
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
  const {runs, health, jobBook} = parts;

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

  return handleStall;
}
