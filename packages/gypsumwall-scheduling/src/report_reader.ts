/**
 * Applies worker reports: ends, progress, attempts that an earlier scheduler
 * started, and attempts that do not run any more.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as stepNeeds from './step_needs.js';
import * as crashRecords from './crash_records.js';
import type * as jobRegistries from './job_registry.js';
import * as jobProgress from './job_progress.js';
import * as jobSteps from './job_steps.js';
import type * as attemptTable from './attempt_table.js';
import type * as schedulerTypes from './scheduler_types.js';
import type * as runMeters from './run_meter.js';
import * as taskIds from './task_id.js';
import * as stallDetector from './stall_detector.js';
import type * as workerRegistry from './worker_registry.js';
import type * as workerHealth from './worker_health.js';

/**
 * A worker that accepted a stop ends the attempt and saves its progress within
 * this time. Without a second stop, a gang member that keeps running would
 * prevent its gang from ever starting again; milliseconds.
 */
const STOP_RETRY_AFTER_MS = 4_000;

/** Dependencies of a report reader. */
export interface ReportReaderParts {
  readonly registry: workerRegistry.WorkerRegistry;
  readonly attempts: attemptTable.AttemptTable;
  readonly health: workerHealth.WorkerHealth;
  readonly jobRegistry: jobRegistries.JobRegistry;
  readonly runMeter: runMeters.RunMeter;
  /** The organisation of a task whose job is over. */
  readonly organisationOf: (
    taskId: types.ids.TaskId,
  ) => types.ids.OrganisationId | undefined;
  readonly onEvent: (event: schedulerTypes.SchedulerEvent) => void;
}

/** Applies a worker report. */
export type ReportReader = (
  report: schedulerTypes.WorkerReport,
  now: types.clock.MonotonicMs,
) => void;

