/** Ends what ran on workers that are lost, and notes what their loss tells. */
import type * as types from '@gypsumwall/types';
import type * as crashAttribution from './crash_attribution.js';
import type * as jobRegistrys from './job_registry.js';
import type * as attemptTable from './attempt_table.js';
import type * as schedulerTypes from './scheduler_types.js';
import type * as workerLosses from './worker_losses.js';

/** What it works on. */
export interface LostAttemptsParts {
  readonly attempts: attemptTable.AttemptTable;
  readonly jobRegistry: jobRegistrys.JobRegistry;
  readonly losses: workerLosses.WorkerLosses;
  readonly crashes: crashAttribution.CrashAttribution;
  readonly onEvent: (event: schedulerTypes.SchedulerEvent) => void;
}

/** Deals with lost workers. */
export interface LostAttempts {
  /** A worker has stopped answering. */
  onWorkerUnanswered(
    id: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void;
  /** Ends all runs of a worker that was lost. */
  endAttempts(
    id: types.ids.WorkerId,
    cause: schedulerTypes.WorkerLoss,
    now: types.clock.MonotonicMs,
  ): void;
  /** A worker of an earlier scheduler has crashed: what ran there isn't known. */
  recordUnresolvedCrash(id: types.ids.WorkerId): void;
}

/** Creates it for a scheduler. */
export function createLostAttempts(parts: LostAttemptsParts): LostAttempts {
  const {attempts, jobRegistry, losses, crashes} = parts;

  return {
    onWorkerUnanswered(id, now) {
      const isExplained = [...attempts.ofWorker(id)].some(
        ({isolatedUntil}) =>
          isolatedUntil !== undefined && now <= isolatedUntil,
      );
      losses.recordLoss(id, isExplained, now);
    },
    endAttempts(worker, reason, now) {
      const ended = [...attempts.ofWorker(worker)];
      for (const attempt of ended) {
        const {taskId, number: attemptNumber} = attempt;
        const lost = {
          run: taskId,
          attempt: attemptNumber,
          worker,
          how: 'lost',
        } as const;
        parts.onEvent({type: 'run_ended', ...lost, reason});
        jobRegistry.dropAttempt(attempt);
      }
      switch (reason) {
        case 'left':
          return;
        case 'crashed':
          crashes.recordCrash(worker, ended, now);
          return;
        case 'silent':
          crashes.recordSilence(worker, ended, now);
          return;
      }
    },
    recordUnresolvedCrash(id) {
      for (const job of jobRegistry.jobs.values()) {
        if (job.isAwaitingReconciliation && job.workers.has(id))
          job.unresolvedCrashes.add(id);
      }
    },
  };
}
