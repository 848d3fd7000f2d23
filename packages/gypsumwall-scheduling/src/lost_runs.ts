/** Ends what ran on workers that are lost, and notes what their loss tells. */
import type * as types from '@gypsumwall/types';
import type * as crashReader from './crash_reader.js';
import type * as jobRegistrys from './job_registry.js';
import type * as attemptTable from './attempt_table.js';
import type * as schedulerTypes from './scheduler_types.js';
import type * as workerLosses from './worker_losses.js';

/** What it works on. */
export interface LostRunsParts {
  readonly runs: attemptTable.AttemptTable;
  readonly jobRegistry: jobRegistrys.JobRegistry;
  readonly losses: workerLosses.WorkerLosses;
  readonly crashes: crashReader.CrashReader;
  readonly onEvent: (event: schedulerTypes.SchedulerEvent) => void;
}

/** Deals with lost workers. */
export interface LostRuns {
  /** A worker has stopped answering. */
  noteUnanswered(id: types.ids.WorkerId, now: types.clock.MonotonicMs): void;
  /** Ends all runs of a worker that was lost. */
  dropRuns(
    id: types.ids.WorkerId,
    cause: schedulerTypes.WorkerLoss,
    now: types.clock.MonotonicMs,
  ): void;
  /** A worker of an earlier scheduler has crashed: what ran there isn't known. */
  noteUnheard(id: types.ids.WorkerId): void;
}

/** Creates it for a scheduler. */
export function createLostRuns(parts: LostRunsParts): LostRuns {
  const {runs, jobRegistry, losses, crashes} = parts;

  return {
    noteUnanswered(id, now) {
      const isExplained = [...runs.ofWorker(id)].some(
        ({isolatedUntil}) =>
          isolatedUntil !== undefined && now <= isolatedUntil,
      );
      losses.noteLost(id, isExplained, now);
    },
    dropRuns(worker, reason, now) {
      const dropped = [...runs.ofWorker(worker)];
      for (const run of dropped) {
        const {taskId, number: attempt} = run;
        const lost = {run: taskId, attempt, worker, how: 'lost'} as const;
        parts.onEvent({type: 'run_ended', ...lost, reason});
        jobRegistry.dropRun(run);
      }
      switch (reason) {
        case 'left':
          return;
        case 'crashed':
          crashes.noteCrash(worker, dropped, now);
          return;
        case 'silent':
          crashes.noteSilent(worker, dropped, now);
          return;
      }
    },
    noteUnheard(id) {
      for (const job of jobRegistry.jobs.values()) {
        if (job.heldBack && job.workers.has(id)) job.unheardCrashes.add(id);
      }
    },
  };
}
