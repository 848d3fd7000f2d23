/**
 * The jobs of a scheduler, its waiting steps, the attempts to stop and the jobs
 * to store. Every change of a job goes through this module, so that all these
 * lists stay up to date.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as jobProgress from './job_progress.js';
import * as jobSteps from './job_steps.js';
import * as openOccurrences from './open_occurrences.js';
import type * as attemptTable from './attempt_table.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as taskIds from './task_id.js';
import type * as workerHealth from './worker_health.js';

/** A task, identified by its step run and index. */
export interface TaskRef {
  readonly stepRun: activeJob.StepRun;
  readonly index: number;
}

/** Dependencies of a job registry. */
export interface JobRegistryParts {
  readonly attempts: attemptTable.AttemptTable;
  readonly health: workerHealth.WorkerHealth;
  /** Whether a worker drains or was removed. */
  readonly isLeaving: (worker: types.ids.WorkerId) => boolean;
  readonly onEvent: (event: schedulerTypes.SchedulerEvent) => void;
}

/** The jobs of a scheduler and what is due for them. */
export interface JobRegistry {
  readonly jobs: ReadonlyMap<types.ids.JobId, activeJob.ActiveJob>;
  /** Steps with queued tasks. */
  readonly waitingSteps: ReadonlySet<activeJob.StepRun>;
  /** Jobs with steps or occurrences that may be due to open. */
  readonly jobsToOpen: Set<activeJob.ActiveJob>;
  /** Jobs whose progress has to be stored. */
  readonly dirty: Set<activeJob.ActiveJob>;
  add(job: activeJob.ActiveJob): void;
  /** Starts nothing of a job until it is resumed; what runs goes on. */
  suspend(job: activeJob.ActiveJob): void;
  resume(job: activeJob.ActiveJob): void;
  /** Opens the steps and occurrences of a job that are due. */
  openDue(
    job: activeJob.ActiveJob,
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
    limits: openOccurrences.OpeningLimits,
  ): void;
  /**
   * Ends a job and stops its remaining attempts; `failure` says why it has
   * failed.
   */
  finishJob(
    job: activeJob.ActiveJob,
    phase: 'completed' | 'failed' | 'cancelled',
    failure?: schedulerTypes.JobFailure,
  ): void;
  /**
   * Marks a job as running once a worker has accepted a task of it. Until then
   * callers see it as queued, even if workers were recorded or orders sent long
   * ago: in a full cell, or with workers that do not answer orders, that takes
   * seconds.
   */
  markRunning(job: activeJob.ActiveJob): void;
  /**
   * Requests the stop of an attempt. Its capacity stays reserved until its end
   * is known.
   */
  stop(attempt: activeJob.Attempt): void;
  /**
   * Requests another stop of an attempt that still runs although its stop was
   * answered.
   */
  retryStop(attempt: activeJob.Attempt): void;
  /**
   * Queues a task again after the end of its attempt; a gang is queued as a
   * whole.
   */
  requeue(
    stepRun: activeJob.StepRun,
    index: number,
    attemptNumber: number,
  ): void;
  dropAttempt(attempt: activeJob.Attempt): void;
  /**
   * Called when an attempt has begun or ended. The attempts of suspects that run
   * or are isolated are stored, so that a successor knows where they ran.
   */
  storeIfSuspect(attempt: activeJob.Attempt): void;
  /**
   * Called when an attempt has ended. If its worker is about to leave and has
   * no other attempt of the job, removes the worker from the workers recorded
   * for the job. A successor does not start tasks of a job until each recorded
   * worker is reconciled, and a worker that has left does not answer: tasks
   * that were moved to other workers in good time did not run for 35 s. Nothing
   * starts on a leaving worker, so it is not recorded again.
   */
  removeLeavingWorker(attempt: activeJob.Attempt): void;
  /**
   * Queues a second attempt of a task whose first one may take long, if its
   * step allows copies. The first attempt that is done counts and the other one
   * is stopped.
   */
  queueCopy(attempt: activeJob.Attempt): void;
  /** Updates whether the step has queued tasks. */
  updateWaiting(stepRun: activeJob.StepRun): void;
  /** Removes a task that already runs, or its gang, from the queue. */
  dequeue(stepRun: activeJob.StepRun, index: number): void;
  stopPartialGangs(job: activeJob.ActiveJob): void;
  /**
   * Returns the task with this id if its job is not over and its step is known.
   * Opens the occurrence if it isn't open yet: an earlier scheduler may have
   * opened others.
   */
  findTask(
    taskId: types.ids.TaskId,
    now: types.clock.MonotonicMs,
  ): TaskRef | undefined;
  /** Returns the attempts to stop that were not returned before. */
  takeStops(): activeJob.Attempt[];
}

