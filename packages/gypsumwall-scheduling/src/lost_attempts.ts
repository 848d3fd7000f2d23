/**
 * Ends the attempts of lost workers and records what the loss shows about their
 * tasks.
 */
import type * as types from '@gypsumwall/types';
import type * as crashAttribution from './crash_attribution.js';
import type * as jobRegistries from './job_registry.js';
import type * as attemptTable from './attempt_table.js';
import type * as schedulerTypes from './scheduler_types.js';
import type * as workerLosses from './worker_losses.js';

/** Dependencies of the handler of lost workers. */
export interface LostAttemptsParts {
  readonly attempts: attemptTable.AttemptTable;
  readonly jobRegistry: jobRegistries.JobRegistry;
  readonly losses: workerLosses.WorkerLosses;
  readonly crashes: crashAttribution.CrashAttribution;
  readonly onEvent: (event: schedulerTypes.SchedulerEvent) => void;
}

/** Handles the attempts of lost workers. */
export interface LostAttempts {
  /** Called when a worker has stopped answering. */
  onWorkerUnanswered(
    id: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void;
  /** Ends all attempts of a lost worker. */
  endAttempts(
    id: types.ids.WorkerId,
    cause: schedulerTypes.WorkerLoss,
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * Records that a worker of an earlier scheduler has crashed, with tasks that
   * are not known yet.
   */
  recordUnresolvedCrash(id: types.ids.WorkerId): void;
}

/** Creates the handler of a scheduler. */
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
