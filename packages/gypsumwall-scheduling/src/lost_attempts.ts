/**
 * Ends the attempts of lost workers and records what the loss shows about their
 * tasks.
 */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as crashAttribution from './crash_attribution.js';
import type * as jobRegistries from './job_registry.js';
import type * as attemptTable from './attempt_table.js';
import type * as schedulerTypes from './scheduler_types.js';
import type * as workerIncarnation from './worker_incarnation.js';
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
  /** Called when a worker has stopped answering; see `Scheduler.setUsable`. */
  onWorkerUnanswered(
    id: types.ids.WorkerId,
    isSilent: boolean,
    now: types.clock.MonotonicMs,
  ): void;
  /** Ends all attempts of a lost worker. */
  endAttempts(
    incarnation: workerIncarnation.Incarnation,
    cause: schedulerTypes.WorkerLoss,
    now: types.clock.MonotonicMs,
  ): void;
  /** Drops attempts that ended with their worker, and queues their tasks. */
  dropAttempts(
    ended: readonly activeJob.Attempt[],
    cause: schedulerTypes.WorkerLoss,
  ): void;
  /** Records what the loss of a worker shows about these attempts. */
  attribute(
    incarnation: workerIncarnation.Incarnation,
    lost: readonly activeJob.Attempt[],
    cause: schedulerTypes.WorkerLoss,
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * Records that a worker of an earlier scheduler has crashed, or may have, with
   * tasks that are not known yet.
   */
  recordUnresolvedCrash(
    incarnation: workerIncarnation.Incarnation,
    end: 'crashed' | 'unknown',
  ): void;
}

/** Creates the handler of a scheduler. */
export function createLostAttempts(parts: LostAttemptsParts): LostAttempts {
  const {attempts, jobRegistry, losses, crashes} = parts;

  function dropAttempts(
    ended: readonly activeJob.Attempt[],
    reason: schedulerTypes.WorkerLoss,
  ): void {
    for (const attempt of ended) {
      parts.onEvent({
        type: 'run_ended',
        run: attempt.taskId,
        attempt: attempt.number,
        worker: attempt.workerId,
        how: 'lost',
        reason,
      });
      jobRegistry.dropAttempt(attempt);
    }
  }

  function attribute(
    incarnation: workerIncarnation.Incarnation,
    lost: readonly activeJob.Attempt[],
    cause: schedulerTypes.WorkerLoss,
    now: types.clock.MonotonicMs,
  ): void {
    switch (cause) {
      case 'left':
        return;
      case 'crashed':
      case 'unknown':
        crashes.recordCrash(incarnation, lost, cause, now);
        return;
      case 'silent':
        crashes.recordSilence(incarnation, lost, now);
        return;
    }
  }

  return {
    dropAttempts,
    attribute,
    onWorkerUnanswered(id, isSilent, now) {
      const isExplained = [...attempts.ofWorker(id)].some(
        ({isolatedUntil}) =>
          isolatedUntil !== undefined && now <= isolatedUntil,
      );
      losses.recordLoss(id, {isExplained, isSilent}, now);
    },
    endAttempts(incarnation, reason, now) {
      const ended = [...attempts.ofWorker(incarnation.id)];
      dropAttempts(ended, reason);
      attribute(incarnation, ended, reason, now);
    },
    recordUnresolvedCrash({id, bornMs}, end) {
      // What ran on a worker that has answered is known.
      if (losses.hasAnswered(id)) return;
      const crashed = {id, bornMs, mayHaveLeft: end === 'unknown'};
      for (const job of jobRegistry.jobs.values()) {
        if (!job.isAwaitingReconciliation || !job.workers.has(id)) continue;
        job.unresolvedCrashes.set(id, crashed);
        // The worker leaves the stored used workers at once, so a successor
        // would not find its crash.
        jobRegistry.dirty.add(job);
      }
    },
  };
}