/** Undefined for a job at which this program fails. */
function reportedObjectiveMs(job: activeJob.ActiveJob): number | undefined {
  if (job.isSuspended || job.heldProgress !== undefined) return undefined;
  return Math.round(activeJob.objectiveMs(job));
}

/** Creates a registry without jobs. */
export function createJobRegistry(parts: JobRegistryParts): JobRegistry {
  const jobs = new Map<types.ids.JobId, activeJob.ActiveJob>();
  const waitingSteps = new Set<activeJob.StepRun>();
  const jobsToOpen = new Set<activeJob.ActiveJob>();
  const dirty = new Set<activeJob.ActiveJob>();
  let stops: activeJob.Attempt[] = [];
  /** Wall-clock time at the origin of the monotonic clock. */
  let wallOffsetMs = 0;

  function stop(attempt: activeJob.Attempt): void {
    if (attempt.phase === 'stopping') return;
    attempt.phase = 'stopping';
    attempt.confirmedAt = undefined;
    stops.push(attempt);
  }

  function retryStop(attempt: activeJob.Attempt): void {
    attempt.confirmedAt = undefined;
    storeIfSuspect(attempt);
    stops.push(attempt);
  }

  function updateWaiting(stepRun: activeJob.StepRun): void {
    const {phase, isSuspended} = stepRun.job;
    const mayStart = !isSuspended && !jobProgress.isOver(phase);
    stepRun.hasChanged = true;
    if (stepRun.waitingIndexes.length > 0 && mayStart)
      waitingSteps.add(stepRun);
    else waitingSteps.delete(stepRun);
  }

  function openDue(
    job: activeJob.ActiveJob,
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
    limits: openOccurrences.OpeningLimits,
  ): void {
    wallOffsetMs = wall - now;
    for (const opened of openOccurrences.openDue(job, now, wall, limits))
      updateWaiting(opened);
  }

  function finishJob(
    job: activeJob.ActiveJob,
    phase: 'completed' | 'failed' | 'cancelled',
    failure?: schedulerTypes.JobFailure,
  ): void {
    job.phase = phase;
    dirty.add(job);
    jobs.delete(job.id);
    jobsToOpen.delete(job);
    parts.health.forgetJob(job.id);
    for (const occurrence of job.openOccurrences.values()) {
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
      objectiveMs: reportedObjectiveMs(job),
      ...failure,
    });
  }

  /** Stops all members of a gang: they cannot work without the missing one. */
  function stopGang(stepRun: activeJob.StepRun): void {
    for (const attempt of stepRun.attempts) stop(attempt);
  }

  /**
   * Stops gangs of which only some members were found: the others were lost
   * with their workers.
   */
  function stopPartialGangs(job: activeJob.ActiveJob): void {
    for (const occurrence of job.openOccurrences.values()) {
      for (const stepRun of occurrence.steps) {
        const {gang, taskCount} = stepRun.request;
        const found = stepRun.attempts.size;
        if (gang && found > 0 && found < taskCount) stopGang(stepRun);
      }
    }
  }

  /** Whether a gang lacks a member after the end of this attempt. */
  function losesMember(
    stepRun: activeJob.StepRun,
    attemptNumber: number,
  ): boolean {
    const {request, state, highestAttempts, job, attempts} = stepRun;
    // Members of a gang that is done end by themselves.
    if (!request.gang || state === 'done') return false;
    const latest = highestAttempts.get(activeJob.GANG_KEY) ?? 0;
    if (attemptNumber >= latest) return true;
    // Some members of the latest attempt may not be found yet.
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
    if (losesMember(stepRun, attemptNumber)) stopGang(stepRun);
    jobSteps.requeue(stepRun, index);
    updateWaiting(stepRun);
  }

  function removeLeavingWorker({task, workerId}: activeJob.Attempt): void {
    const job = task?.stepRun.job;
    if (job === undefined || jobProgress.isOver(job.phase)) return;
    if (!parts.isLeaving(workerId)) return;
    for (const attempt of parts.attempts.ofWorker(workerId)) {
      if (attempt.task?.stepRun.job === job) return;
    }
    if (job.workers.delete(workerId)) dirty.add(job);
  }

  function storeIfSuspect({
    task,
    startedAt,
    isolatedUntil,
  }: activeJob.Attempt): void {
    if (task === undefined) return;
    if (startedAt === undefined && isolatedUntil === undefined) return;
    if (!activeJob.isSuspect(task.stepRun, task.index)) return;
    const {job} = task.stepRun;
    if (jobs.get(job.id) === job) dirty.add(job);
  }

  /** Queues the task of an attempt whose outcome is not known. */
  function dropAttempt(attempt: activeJob.Attempt): void {
    const {task, number: attemptNumber} = attempt;
    parts.attempts.remove(attempt);
    storeIfSuspect(attempt);
    removeLeavingWorker(attempt);
    if (task !== undefined) requeue(task.stepRun, task.index, attemptNumber);
  }

  function queueCopy({phase, task}: activeJob.Attempt): void {
    if (phase === 'stopping' || task === undefined) return;
    const {stepRun, index} = task;
    const {speculative, gang, longRunning} = stepRun.request;
    if (!speculative || gang || longRunning) return;
    // A copy of a task that crashes its workers would crash another worker.
    if (activeJob.isSuspect(stepRun, index)) return;
    if (stepRun.state !== 'open') return;
    if (jobProgress.isOver(stepRun.job.phase)) return;
    const attemptsOfTask = [...stepRun.attempts].filter(
      (attempt) => attempt.task?.index === index,
    );
    if (attemptsOfTask.length > 1 || stepRun.waitingIndexes.includes(index))
      return;
    stepRun.waitingIndexes.push(index);
    updateWaiting(stepRun);
  }

  function openReported(
    job: activeJob.ActiveJob,
    number: number,
    now: types.clock.MonotonicMs,
  ): activeJob.Occurrence | undefined {
    const wall = (now + wallOffsetMs) as types.clock.WallMs;
    const occurrence = openOccurrences.openReported(job, number, now, wall);
    if (occurrence !== undefined) jobsToOpen.add(job);
    return occurrence;
  }

  function findTask(
    taskId: types.ids.TaskId,
    now: types.clock.MonotonicMs,
  ): TaskRef | undefined {
    const place = taskIds.parseTaskId(taskId);
    if (place === undefined) return undefined;
    const job = jobs.get(place.jobId);
    if (job === undefined) return undefined;
    const {occurrence: number} = place;
    const occurrence =
      job.openOccurrences.get(number) ?? openReported(job, number, now);
    const stepRun = occurrence?.steps[place.step];
    if (stepRun === undefined) return undefined;
    return {stepRun, index: place.index};
  }

  function dequeue(stepRun: activeJob.StepRun, index: number): void {
    if (stepRun.request.gang) stepRun.waitingIndexes = [];
    else jobSteps.removeWaiting(stepRun, index);
    updateWaiting(stepRun);
  }

  return {
    jobs,
    waitingSteps,
    jobsToOpen,
    dirty,
    add(job) {
      jobs.set(job.id, job);
      if (job.heldProgress === undefined) jobsToOpen.add(job);
    },
    suspend(job) {
      job.isSuspended = true;
      jobsToOpen.delete(job);
      for (const {steps} of job.openOccurrences.values())
        for (const stepRun of steps) waitingSteps.delete(stepRun);
    },
    resume(job) {
      job.isSuspended = false;
      jobsToOpen.add(job);
      for (const {steps} of job.openOccurrences.values()) {
        for (const stepRun of steps) {
          // The task that was being placed may be in no list any more.
          jobSteps.restoreWaiting(stepRun);
          updateWaiting(stepRun);
        }
      }
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
    storeIfSuspect,
    removeLeavingWorker,
    queueCopy,
    updateWaiting,
    dequeue,
    stopPartialGangs,
    findTask,
    takeStops() {
      const taken = stops;
      stops = [];
      return taken;
    },
  };
}
