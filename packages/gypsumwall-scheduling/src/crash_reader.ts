/**
 * Reads crashes of workers into the records of the tasks that ran there, and
 * gives up those whose fault they are.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as crashRecords from './crash_records.js';
import type * as jobRegistrys from './job_registry.js';
import * as jobProgress from './job_progress.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as taskIds from './task_id.js';
import * as workerLosses from './worker_losses.js';

/** What a reader works on. */
export interface CrashReaderParts {
  readonly losses: workerLosses.WorkerLosses;
  readonly jobRegistry: jobRegistrys.JobRegistry;
  readonly onEvent: (event: schedulerTypes.SchedulerEvent) => void;
}

/** Reads crashes. */
export interface CrashReader {
  /** A worker has crashed with these runs. */
  noteCrash(
    worker: types.ids.WorkerId,
    runs: readonly activeJob.Attempt[],
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * Runs ended with a lease, and nobody knows yet whether their worker has
   * crashed or is cut off. Their tasks start again meanwhile.
   */
  noteSilent(
    worker: types.ids.WorkerId,
    runs: readonly activeJob.Attempt[],
    now: types.clock.MonotonicMs,
  ): void;
  /** The worker was cut off: it answers, and is the one it was. */
  noteAnswered(worker: types.ids.WorkerId): void;
  /**
   * All workers of a job that an earlier scheduler left are accounted for. A
   * task that isn't found on them may have been on one that has crashed.
   */
  noteAccounted(job: activeJob.ActiveJob): void;
}

interface Unproven {
  readonly runs: readonly activeJob.Attempt[];
  readonly forgetAt: types.clock.MonotonicMs;
}

/** Creates the reader of a scheduler. */
export function createCrashReader(parts: CrashReaderParts): CrashReader {
  const {losses, jobRegistry, onEvent} = parts;
  const unproven = new Map<types.ids.WorkerId, Unproven>();

  function record(
    stepRun: activeJob.StepRun,
    index: number,
    worker: types.ids.WorkerId,
    kind: crashRecords.CrashKind,
  ): boolean {
    const {job} = stepRun;
    if (jobProgress.isOver(job.phase) || stepRun.state === 'done') return false;
    if (stepRun.done.has(index)) return false;
    if (!crashRecords.recordCrash(stepRun, index, worker, kind)) return false;
    jobRegistry.dirty.add(job);
    const crashes = crashRecords.crashCount(stepRun, index);
    if (crashRecords.needsIsolation(stepRun, index)) {
      const task = taskIds.taskId(stepRun.id, index);
      onEvent({type: 'task_suspected', task, worker, crashes});
    }
    return true;
  }

  /** A task has one run at a time, so it was on one of the workers at most. */
  function recordOne(
    stepRun: activeJob.StepRun,
    index: number,
    workers: readonly types.ids.WorkerId[],
  ): void {
    const known = stepRun.crashes.get(index);
    const worker = workers.find((id) => known?.has(id) !== true);
    if (worker === undefined) return;
    if (!record(stepRun, index, worker, 'single')) return;
    const reason = crashRecords.giveUpReason(stepRun, index, undefined);
    if (reason !== undefined) giveUp({stepRun, index}, reason);
  }

  function giveUp(
    {stepRun, index}: jobRegistrys.TaskOwner,
    reason: crashRecords.GiveUpReason,
  ): void {
    const workers = [...(stepRun.crashes.get(index)?.keys() ?? [])];
    onEvent({
      type: 'task_given_up',
      task: taskIds.taskId(stepRun.id, index),
      reason,
      crashes: workers.length,
      workers: workers.join(','),
    });
    jobRegistry.finishJob(stepRun.job, 'failed');
  }

  /** How long a run was apart from other jobs when its worker crashed. */
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
    noteCrash(worker, lost, now) {
      const runs = [...lost, ...(unproven.get(worker)?.runs ?? [])];
      unproven.delete(worker);
      const kind = losses.isGroupLoss(worker) ? 'group' : 'single';
      onEvent({
        type: 'worker_crashed',
        worker,
        runs: runs.length,
        isolated: runs.filter((run) => run.isolatedUntil !== undefined).length,
        kind,
        accompanied: losses.isAccompanied(worker),
      });
      for (const run of runs) {
        if (run.task === undefined) continue;
        const {stepRun, index} = run.task;
        if (!record(stepRun, index, worker, kind)) continue;
        const ranMs = isolatedMs(run, now);
        const reason = crashRecords.giveUpReason(stepRun, index, ranMs);
        if (reason !== undefined) giveUp(run.task, reason);
      }
    },
    noteSilent(worker, runs, now) {
      for (const [id, {forgetAt}] of unproven) {
        if (forgetAt <= now) unproven.delete(id);
      }
      if (runs.length === 0) return;
      const forgetAt = types.clock.after(now, workerLosses.LOSS_RETENTION_MS);
      const before = unproven.get(worker)?.runs ?? [];
      unproven.set(worker, {runs: [...before, ...runs], forgetAt});
    },
    noteAnswered: (worker) => void unproven.delete(worker),
    noteAccounted(job) {
      const crashed = [...job.unheardCrashes];
      job.unheardCrashes.clear();
      if (crashed.length === 0) return;
      for (const {steps} of job.openOccurrences.values()) {
        for (const stepRun of steps) {
          for (const index of missingIndexes(stepRun)) {
            recordOne(stepRun, index, crashed);
          }
        }
      }
    },
  };
}

/** Tasks of an open step that neither run nor are done. */
function missingIndexes(stepRun: activeJob.StepRun): number[] {
  if (stepRun.state !== 'open') return [];
  const found = new Set(stepRun.done);
  for (const {task: owner} of stepRun.attempts) {
    if (owner !== undefined) found.add(owner.index);
  }
  const missing: number[] = [];
  for (let index = 0; index < stepRun.request.taskCount; index++) {
    if (!found.has(index)) missing.push(index);
  }
  return missing;
}
