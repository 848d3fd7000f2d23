/**
 * Attributes worker crashes to the tasks that ran there and gives up the tasks
 * that caused them.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as crashRecords from './crash_records.js';
import type * as jobRegistries from './job_registry.js';
import * as jobProgress from './job_progress.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as taskIds from './task_id.js';
import type * as workerIncarnation from './worker_incarnation.js';
import * as workerLosses from './worker_losses.js';

/** Dependencies of the crash attribution. */
export interface CrashAttributionParts {
  readonly losses: workerLosses.WorkerLosses;
  readonly jobRegistry: jobRegistries.JobRegistry;
  readonly onEvent: (event: schedulerTypes.SchedulerEvent) => void;
}

/** Attributes worker crashes to tasks. */
export interface CrashAttribution {
  /**
   * Records that a worker crashed with these attempts, or may have, if its end is
   * `unknown`.
   */
  recordCrash(
    worker: workerIncarnation.Incarnation,
    attempts: readonly activeJob.Attempt[],
    end: 'crashed' | 'unknown',
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * Records attempts that ended with the lease of their worker, while it is not
   * known yet whether the worker has crashed or is cut off. Their tasks are
   * started again meanwhile.
   */
  recordSilence(
    worker: workerIncarnation.Incarnation,
    attempts: readonly activeJob.Attempt[],
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * Called when a worker answers: it was only cut off, and its incarnation has
   * not crashed.
   */
  onWorkerAnswered(worker: types.ids.WorkerId): void;
  /** Called when a job is added, possibly one of an earlier scheduler. */
  onJobAdded(job: activeJob.ActiveJob): void;
  /**
   * Called when all attempts on a worker are known: suspects that an earlier
   * scheduler had there, and that are not among them, have ended.
   */
  onAttemptsListed(worker: types.ids.WorkerId): void;
  /**
   * Called when all workers recorded for a job of an earlier scheduler are
   * reconciled. A task that was not found on them may have run on a crashed
   * worker. Whether it did is known of suspects only.
   */
  onJobReconciled(job: activeJob.ActiveJob): void;
}

interface UnprovenCrash {
  readonly incarnation: workerIncarnation.Incarnation;
  readonly attempts: readonly activeJob.Attempt[];
  readonly forgetAt: types.clock.MonotonicMs;
}

/** Creates the crash attribution of a scheduler. */
export function createCrashAttribution(
  parts: CrashAttributionParts,
): CrashAttribution {
  const {losses, jobRegistry, onEvent} = parts;
  const unprovenCrashes = new Map<types.ids.WorkerId, UnprovenCrash>();
  /** Jobs of earlier schedulers whose workers are not all reconciled. */
  const awaitingJobs = new Set<activeJob.ActiveJob>();

  function recordForTask(
    stepRun: activeJob.StepRun,
    index: number,
    worker: workerIncarnation.Incarnation,
    crash: jobProgress.CrashRecord,
  ): boolean {
    const {job} = stepRun;
    if (jobProgress.isOver(job.phase) || stepRun.state === 'done') return false;
    if (stepRun.doneIndexes.has(index)) return false;
    if (!crashRecords.recordCrash(stepRun, index, worker, crash)) return false;
    jobRegistry.dirty.add(job);
    const crashes = crashRecords.crashCount(stepRun, index);
    const task = taskIds.taskId(stepRun.id, index);
    const {id} = worker;
    onEvent({type: 'crash_recorded', task, worker: id, ...crash, crashes});
    if (crashRecords.needsIsolation(stepRun, index))
      onEvent({type: 'task_suspected', task, worker: id, crashes});
    return true;
  }

  function dropInheritedSuspects(
    stepRun: activeJob.StepRun,
    worker: types.ids.WorkerId,
  ): void {
    for (const [index, suspect] of stepRun.inheritedSuspects) {
      if (!suspect.workers.includes(worker)) continue;
      const workers = suspect.workers.filter((id) => id !== worker);
      stepRun.inheritedSuspects.set(index, {...suspect, workers});
      jobRegistry.dirty.add(stepRun.job);
    }
  }

  /** Makes tasks of a step suspects without a crash that counts. */
  function presumeCrashes(
    stepRun: activeJob.StepRun,
    indexes: readonly number[],
    {id: worker}: workerIncarnation.Incarnation,
  ): void {
    const {job, presumedCrashes, doneIndexes} = stepRun;
    if (jobProgress.isOver(job.phase) || stepRun.state === 'done') return;
    const added = indexes.filter(
      (index) => !doneIndexes.has(index) && !presumedCrashes.has(index),
    );
    if (added.length === 0) return;
    for (const index of added) presumedCrashes.add(index);
    jobRegistry.dirty.add(job);
    const {length: tasks} = added;
    onEvent({type: 'crash_presumed', step: stepRun.id, worker, tasks});
  }

  /**
   * Applies that these tasks were found on none of the workers of an earlier
   * scheduler, some of which crashed. Those that were no suspects may only have
   * waited, or have ended there: that proves nothing, but from now on their
   * attempts are stored, so that the next scheduler knows.
   */
  function recordMissingTasks(
    stepRun: activeJob.StepRun,
    indexes: readonly number[],
    crashed: readonly jobProgress.CrashedWorker[],
  ): void {
    const unsuspected: number[] = [];
    for (const index of indexes) {
      if (activeJob.isSuspect(stepRun, index))
        recordMissingSuspect(stepRun, index, crashed);
      else unsuspected.push(index);
    }
    presumeCrashes(stepRun, unsuspected, crashed[0]!);
  }

  function recordMissingSuspect(
    stepRun: activeJob.StepRun,
    index: number,
    crashed: readonly jobProgress.CrashedWorker[],
  ): void {
    const suspect = stepRun.inheritedSuspects.get(index);
    // It is not known when the worker crashed after the start.
    const isolatedMs =
      suspect?.isIsolated === true && crashed.length === 1
        ? Infinity
        : undefined;
    for (const worker of crashed) {
      if (suspect?.workers.includes(worker.id) !== true) continue;
      if (worker.mayHaveLeft) {
        presumeCrashes(stepRun, [index], worker);
        continue;
      }
      const crash = {kind: 'single', evidence: 'inherited'} as const;
      if (!recordForTask(stepRun, index, worker, crash)) continue;
      const reason = crashRecords.giveUpReason(stepRun, index, isolatedMs);
      if (reason === undefined) continue;
      giveUp({stepRun, index}, reason);
      return;
    }
  }

  function giveUp(
    {stepRun, index}: jobRegistries.TaskRef,
    reason: crashRecords.GiveUpReason,
  ): void {
    const task = taskIds.taskId(stepRun.id, index);
    const workers = [...(stepRun.crashes.get(index)?.keys() ?? [])];
    onEvent({
      type: 'task_given_up',
      task,
      reason,
      crashes: workers.length,
      workers: workers.join(','),
    });
    const crashes = crashRecords.describeCrashes(stepRun, index);
    jobRegistry.finishJob(stepRun.job, 'failed', {reason, task, crashes});
  }

  /**
   * How long an attempt ran isolated from other jobs before its worker crashed;
   * undefined if it was not isolated then, or if other workers were lost at the
   * same moment.
   */
  function isolatedMs(
    {isolatedUntil, startedAt, workerId}: activeJob.Attempt,
    now: types.clock.MonotonicMs,
  ): number | undefined {
    if (isolatedUntil === undefined) return undefined;
    if (losses.isAccompanied(workerId)) return undefined;
    const crashedAt = losses.lostAt(workerId) ?? now;
    if (crashedAt > isolatedUntil) return undefined;
    return crashedAt - (startedAt ?? crashedAt);
  }

  return {
    recordCrash(incarnation, lost, end, now) {
      const worker = incarnation.id;
      const unproven = unprovenCrashes.get(worker);
      const attempts = [...lost, ...(unproven?.attempts ?? [])];
      unprovenCrashes.delete(worker);
      const crashed = unproven?.incarnation ?? incarnation;
      const kind = losses.isGroupLoss(worker) ? 'group' : 'single';
      const isSilent = losses.wasSilent(worker);
      onEvent({
        type: 'worker_crashed',
        worker,
        bornMs: crashed.bornMs,
        runs: attempts.length,
        isolated: attempts.filter(
          (attempt) => attempt.isolatedUntil !== undefined,
        ).length,
        kind,
        accompanied: losses.isAccompanied(worker),
      });
      for (const attempt of attempts) {
        if (attempt.task === undefined) continue;
        const {stepRun, index} = attempt.task;
        const isLeased = lost.includes(attempt);
        const evidence =
          end === 'unknown'
            ? 'departed'
            : evidenceOf(attempt, {isSilent, isLeased});
        const isDoubtful = jobProgress.strengthOf(evidence) === 'doubtful';
        const crash = {kind: isDoubtful ? 'group' : kind, evidence} as const;
        if (!recordForTask(stepRun, index, crashed, crash)) continue;
        const ranMs = isolatedMs(attempt, now);
        const reason = crashRecords.giveUpReason(stepRun, index, ranMs);
        if (reason !== undefined) giveUp(attempt.task, reason);
      }
    },
    recordSilence(incarnation, attempts, now) {
      const worker = incarnation.id;
      for (const [id, {forgetAt}] of unprovenCrashes) {
        if (forgetAt <= now) unprovenCrashes.delete(id);
      }
      if (attempts.length === 0) return;
      const forgetAt = types.clock.after(now, workerLosses.LOSS_RETENTION_MS);
      const before = unprovenCrashes.get(worker)?.attempts ?? [];
      unprovenCrashes.set(worker, {
        incarnation,
        attempts: [...before, ...attempts],
        forgetAt,
      });
    },
    onWorkerAnswered: (worker) => void unprovenCrashes.delete(worker),
    onJobAdded(job) {
      if (job.isAwaitingReconciliation) awaitingJobs.add(job);
    },
    onAttemptsListed(worker) {
      for (const job of awaitingJobs) {
        if (jobProgress.isOver(job.phase)) awaitingJobs.delete(job);
        if (!job.workers.has(worker)) continue;
        // Another incarnation has answered.
        if (job.unresolvedCrashes.has(worker)) continue;
        for (const {steps} of job.openOccurrences.values())
          for (const stepRun of steps) dropInheritedSuspects(stepRun, worker);
      }
    },
    onJobReconciled(job) {
      awaitingJobs.delete(job);
      const crashed = [...job.unresolvedCrashes.values()];
      job.unresolvedCrashes.clear();
      if (crashed.length > 0) jobRegistry.dirty.add(job);
      for (const {steps} of job.openOccurrences.values()) {
        for (const stepRun of steps) {
          const missing = crashed.length === 0 ? [] : missingIndexes(stepRun);
          if (missing.length > 0) recordMissingTasks(stepRun, missing, crashed);
          if (stepRun.inheritedSuspects.size > 0) jobRegistry.dirty.add(job);
          stepRun.inheritedSuspects.clear();
        }
      }
    },
  };
}

/** What is known of the loss of a worker and of its lease. */
interface LossContext {
  readonly isSilent: boolean;
  /** Whether the lease had not expired before. */
  readonly isLeased: boolean;
}

/** How it is known that an attempt ran on its worker when the worker crashed. */
function evidenceOf(
  attempt: activeJob.Attempt,
  {isSilent, isLeased}: LossContext,
): jobProgress.CrashEvidence {
  if (attempt.startedAt === undefined) return 'unanswered';
  // Without an answer to the stop, the attempt ran on as far as is known.
  if (activeJob.isStopAnswered(attempt)) return 'stopping';
  const isLongRunning = attempt.task?.stepRun.request.longRunning === true;
  // A long-running task does not end by itself.
  if (isSilent && !(isLongRunning && isLeased)) return 'silent';
  return isLeased ? 'running' : 'lapsed';
}

/** Indexes of tasks of an open step that neither run nor are done. */
function missingIndexes(stepRun: activeJob.StepRun): number[] {
  if (stepRun.state !== 'open') return [];
  const found = new Set(stepRun.doneIndexes);
  for (const {task} of stepRun.attempts) {
    if (task !== undefined) found.add(task.index);
  }
  const missing: number[] = [];
  for (let index = 0; index < stepRun.request.taskCount; index++) {
    if (!found.has(index)) missing.push(index);
  }
  return missing;
}
