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
  readonly attempts: attemptTable.AttemptTable;
  readonly health: workerHealth.WorkerHealth;
  /** Whether a worker drains or is gone for good. */
  readonly isLeaving: (worker: types.ids.WorkerId) => boolean;
  readonly onEvent: (event: schedulerTypes.SchedulerEvent) => void;
}

/** Jobs and what is to be done about them. */
export interface JobRegistry {
  readonly jobs: ReadonlyMap<types.ids.JobId, activeJob.ActiveJob>;
  /** Steps with tasks that wait. */
  readonly waitingSteps: ReadonlySet<activeJob.StepRun>;
  /** Jobs whose steps or occurrences may have come due. */
  readonly jobsToOpen: Set<activeJob.ActiveJob>;
  /** Jobs whose progress has to be stored. */
  readonly dirty: Set<activeJob.ActiveJob>;
  add(job: activeJob.ActiveJob): void;
  /** Opens what is due. */
  openDue(
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
  markRunning(job: activeJob.ActiveJob): void;
  /** Has a run stopped; it keeps its room until its end is known. */
  stop(attempt: activeJob.Attempt): void;
  /** Has a run stopped whose stop was answered and that is still there. */
  retryStop(attempt: activeJob.Attempt): void;
  /**
   * Puts a task whose attempt has ended back into line, with its gang if it has
   * one.
   */
  requeue(
    stepRun: activeJob.StepRun,
    index: number,
    attemptNumber: number,
  ): void;
  dropAttempt(attempt: activeJob.Attempt): void;
  /**
   * A run is over. A worker that is about to leave and has none of the job's
   * runs any more is taken off the job's record. A successor holds a job back
   * until each recorded worker is accounted for, and one that has left answers
   * nobody: tasks that were moved off in good time stood still for 35 s.
   * Nothing starts on a leaving worker, so it isn't put on the record again.
   */
  removeLeavingWorker(attempt: activeJob.Attempt): void;
  /**
   * Puts a second run of a task into line beside one that may take long, where
   * its caller allows copies. The first that is done counts, and the other is
   * stopped.
   */
  queueCopy(attempt: activeJob.Attempt): void;
  /** Notes whether the step has tasks that wait. */
  updateWaiting(stepRun: activeJob.StepRun): void;
  /** A task, or its gang, runs already. */
  dequeue(stepRun: activeJob.StepRun, index: number): void;
  breakPartialGangs(job: activeJob.ActiveJob): void;
  /** The task of a job that isn't over, if its step is known. */
  findTask(taskId: types.ids.TaskId): TaskOwner | undefined;
  /** Runs to be stopped, handed over once. */
  takeStops(): activeJob.Attempt[];
}

/** Creates an empty book. */
export function createJobRegistry(parts: JobRegistryParts): JobRegistry {
  const jobs = new Map<types.ids.JobId, activeJob.ActiveJob>();
  const waitingSteps = new Set<activeJob.StepRun>();
  const jobsToOpen = new Set<activeJob.ActiveJob>();
  const dirty = new Set<activeJob.ActiveJob>();
  let stops: activeJob.Attempt[] = [];

  function stop(attempt: activeJob.Attempt): void {
    if (attempt.phase === 'stopping') return;
    attempt.phase = 'stopping';
    attempt.confirmedAt = undefined;
    stops.push(attempt);
  }

  function retryStop(attempt: activeJob.Attempt): void {
    attempt.confirmedAt = undefined;
    stops.push(attempt);
  }

  function updateWaiting(stepRun: activeJob.StepRun): void {
    const over = jobProgress.isOver(stepRun.job.phase);
    stepRun.hasChanged = true;
    if (stepRun.waiting.length > 0 && !over) waitingSteps.add(stepRun);
    else waitingSteps.delete(stepRun);
  }

  function openDue(
    job: activeJob.ActiveJob,
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
  ): void {
    for (const opened of jobSteps.openDue(job, now, wall))
      updateWaiting(opened);
  }

  function finishJob(
    job: activeJob.ActiveJob,
    phase: 'completed' | 'failed' | 'cancelled',
  ): void {
    job.phase = phase;
    dirty.add(job);
    jobs.delete(job.id);
    jobsToOpen.delete(job);
    parts.health.forgetJob(job.id);
    for (const occurrence of job.open.values()) {
      for (const stepRun of occurrence.steps) {
        waitingSteps.delete(stepRun);
        for (const attempt of stepRun.attempts) stop(attempt);
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
    for (const attempt of stepRun.attempts) stop(attempt);
  }

  /** A gang that was found in part has lost members with their workers. */
  function breakPartialGangs(job: activeJob.ActiveJob): void {
    for (const occurrence of job.open.values()) {
      for (const stepRun of occurrence.steps) {
        const {gang, taskCount} = stepRun.request;
        const found = stepRun.attempts.size;
        if (gang && found > 0 && found < taskCount) breakGang(stepRun);
      }
    }
  }

  /** Whether the end of an attempt leaves a gang without a member. */
  function losesMember(
    stepRun: activeJob.StepRun,
    attemptNumber: number,
  ): boolean {
    const {request, state, highestAttempts, job, attempts} = stepRun;
    // Members of one that is done end by themselves.
    if (!request.gang || state === 'done') return false;
    const latest = highestAttempts.get(activeJob.GANG_KEY) ?? 0;
    if (attemptNumber >= latest) return true;
    // Members of the latest attempt may not all have been found yet.
    if (job.isAwaitingReconciliation) return false;
    const members = [...attempts].filter(
      (attempt) => attempt.phase !== 'stopping',
    );
    return members.length < request.taskCount;
  }

  function requeue(
    stepRun: activeJob.StepRun,
    index: number,
    attemptNumber: number,
  ): void {
    if (losesMember(stepRun, attemptNumber)) breakGang(stepRun);
    jobSteps.requeue(stepRun, index);
    updateWaiting(stepRun);
  }

  function removeLeavingWorker({owner, workerId}: activeJob.Attempt): void {
    const job = owner?.stepRun.job;
    if (job === undefined || jobProgress.isOver(job.phase)) return;
    if (!parts.isLeaving(workerId)) return;
    for (const attempt of parts.attempts.ofWorker(workerId)) {
      if (attempt.owner?.stepRun.job === job) return;
    }
    if (job.workers.delete(workerId)) dirty.add(job);
  }

  /** A run is over without a word on how: its task waits again. */
  function dropAttempt(attempt: activeJob.Attempt): void {
    const {owner, number: attemptNumber} = attempt;
    parts.attempts.remove(attempt);
    removeLeavingWorker(attempt);
    if (owner !== undefined) requeue(owner.stepRun, owner.index, attemptNumber);
  }

  function queueCopy({phase, owner}: activeJob.Attempt): void {
    if (phase === 'stopping' || owner === undefined) return;
    const {stepRun, index} = owner;
    const {speculative, gang, longRunning} = stepRun.request;
    if (!speculative || gang || longRunning) return;
    // A copy of a task that crashes its workers would crash another one.
    if (stepRun.crashes.has(index)) return;
    if (stepRun.state !== 'open') return;
    if (jobProgress.isOver(stepRun.job.phase)) return;
    const attemptsOfTask = [...stepRun.attempts].filter(
      (attempt) => attempt.owner?.index === index,
    );
    if (attemptsOfTask.length > 1 || stepRun.waiting.includes(index)) return;
    stepRun.waiting.push(index);
    updateWaiting(stepRun);
  }

  function findTask(taskId: types.ids.TaskId): TaskOwner | undefined {
    const place = taskIds.placeOf(taskId);
    if (place === undefined) return undefined;
    const occurrence = jobs.get(place.jobId)?.open.get(place.occurrence);
    const stepRun = occurrence?.steps[place.step];
    if (stepRun === undefined) return undefined;
    return {stepRun, index: place.index};
  }

  function dequeue(stepRun: activeJob.StepRun, index: number): void {
    stepRun.waiting = stepRun.request.gang
      ? []
      : stepRun.waiting.filter((waitingIndex) => waitingIndex !== index);
    updateWaiting(stepRun);
  }

  return {
    jobs,
    waitingSteps,
    jobsToOpen,
    dirty,
    add(job) {
      jobs.set(job.id, job);
      jobsToOpen.add(job);
    },
    openDue,
    markRunning(job) {
      if (job.phase !== 'queued') return;
      job.phase = 'running';
      dirty.add(job);
    },
    finishJob,
    stop,
    retryStop,
    requeue,
    dropAttempt,
    removeLeavingWorker,
    queueCopy,
    updateWaiting,
    dequeue,
    breakPartialGangs,
    findTask,
    takeStops() {
      const taken = stops;
      stops = [];
      return taken;
    },
  };
}