/** Creates the report reader of a scheduler. */
export function createReportReader(parts: ReportReaderParts): ReportReader {
  const {registry, attempts, health, jobRegistry, runMeter} = parts;

  function applyEnd(
    workerId: types.ids.WorkerId,
    reported: schedulerTypes.AttemptEnd,
    now: types.clock.MonotonicMs,
  ): void {
    const attempt = attempts.find(reported.taskId, reported.attempt, workerId);
    if (attempt !== undefined) {
      if (reported.how === 'done') runMeter.onDone(attempt, now);
      attempts.remove(attempt);
      jobRegistry.storeIfSuspect(attempt);
      jobRegistry.removeLeavingWorker(attempt);
    }
    parts.onEvent({
      type: 'run_ended',
      run: reported.taskId,
      attempt: reported.attempt,
      worker: workerId,
      how: reported.how,
    });
    const task = attempt?.task ?? jobRegistry.findTask(reported.taskId, now);
    if (task === undefined) return;
    const {stepRun, index} = task;
    jobRegistry.markRunning(stepRun.job);
    saveCheckpoint(stepRun, index, reported.checkpoint);
    switch (reported.how) {
      case 'done':
        applyDone(stepRun, index, reported.attempt, workerId);
        return;
      case 'failed':
        applyFailed(stepRun, index, reported.attempt, workerId, now);
        return;
      case 'stopped':
      case 'lapsed':
      case 'broken':
      case 'alone':
        if (attempt !== undefined) {
          jobRegistry.requeue(stepRun, index, reported.attempt);
        }
        return;
    }
  }

  function applyDone(
    stepRun: activeJob.StepRun,
    index: number,
    attemptNumber: number,
    workerId: types.ids.WorkerId,
  ): void {
    const {job} = stepRun;
    health.recordSuccess(workerId, job.id);
    if (stepRun.request.longRunning) {
      jobRegistry.requeue(stepRun, index, attemptNumber);
      return;
    }
    if (stepRun.state === 'done' || stepRun.doneIndexes.has(index)) return;
    jobSteps.markDone(stepRun, index);
    jobRegistry.updateWaiting(stepRun);
    for (const attempt of stepRun.attempts) {
      // Members of a gang end together by themselves; the copies of a task do
      // not.
      if (!stepRun.request.gang && attempt.task?.index === index)
        jobRegistry.stop(attempt);
    }
    jobRegistry.dirty.add(job);
    if (job.phase === 'completed') jobRegistry.finishJob(job, 'completed');
    else jobRegistry.jobsToOpen.add(job);
  }

  function applyFailed(
    stepRun: activeJob.StepRun,
    index: number,
    attemptNumber: number,
    workerId: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void {
    const {job} = stepRun;
    health.recordFailure(workerId, job.id, now);
    job.failedOn.add(workerId);
    if (stepRun.state === 'done' || jobProgress.isOver(job.phase)) return;
    if (stepRun.doneIndexes.has(index)) return;
    const isExhausted = jobSteps.recordFailure(
      stepRun,
      index,
      attemptNumber,
      workerId,
    );
    jobRegistry.dirty.add(job);
    if (isExhausted) {
      jobRegistry.finishJob(job, 'failed', {
        reason: 'too_many_failures',
        task: taskIds.taskId(stepRun.id, index),
        limit: job.policy.maxFailures,
        attempts: jobSteps.describeFailures(stepRun, index),
      });
    } else jobRegistry.requeue(stepRun, index, attemptNumber);
  }

  function saveCheckpoint(
    stepRun: activeJob.StepRun,
    index: number,
    checkpoint: string,
  ): void {
    if (checkpoint === '') return;
    stepRun.checkpoints.set(activeJob.counterKey(stepRun, index), checkpoint);
  }

  function applyRunning(
    workerId: types.ids.WorkerId,
    reported: schedulerTypes.RunningAttempt,
    now: types.clock.MonotonicMs,
  ): void {
    const attempt = attempts.find(reported.taskId, reported.attempt, workerId);
    if (attempt === undefined) {
      adoptAttempt(workerId, reported, now);
      return;
    }
    if (isStopOverdue(attempt, now)) jobRegistry.retryStop(attempt);
    if (attempt.percent !== reported.percent) {
      attempt.percent = reported.percent;
      attempt.percentChangedAt = now;
      runMeter.onProgress(attempt, reported.percent, now);
    }
    if (attempt.startedAt === undefined) {
      attempt.startedAt = now;
      jobRegistry.storeIfSuspect(attempt);
    }
    if (attempt.task !== undefined) {
      jobRegistry.markRunning(attempt.task.stepRun.job);
      saveCheckpoint(
        attempt.task.stepRun,
        attempt.task.index,
        reported.checkpoint,
      );
      clearCrashes(attempt.task, now - attempt.startedAt);
    }
  }

  /**
   * Clears the crashes recorded for a task that has run long enough to show
   * that it does not crash its worker.
   */
  function clearCrashes(
    {stepRun, index}: jobRegistries.TaskRef,
    ranMs: number,
  ): void {
    if (ranMs < crashRecords.SURVIVAL_MS) return;
    const isCleared = stepRun.crashes.delete(index);
    if (stepRun.presumedCrashes.delete(index) || isCleared)
      jobRegistry.dirty.add(stepRun.job);
  }

  function isStopOverdue(
    {phase, confirmedAt}: activeJob.Attempt,
    now: types.clock.MonotonicMs,
  ): boolean {
    if (phase !== 'stopping' || confirmedAt === undefined) return false;
    return now - confirmedAt > STOP_RETRY_AFTER_MS;
  }

  /**
   * Takes over an attempt that an earlier scheduler started. If it does not
   * belong to a task of this scheduler, it is stopped and its capacity stays
   * reserved until its end is reported.
   */
  function adoptAttempt(
    workerId: types.ids.WorkerId,
    reported: schedulerTypes.RunningAttempt,
    now: types.clock.MonotonicMs,
  ): void {
    const task = jobRegistry.findTask(reported.taskId, now);
    const wanted = task !== undefined && isWanted(task, reported.attempt);
    const worker = registry.workers.get(workerId);
    const size =
      task === undefined
        ? (worker?.info.capacity ?? types.resources.NO_RESOURCES)
        : stepNeeds.reservedSize(task.stepRun);
    const stepRunId = task?.stepRun.id ?? 'stray';
    const organisation =
      task === undefined
        ? parts.organisationOf(reported.taskId)
        : task.stepRun.job.organisation;
    const attempt: activeJob.Attempt = {
      taskId: reported.taskId,
      number: reported.attempt,
      workerId,
      task,
      size,
      stepRunId,
      organisation,
      phase: 'running',
      confirmedAt: now,
      startedAt: now,
      percent: reported.percent,
      percentChangedAt: now,
    };
    attempts.add(attempt);
    registry.reserve(workerId, attempt);
    runMeter.onProgress(attempt, reported.percent, now);
    if (task === undefined) {
      jobRegistry.stop(attempt);
      return;
    }
    jobRegistry.markRunning(task.stepRun.job);
    recordAttemptNumber(task.stepRun, task.index, reported.attempt);
    saveCheckpoint(task.stepRun, task.index, reported.checkpoint);
    jobRegistry.storeIfSuspect(attempt);
    if (wanted) jobRegistry.dequeue(task.stepRun, task.index);
    else jobRegistry.stop(attempt);
  }

  /**
   * Whether an attempt is the one that its task should have. It is also wanted
   * if its step is not open here: the steps before it were done when it
   * started, and their last ends may not have been received here yet.
   */
  function isWanted(
    task: jobRegistries.TaskRef,
    attemptNumber: number,
  ): boolean {
    const {stepRun, index} = task;
    if (stepRun.state === 'done' || stepRun.doneIndexes.has(index))
      return false;
    const {gang} = stepRun.request;
    for (const attempt of stepRun.attempts) {
      if (
        gang ? attempt.number !== attemptNumber : attempt.task?.index === index
      ) {
        return false;
      }
    }
    return true;
  }

  function recordAttemptNumber(
    stepRun: activeJob.StepRun,
    index: number,
    attemptNumber: number,
  ): void {
    const key = activeJob.counterKey(stepRun, index);
    const highest = stepRun.highestAttempts.get(key) ?? 0;
    stepRun.highestAttempts.set(key, Math.max(highest, attemptNumber));
  }

  function findVanished(report: schedulerTypes.WorkerReport): void {
    const listed = new Set(
      report.running.map(
        (reported) => `${reported.taskId}#${reported.attempt}`,
      ),
    );
    for (const attempt of [...attempts.ofWorker(report.workerId)]) {
      if (listed.has(`${attempt.taskId}#${attempt.number}`)) continue;
      const confirmed = attempt.confirmedAt;
      if (confirmed === undefined || confirmed >= report.askedAt) continue;
      parts.onEvent({
        type: 'run_ended',
        run: attempt.taskId,
        attempt: attempt.number,
        worker: attempt.workerId,
        how: 'vanished',
      });
      jobRegistry.dropAttempt(attempt);
    }
  }

  function handleStall(
    workerId: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void {
    const stall = stallDetector.findStall(attempts.ofWorker(workerId), now);
    if (stall === undefined) return;
    parts.onEvent({
      type: 'worker_stalled',
      worker: workerId,
      runs: stall.attempts.length,
      percent: stall.attempts[0]?.percent ?? 0,
      step: stall.attempts[0]?.stepRunId ?? '',
      blamed: stall.blamesWorker,
    });
    if (stall.blamesWorker) health.recordStall(workerId, now);
    for (const attempt of stall.attempts) jobRegistry.stop(attempt);
  }

  return (report, now) => {
    for (const end of report.ends) applyEnd(report.workerId, end, now);
    for (const reported of report.running)
      applyRunning(report.workerId, reported, now);
    if (report.complete) findVanished(report);
    handleStall(report.workerId, now);
  };
}
