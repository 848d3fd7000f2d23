/**
 * The jobs of a scheduler, the steps that wait, the runs to be stopped and the
 * jobs to be stored: every change of a job goes through here, so that none of
 * these lists misses it.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as jobProgress from './job_progress.js';
import * as jobSteps from './job_steps.js';
import type * as attemptTable from './attempt_table.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as taskIds from './task_id.js';
import type * as workerHealth from './worker_health.js';

/** A task, as its step and index. */
export interface TaskOwner {
  readonly stepRun: activeJob.StepRun;
  readonly index: number;
}

/** What a job book works on. */
export interface JobRegistryParts {
  readonly runs: attemptTable.AttemptTable;
  readonly health: workerHealth.WorkerHealth;
  /** Whether a worker drains or is gone for good. */
  readonly isLeaving: (worker: types.ids.WorkerId) => boolean;
  readonly onEvent: (event: schedulerTypes.SchedulerEvent) => void;
}

/** Jobs and what is to be done about them. */
export interface JobRegistry {
  readonly jobs: ReadonlyMap<types.ids.JobId, activeJob.ActiveJob>;
  /** Steps with tasks that wait. */
  readonly waiting: ReadonlySet<activeJob.StepRun>;
  /** Jobs whose steps or occurrences may have come due. */
  readonly scheduled: Set<activeJob.ActiveJob>;
  /** Jobs whose progress has to be stored. */
  readonly dirty: Set<activeJob.ActiveJob>;
  add(job: activeJob.ActiveJob): void;
  /** Opens what is due. */
  moveOn(
    job: activeJob.ActiveJob,
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
  ): void;
  /** Ends a job: what still runs of it is stopped. */
  finishJob(
    job: activeJob.ActiveJob,
    phase: 'completed' | 'failed' | 'cancelled',
  ): void;
  /**
   * A worker has taken a task. Until then a job counts as waiting for its
   * callers, however long ago its workers were recorded or orders were sent:
   * in a full cell, or at workers that answer no orders, that is seconds.
   */
  noteBegun(job: activeJob.ActiveJob): void;
  /** Has a run stopped; it keeps its room until its end is known. */
  stop(run: activeJob.Attempt): void;
  /** Has a run stopped whose stop was answered and that is still there. */
  stopAgain(run: activeJob.Attempt): void;
  /**
   * Puts a task whose attempt has ended back into line, with its gang if it has
   * one.
   */
  requeue(stepRun: activeJob.StepRun, index: number, attempt: number): void;
  dropRun(run: activeJob.Attempt): void;
  /**
   * A run is over. A worker that is about to leave and has none of the job's
   * runs any more is taken off the job's record. A successor holds a job back
   * until each recorded worker is accounted for, and one that has left answers
   * nobody: tasks that were moved off in good time stood still for 35 s.
   * Nothing starts on a leaving worker, so it isn't put on the record again.
   */
  noteLeft(run: activeJob.Attempt): void;
  /**
   * Puts a second run of a task into line beside one that may take long, where
   * its caller allows copies. The first that is done counts, and the other is
   * stopped.
   */
  startCopy(run: activeJob.Attempt): void;
  /** Notes whether the step has tasks that wait. */
  noteWaiting(stepRun: activeJob.StepRun): void;
  /** A task, or its gang, runs already. */
  takeOutOfLine(stepRun: activeJob.StepRun, index: number): void;
  breakPartialGangs(job: activeJob.ActiveJob): void;
  /** The task of a job that isn't over, if its step is known. */
  stepRunOf(taskId: types.ids.TaskId): TaskOwner | undefined;
  /** Runs to be stopped, handed over once. */
  takeStops(): activeJob.Attempt[];
}

