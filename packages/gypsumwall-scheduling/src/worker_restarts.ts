/**
 * Replaces a worker by its next incarnation under the same id. What ran there
 * has ended with the incarnation before, and nothing known of that one holds
 * for the next: its approvals, isolation, health and reservations. A start
 * order whose answer is missing may still be carried out by the next
 * incarnation, so its attempt is stopped there before its task runs elsewhere.
 */
import type * as types from '@gypsumwall/types';
import type * as attemptTable from './attempt_table.js';
import type * as crashAttribution from './crash_attribution.js';
import type * as jobRegistries from './job_registry.js';
import type * as lostAttempts from './lost_attempts.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as stepAdvice from './step_advice.js';
import type * as taskIsolation from './task_isolation.js';
import type * as workerHealth from './worker_health.js';
import type * as workerIncarnation from './worker_incarnation.js';
import type * as workerLosses from './worker_losses.js';
import type * as workerRegistry from './worker_registry.js';

/** What keeps state of workers. */
export interface WorkerRestartsParts {
  readonly registry: workerRegistry.WorkerRegistry;
  readonly attempts: attemptTable.AttemptTable;
  readonly jobRegistry: jobRegistries.JobRegistry;
  readonly crashes: crashAttribution.CrashAttribution;
  readonly lossHandler: lostAttempts.LostAttempts;
  readonly losses: workerLosses.WorkerLosses;
  readonly health: workerHealth.WorkerHealth;
  readonly isolation: taskIsolation.TaskIsolation;
}

/** Ends incarnations of workers. */
export interface WorkerRestarts {
  /** See `Scheduler.removeWorker`. */
  remove(
    id: types.ids.WorkerId,
    cause: schedulerTypes.WorkerLoss,
    now: types.clock.MonotonicMs,
  ): void;
  /** See `Scheduler.restartWorker`. */
  restart(
    info: workerRegistry.WorkerInfo,
    cause: schedulerTypes.IncarnationEnd,
    now: types.clock.MonotonicMs,
  ): void;
}

/** Creates the handler of a scheduler. */
export function createWorkerRestarts(
  parts: WorkerRestartsParts,
): WorkerRestarts {
  const {registry, attempts, jobRegistry, lossHandler, losses} = parts;

  function incarnationOf(
    id: types.ids.WorkerId,
  ): workerIncarnation.Incarnation {
    return registry.workers.get(id)?.info ?? {id};
  }

  /** Forgets what holds for one life of a worker only. */
  function forget(id: types.ids.WorkerId): void {
    losses.recordRemoval(id);
    parts.health.forgetWorker(id);
    parts.isolation.forgetWorker(id);
    for (const job of jobRegistry.jobs.values()) {
      for (const {steps} of job.openOccurrences.values()) {
        for (const {advice} of steps) stepAdvice.forgetWorker(advice, id);
      }
    }
  }

  return {
    remove(id, cause, now) {
      const incarnation = incarnationOf(id);
      if (cause === 'crashed' || cause === 'unknown')
        lossHandler.recordUnresolvedCrash(incarnation, cause);
      registry.remove(id);
      lossHandler.endAttempts(incarnation, cause, now);
      forget(id);
    },
    restart(info, cause, now) {
      const {id} = info;
      const incarnation = incarnationOf(id);
      lossHandler.onWorkerUnanswered(id, false, now);
      if (cause !== 'left')
        lossHandler.recordUnresolvedCrash(incarnation, cause);
      const all = [...attempts.ofWorker(id)];
      const unsettled = all.filter((one) => one.startedAt === undefined);
      const ended = all.filter((one) => one.startedAt !== undefined);
      const stopping = unsettled.filter(({phase}) => phase === 'stopping');
      lossHandler.dropAttempts(ended, cause);
      for (const attempt of unsettled) registry.release(id, attempt);
      registry.remove(id);
      registry.put(info);
      for (const attempt of unsettled) {
        registry.reserve(id, attempt);
        jobRegistry.stop(attempt);
      }
      // What the incarnation before answered proves nothing for the next one.
      for (const attempt of stopping) jobRegistry.retryStop(attempt);
      // The task of an unanswered start may be what crashed the worker.
      lossHandler.attribute(incarnation, all, cause, now);
      forget(id);
    },
  };
}
