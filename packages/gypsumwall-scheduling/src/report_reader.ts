/**
 * Reads what a worker tells of itself into the books: ends, progress, runs
 * that an earlier scheduler started, and runs that aren't there any more.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as crashRecords from './crash_records.js';
import type * as jobRegistrys from './job_registry.js';
import * as jobProgress from './job_progress.js';
import * as jobSteps from './job_steps.js';
import type * as attemptTable from './attempt_table.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as stallDetector from './stall_detector.js';
import type * as workerRegistry from './worker_registry.js';
import type * as workerHealth from './worker_health.js';

/**
 * A worker that accepted a stop has ended the run by then, its saved progress
 * included. Without another stop a member of a gang that runs on would keep its
 * gang from ever starting again.
 */
const STOP_AGAIN_AFTER_MS = 4_000;

/** What a reader works on. */
export interface ReportReaderParts {
  readonly book: workerRegistry.WorkerRegistry;
  readonly runs: attemptTable.AttemptTable;
  readonly health: workerHealth.WorkerHealth;
  readonly jobRegistry: jobRegistrys.JobRegistry;
  readonly onEvent: (event: schedulerTypes.SchedulerEvent) => void;
}

/** Reads reports. */
export type ReportReader = (
  report: schedulerTypes.WorkerReport,
  now: types.clock.MonotonicMs,
) => void;