/** Creates an empty book. */
export function createJobRegistry(parts: JobRegistryParts): JobRegistry {
  const jobs = new Map<types.ids.JobId, activeJob.ActiveJob>();
  const waiting = new Set<activeJob.StepRun>();
  const scheduled = new Set<activeJob.ActiveJob>();
  const dirty = new Set<activeJob.ActiveJob>();
  let stops: activeJob.Attempt[] = [];

  function stop(run: activeJob.Attempt): void {
    if (run.phase === 'stopping') return;
    run.phase = 'stopping';
    run.confirmedAt = undefined;
    stops.push(run);
  }

  function stopAgain(run: activeJob.Attempt): void {
    run.confirmedAt = undefined;
    stops.push(run);
  }

  function noteWaiting(stepRun: activeJob.StepRun): void {
    const over = jobProgress.isOver(stepRun.job.phase);
    stepRun.changed = true;
    if (stepRun.waitingIndexes.length > 0 && !over) waiting.add(stepRun);
    else waiting.delete(stepRun);
  }

  function moveOn(
    job: activeJob.ActiveJob,
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
  ): void {
    for (const opened of jobSteps.openDue(job, now, wall)) noteWaiting(opened);
  }

  function finishJob(
    job: activeJob.ActiveJob,
    phase: 'completed' | 'failed' | 'cancelled',
  ): void {
    job.phase = phase;
    dirty.add(job);
    jobs.delete(job.id);
    scheduled.delete(job);
    parts.health.forgetJob(job.id);
    for (const occurrence of job.openOccurrences.values()) {
      for (const stepRun of occurrence.steps) {
        waiting.delete(stepRun);
        for (const run of stepRun.attempts) stop(run);
      }
    }
    parts.onEvent({
      type: 'job_over',
      job: job.id,
      phase,
      queue: job.policy.queue,
      objectiveMs: Math.round(activeJob.objectiveMs(job)),
    });
  }

  /** Breaks a gang up: without one member the others can't work. */
  function breakGang(stepRun: activeJob.StepRun): void {
    for (const run of stepRun.attempts) stop(run);
  }

  /** A gang that was found in part has lost members with their workers. */
  function breakPartialGangs(job: activeJob.ActiveJob): void {
    for (const occurrence of job.openOccurrences.values()) {
      for (const stepRun of occurrence.steps) {
        const {gang, taskCount} = stepRun.request;
        const found = stepRun.attempts.size;
        if (gang && found > 0 && found < taskCount) breakGang(stepRun);
      }
    }
  }

  /** Whether the end of an attempt leaves a gang without a member. */
  function losesMember(stepRun: activeJob.StepRun, attempt: number): boolean {
    const {
      request,
      state,
      highestAttempts: attempts,
      job,
      attempts: runs,
    } = stepRun;
    // Members of one that is done end by themselves.
    if (!request.gang || state === 'done') return false;
    const latest = attempts.get(activeJob.GANG_KEY) ?? 0;
    if (attempt >= latest) return true;
    // Members of the latest attempt may not all have been found yet.
    if (job.heldBack) return false;
    const members = [...runs].filter((run) => run.phase !== 'stopping');
    return members.length < request.taskCount;
  }

  function requeue(
    stepRun: activeJob.StepRun,
    index: number,
    attempt: number,
  ): void {
    if (losesMember(stepRun, attempt)) breakGang(stepRun);
    jobSteps.requeue(stepRun, index);
    noteWaiting(stepRun);
  }

  function noteLeft({task: owner, workerId}: activeJob.Attempt): void {
    const job = owner?.stepRun.job;
    if (job === undefined || jobProgress.isOver(job.phase)) return;
    if (!parts.isLeaving(workerId)) return;
    for (const run of parts.runs.ofWorker(workerId)) {
      if (run.task?.stepRun.job === job) return;
    }
    if (job.workers.delete(workerId)) dirty.add(job);
  }

  /** A run is over without a word on how: its task waits again. */
  function dropRun(run: activeJob.Attempt): void {
    const {task: owner, number: attempt} = run;
    parts.runs.remove(run);
    noteLeft(run);
    if (owner !== undefined) requeue(owner.stepRun, owner.index, attempt);
  }

  function startCopy({phase, task: owner}: activeJob.Attempt): void {
    if (phase === 'stopping' || owner === undefined) return;
    const {stepRun, index} = owner;
    const {speculative, gang, longRunning} = stepRun.request;
    if (!speculative || gang || longRunning) return;
    // A copy of a task that crashes its workers would crash another one.
    if (stepRun.crashes.has(index)) return;
    if (stepRun.state !== 'open') return;
    if (jobProgress.isOver(stepRun.job.phase)) return;
    const runsOfTask = [...stepRun.attempts].filter(
      (run) => run.task?.index === index,
    );
    if (runsOfTask.length > 1 || stepRun.waitingIndexes.includes(index)) return;
    stepRun.waitingIndexes.push(index);
    noteWaiting(stepRun);
  }

  function stepRunOf(taskId: types.ids.TaskId): TaskOwner | undefined {
    const place = taskIds.placeOf(taskId);
    if (place === undefined) return undefined;
    const occurrence = jobs
      .get(place.jobId)
      ?.openOccurrences.get(place.occurrence);
    const stepRun = occurrence?.steps[place.step];
    if (stepRun === undefined) return undefined;
    return {stepRun, index: place.index};
  }

  function takeOutOfLine(stepRun: activeJob.StepRun, index: number): void {
    stepRun.waitingIndexes = stepRun.request.gang
      ? []
      : stepRun.waitingIndexes.filter((waitingIndex) => waitingIndex !== index);
    noteWaiting(stepRun);
  }

  return {
    jobs,
    waiting,
    scheduled,
    dirty,
    add(job) {
      jobs.set(job.id, job);
      scheduled.add(job);
    },
    moveOn,
    noteBegun(job) {
      if (job.phase !== 'queued') return;
      job.phase = 'running';
      dirty.add(job);
    },
    finishJob,
    stop,
    stopAgain,
    requeue,
    dropRun,
    noteLeft,
    startCopy,
    noteWaiting,
    takeOutOfLine,
    breakPartialGangs,
    stepRunOf,
    takeStops() {
      const taken = stops;
      stops = [];
      return taken;
    },
  };
}
