/**
 * Keeps workers for tasks that may crash them, apart from other jobs: what runs
 * beside such a task has shown that it doesn't crash the worker, and nothing
 * else starts there until the task has shown the same. So a crash meanwhile is
 * the task's fault, however many other tasks crash workers at that time.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as crashRecords from './crash_records.js';
import * as gangFit from './gang_fit.js';
import type * as attemptTable from './attempt_table.js';
import type * as workerRegistry from './worker_registry.js';

/** What has run for so long beside a task doesn't crash its worker first. */
const SETTLED_MS = 2_000;
/** Time for the order of a start and its answer; milliseconds. */
const ORDER_SLACK_MS = 1_000;
/** A worker is emptied for a task for so long at most; milliseconds. */
const RESERVED_MS = 10_000;
/** Share of the workers that are emptied at once at most. */
const MOST_RESERVED_SHARE = 0.25;

interface Keep {
  readonly type: 'reserved' | 'trial';
  readonly jobId: types.ids.JobId;
  readonly until: types.clock.MonotonicMs;
}

/** Workers kept apart. */
export interface TaskIsolation {
  /** Whether a worker is kept for tasks of the step's job. */
  isKeptFor(stepRun: activeJob.StepRun, worker: types.ids.WorkerId): boolean;
  /** Whether a worker is kept for tasks of another job. */
  isClosedTo(stepRun: activeJob.StepRun, worker: types.ids.WorkerId): boolean;
  /** Whether a task that has to be apart may start there now. */
  isQuiet(
    stepRun: activeJob.StepRun,
    worker: workerRegistry.BookedWorker,
    now: types.clock.MonotonicMs,
  ): boolean;
  /** Whether a task of another job that may crash the worker is there. */
  hostsSuspect(stepRun: activeJob.StepRun, worker: types.ids.WorkerId): boolean;
  /** Whether a task that has to be apart could start there soon. */
  mayHost(
    stepRun: activeJob.StepRun,
    worker: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): boolean;
  /** A task under which workers have crashed is placed on a worker. */
  notePlaced(
    stepRun: activeJob.StepRun,
    index: number,
    worker: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void;
  /** A start is sent: its task is on trial, if it has to be. */
  noteOrdered(run: activeJob.Attempt, now: types.clock.MonotonicMs): void;
  /** The start was taken: the trial counts from now. */
  noteStarted(run: activeJob.Attempt, now: types.clock.MonotonicMs): void;
  /** Runs of a worker were found: those that are apart are on trial from now. */
  noteFound(worker: types.ids.WorkerId, now: types.clock.MonotonicMs): void;
  /** Closes workers to others, so that the step's tasks find one quiet soon. */
  reserveFor(
    stepRun: activeJob.StepRun,
    taskCount: number,
    context: chooseWorker.ChoiceContext,
  ): void;
  /** Opens workers that needn't be kept any more, once before each cycle. */
  takeReopened(now: types.clock.MonotonicMs): types.ids.WorkerId[];
}

/** What the isolation works on. */
export interface TaskIsolationParts {
  readonly book: workerRegistry.WorkerRegistry;
  readonly runs: attemptTable.AttemptTable;
  /** Whether a task of the job that has to be apart waits. */
  readonly isWaiting: (job: types.ids.JobId) => boolean;
}

/** Creates an isolation that keeps no worker. */
export function createTaskIsolation(parts: TaskIsolationParts): TaskIsolation {
  const {book, runs} = parts;
  const kept = new Map<types.ids.WorkerId, Keep>();
  /** Tasks that may crash workers, placed in this cycle. */
  let placed = new Map<types.ids.WorkerId, Set<types.ids.JobId>>();

  const isKeptFor = (stepRun: activeJob.StepRun, id: types.ids.WorkerId) =>
    kept.get(id)?.jobId === stepRun.job.id;

  function isSettled(
    {task: owner, startedAt}: activeJob.Attempt,
    now: types.clock.MonotonicMs,
  ): boolean {
    if (owner === undefined || startedAt === undefined) return false;
    const {stepRun, index} = owner;
    const isSuspected = crashRecords.crashCount(stepRun, index) > 0;
    // A suspect must have run for as long as a trial of its own takes.
    const neededMs = isSuspected
      ? crashRecords.trialMs(stepRun, index)
      : SETTLED_MS;
    return now - startedAt >= neededMs;
  }

  /** Whether something was placed there that is no run yet. */
  function hasNewcomers(worker: workerRegistry.BookedWorker): boolean {
    let booked = 0;
    for (const count of worker.perStep.values()) booked += count;
    return booked > runs.ofWorker(worker.info.id).size;
  }

  function isQuiet(
    stepRun: activeJob.StepRun,
    worker: workerRegistry.BookedWorker,
    now: types.clock.MonotonicMs,
  ): boolean {
    const {id} = worker.info;
    if (!isKeptFor(stepRun, id) && (kept.has(id) || hasNewcomers(worker))) {
      return false;
    }
    for (const run of runs.ofWorker(id)) {
      if (run.task?.stepRun.job === stepRun.job) continue;
      if (!isSettled(run, now)) return false;
    }
    return true;
  }

  function hostsSuspect(
    stepRun: activeJob.StepRun,
    id: types.ids.WorkerId,
  ): boolean {
    const {job} = stepRun;
    for (const jobId of placed.get(id) ?? []) if (jobId !== job.id) return true;
    for (const {task: owner} of runs.ofWorker(id)) {
      if (owner === undefined || owner.stepRun.job === job) continue;
      if (crashRecords.crashCount(owner.stepRun, owner.index) > 0) return true;
    }
    return false;
  }

  /** Whether all that runs beside it is of the same job. */
  function isAmongOwn({task: owner, workerId}: activeJob.Attempt): boolean {
    for (const other of runs.ofWorker(workerId)) {
      if (other.task?.stepRun.job !== owner?.stepRun.job) return false;
    }
    return true;
  }

  function isOnTrial(id: types.ids.WorkerId, {jobId}: Keep): boolean {
    for (const {task: owner, isolatedUntil} of runs.ofWorker(id)) {
      if (isolatedUntil === undefined) continue;
      if (owner?.stepRun.job.id === jobId) return true;
    }
    return false;
  }

  function isOver(
    id: types.ids.WorkerId,
    keep: Keep,
    now: types.clock.MonotonicMs,
  ): boolean {
    if (keep.until <= now) return true;
    switch (keep.type) {
      case 'reserved':
        return !parts.isWaiting(keep.jobId);
      case 'trial':
        return !isOnTrial(id, keep);
    }
  }

  function startTrial(
    run: activeJob.Attempt,
    slackMs: number,
    now: types.clock.MonotonicMs,
  ): void {
    const {task: owner, workerId} = run;
    if (owner === undefined) return;
    const {stepRun, index} = owner;
    const spanMs = crashRecords.trialMs(stepRun, index) + slackMs;
    const until = types.clock.after(now, spanMs);
    run.isolatedUntil = until;
    kept.set(workerId, {type: 'trial', jobId: stepRun.job.id, until});
  }

  /** The fewer runs, the less is lost with the worker. */
  function emptiestFirst(
    a: workerRegistry.BookedWorker,
    b: workerRegistry.BookedWorker,
  ): number {
    return (
      runs.ofWorker(a.info.id).size - runs.ofWorker(b.info.id).size ||
      b.free.cpuMillis - a.free.cpuMillis
    );
  }

  return {
    isKeptFor,
    isClosedTo: (stepRun, id) => kept.has(id) && !isKeptFor(stepRun, id),
    isQuiet,
    hostsSuspect,
    mayHost(stepRun, id, now) {
      const hasOwn = [...kept.values()].some(
        ({jobId}) => jobId === stepRun.job.id,
      );
      if (hasOwn) return isKeptFor(stepRun, id);
      const worker = book.workers.get(id);
      return worker !== undefined && isQuiet(stepRun, worker, now);
    },
    notePlaced(stepRun, index, id, now) {
      const {id: jobId} = stepRun.job;
      const jobs = placed.get(id) ?? new Set<types.ids.JobId>();
      placed.set(id, jobs.add(jobId));
      if (!crashRecords.needsIsolation(stepRun, index)) return;
      // Its start may have to wait for the store; it is no trial until then.
      if (kept.get(id)?.type === 'trial') return;
      const until = types.clock.after(now, RESERVED_MS);
      kept.set(id, {type: 'reserved', jobId, until});
    },
    noteOrdered(run, now) {
      const {task: owner} = run;
      if (owner === undefined) return;
      if (!crashRecords.needsIsolation(owner.stepRun, owner.index)) return;
      startTrial(run, ORDER_SLACK_MS, now);
    },
    noteStarted(run, now) {
      if (run.isolatedUntil !== undefined) startTrial(run, 0, now);
    },
    noteFound(worker, now) {
      if (kept.has(worker)) return;
      for (const run of runs.ofWorker(worker)) {
        const {task: owner, isolatedUntil} = run;
        if (owner === undefined || isolatedUntil !== undefined) continue;
        if (!crashRecords.needsIsolation(owner.stepRun, owner.index)) continue;
        if (isAmongOwn(run)) startTrial(run, 0, now);
      }
    },
    reserveFor(stepRun, taskCount, context) {
      const {id: jobId} = stepRun.job;
      const size = chooseWorker.bookedSize(stepRun);
      const reserved = [...kept].filter(([, keep]) => keep.type === 'reserved');
      const most = Math.max(1, book.workers.size * MOST_RESERVED_SHARE);
      let left = most - reserved.length;
      let missing = taskCount;
      for (const [id, keep] of reserved) {
        const capacity = book.workers.get(id)?.info.capacity;
        if (keep.jobId !== jobId || capacity === undefined) continue;
        missing -= gangFit.tasksThatFit(size, capacity);
      }
      const among = chooseWorker
        .mayEverRun(stepRun, context)
        .filter(
          ({info}) => !kept.has(info.id) && !hostsSuspect(stepRun, info.id),
        )
        .sort(emptiestFirst);
      const until = types.clock.after(context.now, RESERVED_MS);
      for (const {info} of among) {
        if (missing <= 0 || left < 1) return;
        const fitting = gangFit.tasksThatFit(size, info.capacity);
        if (fitting < 1) continue;
        kept.set(info.id, {type: 'reserved', jobId, until});
        missing -= fitting;
        left--;
      }
    },
    takeReopened(now) {
      placed = new Map();
      const reopened: types.ids.WorkerId[] = [];
      for (const [id, keep] of kept) {
        if (!isOver(id, keep, now)) continue;
        kept.delete(id);
        reopened.push(id);
      }
      return reopened;
    },
  };
}