/** Creates the reader of a scheduler. */
export function createReportReader(parts: ReportReaderParts): ReportReader {
  const {book, runs, health, jobRegistry} = parts;

  function applyEnd(
    workerId: types.ids.WorkerId,
    row: schedulerTypes.AttemptEnd,
    now: types.clock.MonotonicMs,
  ): void {
    const run = runs.find(row.taskId, row.attempt, workerId);
    if (run !== undefined) {
      runs.remove(run);
      jobRegistry.noteLeft(run);
    }
    parts.onEvent({
      type: 'run_ended',
      run: row.taskId,
      attempt: row.attempt,
      worker: workerId,
      how: row.how,
    });
    const task = run?.task ?? jobRegistry.stepRunOf(row.taskId);
    if (task === undefined) return;
    const {stepRun, index} = task;
    jobRegistry.noteBegun(stepRun.job);
    keepCheckpoint(stepRun, index, row.checkpoint);
    switch (row.how) {
      case 'done':
        applyDone(stepRun, index, row.attempt, workerId);
        return;
      case 'failed':
        applyFailed(stepRun, index, row.attempt, workerId, now);
        return;
      case 'stopped':
      case 'lapsed':
      case 'broken':
      case 'alone':
        if (run !== undefined) {
          jobRegistry.requeue(stepRun, index, row.attempt);
        }
        return;
    }
  }

  function applyDone(
    stepRun: activeJob.StepRun,
    index: number,
    attempt: number,
    workerId: types.ids.WorkerId,
  ): void {
    const {job} = stepRun;
    health.noteDone(workerId, job.id);
    if (stepRun.request.longRunning) {
      jobRegistry.requeue(stepRun, index, attempt);
      return;
    }
    if (stepRun.state === 'done' || stepRun.done.has(index)) return;
    jobSteps.markDone(stepRun, index);
    jobRegistry.noteWaiting(stepRun);
    for (const run of stepRun.attempts) {
      // Members of a gang end together by themselves; copies don't.
      if (!stepRun.request.gang && run.task?.index === index)
        jobRegistry.stop(run);
    }
    jobRegistry.dirty.add(job);
    if (job.phase === 'completed') jobRegistry.finishJob(job, 'completed');
    else jobRegistry.scheduled.add(job);
  }

  function applyFailed(
    stepRun: activeJob.StepRun,
    index: number,
    attempt: number,
    workerId: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void {
    const {job} = stepRun;
    health.noteFailed(workerId, job.id, now);
    job.failedOn.add(workerId);
    if (stepRun.state === 'done' || jobProgress.isOver(job.phase)) return;
    const spent = jobSteps.countFailure(stepRun, index, attempt);
    jobRegistry.dirty.add(job);
    if (spent) jobRegistry.finishJob(job, 'failed');
    else jobRegistry.requeue(stepRun, index, attempt);
  }

  function keepCheckpoint(
    stepRun: activeJob.StepRun,
    index: number,
    checkpoint: string,
  ): void {
    if (checkpoint === '') return;
    stepRun.saved.set(activeJob.countKey(stepRun, index), checkpoint);
  }

  function applyRow(
    workerId: types.ids.WorkerId,
    row: schedulerTypes.RunningAttempt,
    now: types.clock.MonotonicMs,
  ): void {
    const run = runs.find(row.taskId, row.attempt, workerId);
    if (run === undefined) {
      adopt(workerId, row, now);
      return;
    }
    if (isStopOverdue(run, now)) jobRegistry.stopAgain(run);
    if (run.percent !== row.percent) {
      run.percent = row.percent;
      run.percentChangedAt = now;
    }
    run.startedAt ??= now;
    if (run.task !== undefined) {
      jobRegistry.noteBegun(run.task.stepRun.job);
      keepCheckpoint(run.task.stepRun, run.task.index, row.checkpoint);
      clearSurvivor(run.task, now - run.startedAt);
    }
  }

  /** A task that has run this long crashes no worker; old crashes don't count. */
  function clearSurvivor(
    {stepRun, index}: jobRegistrys.TaskOwner,
    ranMs: number,
  ): void {
    if (ranMs < crashRecords.SURVIVAL_MS) return;
    if (stepRun.crashes.delete(index)) jobRegistry.dirty.add(stepRun.job);
  }

  function isStopOverdue(
    {phase, confirmedAt}: activeJob.Attempt,
    now: types.clock.MonotonicMs,
  ): boolean {
    if (phase !== 'stopping' || confirmedAt === undefined) return false;
    return now - confirmedAt > STOP_AGAIN_AFTER_MS;
  }

  /**
   * Takes over a run that an earlier scheduler started. What is no task of
   * ours any more is stopped, and takes room until its end is told.
   */
  function adopt(
    workerId: types.ids.WorkerId,
    row: schedulerTypes.RunningAttempt,
    now: types.clock.MonotonicMs,
  ): void {
    const owner = jobRegistry.stepRunOf(row.taskId);
    const wanted = owner !== undefined && isWanted(owner, row.attempt);
    const worker = book.workers.get(workerId);
    const size =
      owner === undefined
        ? (worker?.info.capacity ?? types.resources.NO_RESOURCES)
        : chooseWorker.bookedSize(owner.stepRun);
    const stepRunId = owner?.stepRun.id ?? 'stray';
    const run: activeJob.Attempt = {
      taskId: row.taskId,
      number: row.attempt,
      workerId,
      task: owner,
      size,
      stepRunId,
      phase: 'running',
      confirmedAt: now,
      startedAt: now,
      percent: row.percent,
      percentChangedAt: now,
    };
    runs.add(run);
    book.reserve(workerId, stepRunId, size);
    if (owner === undefined) {
      jobRegistry.stop(run);
      return;
    }
    jobRegistry.noteBegun(owner.stepRun.job);
    noteAttempt(owner.stepRun, owner.index, row.attempt);
    keepCheckpoint(owner.stepRun, owner.index, row.checkpoint);
    if (wanted) jobRegistry.takeOutOfLine(owner.stepRun, owner.index);
    else jobRegistry.stop(run);
  }

  /**
   * Whether a run is the one its task should have. A step that isn't open here
   * is no reason against it: the steps before it were done when it started,
   * and their last ends may not have been heard here yet.
   */
  function isWanted(owner: jobRegistrys.TaskOwner, attempt: number): boolean {
    const {stepRun, index} = owner;
    if (stepRun.state === 'done' || stepRun.done.has(index)) return false;
    const {gang} = stepRun.request;
    for (const run of stepRun.attempts) {
      if (gang ? run.number !== attempt : run.task?.index === index) {
        return false;
      }
    }
    return true;
  }

  function noteAttempt(
    stepRun: activeJob.StepRun,
    index: number,
    attempt: number,
  ): void {
    const key = activeJob.countKey(stepRun, index);
    const highest = stepRun.highestAttempts.get(key) ?? 0;
    stepRun.highestAttempts.set(key, Math.max(highest, attempt));
  }

  function findVanished(report: schedulerTypes.WorkerReport): void {
    const listed = new Set(
      report.running.map((row) => `${row.taskId}#${row.attempt}`),
    );
    for (const run of [...runs.ofWorker(report.workerId)]) {
      if (listed.has(`${run.taskId}#${run.number}`)) continue;
      const confirmed = run.confirmedAt;
      if (confirmed === undefined || confirmed >= report.askedAt) continue;
      parts.onEvent({
        type: 'run_ended',
        run: run.taskId,
        attempt: run.number,
        worker: run.workerId,
        how: 'vanished',
      });
      jobRegistry.dropRun(run);
    }
  }

  function handleStall(
    workerId: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void {
    const stall = stallDetector.findStall(runs.ofWorker(workerId), now);
    if (stall === undefined) return;
    parts.onEvent({
      type: 'worker_stalled',
      worker: workerId,
      runs: stall.runs.length,
      percent: stall.runs[0]?.percent ?? 0,
      step: stall.runs[0]?.stepRunId ?? '',
      blamed: stall.blamesWorker,
    });
    if (stall.blamesWorker) health.noteStalled(workerId, now);
    for (const run of stall.runs) jobRegistry.stop(run);
  }

  return (report, now) => {
    for (const end of report.ends) applyEnd(report.workerId, end, now);
    for (const row of report.running) applyRow(report.workerId, row, now);
    if (report.complete) findVanished(report);
    handleStall(report.workerId, now);
  };
}
