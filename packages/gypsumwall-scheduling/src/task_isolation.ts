/**
 * Isolates tasks that may crash their worker from other jobs. Such a task
 * starts only beside attempts that have run long enough to show that they do
 * not crash the worker, and no other job starts a task there until the isolated
 * task has shown the same. A crash during this isolation period is therefore
 * caused by the task, however many other tasks crash workers at that time.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as stepNeeds from './step_needs.js';
import * as crashRecords from './crash_records.js';
import type * as attemptTable from './attempt_table.js';
import type * as workerRegistry from './worker_registry.js';

/**
 * An attempt that has run this long is not expected to crash its worker before
 * the isolated task does; milliseconds.
 */
const MIN_SETTLED_MS = 2_000;
/**
 * Allowance for sending a start order and receiving the answer; milliseconds.
 */
const ORDER_SLACK_MS = 1_000;
/**
 * Maximum time for which a worker is reserved for a task while the attempts of
 * other jobs on it end; milliseconds.
 */
const MAX_RESERVATION_MS = 10_000;
/** Maximum share of the workers that are reserved at once. */
const MAX_RESERVED_SHARE = 0.25;

/** Why a worker is closed to other jobs, and until when. */
interface IsolationHold {
  readonly type: 'reserved' | 'isolating';
  readonly jobId: types.ids.JobId;
  readonly until: types.clock.MonotonicMs;
}

/** The isolated workers of a scheduler. */
export interface TaskIsolation {
  /**
   * Whether a worker is reserved for the step's job or runs an isolated task of
   * it.
   */
  isHeldFor(stepRun: activeJob.StepRun, worker: types.ids.WorkerId): boolean;
  /**
   * Whether a worker is reserved for another job or runs an isolated task of
   * another job.
   */
  isClosedTo(stepRun: activeJob.StepRun, worker: types.ids.WorkerId): boolean;
  /** Whether a task that needs isolation may start on a worker now. */
  canStartIsolated(
    stepRun: activeJob.StepRun,
    worker: workerRegistry.RegisteredWorker,
    now: types.clock.MonotonicMs,
  ): boolean;
  /**
   * Whether a task of another job that may crash the worker runs or is placed
   * there.
   */
  hostsSuspect(stepRun: activeJob.StepRun, worker: types.ids.WorkerId): boolean;
  /** Whether a task that needs isolation could start on a worker soon. */
  canSoonStartIsolated(
    stepRun: activeJob.StepRun,
    worker: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): boolean;
  /** Called when a task whose workers have crashed is placed on a worker. */
  onPlaced(
    stepRun: activeJob.StepRun,
    index: number,
    worker: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * Called when a start is sent: starts the isolation period if the task needs
   * one.
   */
  onStartOrdered(
    attempt: activeJob.Attempt,
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * Called when a worker has accepted the start: the isolation period counts
   * from now.
   */
  onStarted(attempt: activeJob.Attempt, now: types.clock.MonotonicMs): void;
  /**
   * Called after a report of a worker: tasks found on it that need isolation
   * and share it with no other job start their isolation period.
   */
  onAttemptsFound(
    worker: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * Reserves some of the workers that may run the step, so that tasks of it can
   * start isolated there soon.
   */
  reserveFor(
    stepRun: activeJob.StepRun,
    taskCount: number,
    available: readonly workerRegistry.RegisteredWorker[],
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * Opens workers that no longer have to be closed to other jobs and returns
   * them; called once before each cycle.
   */
  releaseExpired(now: types.clock.MonotonicMs): types.ids.WorkerId[];
  /** Drops what holds for the incarnation of a worker that is over. */
  forgetWorker(worker: types.ids.WorkerId): void;
}

/** Dependencies of the task isolation. */
export interface TaskIsolationParts {
  readonly registry: workerRegistry.WorkerRegistry;
  readonly attempts: attemptTable.AttemptTable;
  /** Whether a queued task of the job needs isolation. */
  readonly isWaiting: (job: types.ids.JobId) => boolean;
}

/** Creates an isolation that reserves no worker. */
export function createTaskIsolation(parts: TaskIsolationParts): TaskIsolation {
  const {registry, attempts} = parts;
  const holds = new Map<types.ids.WorkerId, IsolationHold>();
  /**
   * Workers whose reservation has expired in vain, with the end of the time in
   * which they are not reserved again. Without it, a worker that never becomes
   * empty would stay closed to all other jobs.
   */
  const openUntil = new Map<types.ids.WorkerId, types.clock.MonotonicMs>();
  /**
   * Jobs with tasks that may crash workers, by the worker on which they were
   * placed in this cycle.
   */
  let placedSuspects = new Map<types.ids.WorkerId, Set<types.ids.JobId>>();

  const isReservedFor = (stepRun: activeJob.StepRun, id: types.ids.WorkerId) =>
    holds.get(id)?.jobId === stepRun.job.id;

  function isSettled(
    {task, startedAt}: activeJob.Attempt,
    now: types.clock.MonotonicMs,
  ): boolean {
    if (task === undefined || startedAt === undefined) return false;
    const {stepRun, index} = task;
    const isSuspected = crashRecords.crashCount(stepRun, index) > 0;
    // A suspected task must have run for as long as its own isolation period
    // takes.
    const neededMs = isSuspected
      ? crashRecords.isolationPeriodMs(stepRun, index)
      : MIN_SETTLED_MS;
    return now - startedAt >= neededMs;
  }

  /** Whether tasks without a start order yet are placed on a worker. */
  function hasUnstartedPlacements(
    worker: workerRegistry.RegisteredWorker,
  ): boolean {
    let reservedTasks = 0;
    for (const count of worker.tasksByStep.values()) reservedTasks += count;
    return reservedTasks > attempts.ofWorker(worker.info.id).size;
  }

  function canStartIsolated(
    stepRun: activeJob.StepRun,
    worker: workerRegistry.RegisteredWorker,
    now: types.clock.MonotonicMs,
  ): boolean {
    const {id} = worker.info;
    if (
      !isReservedFor(stepRun, id) &&
      (holds.has(id) || hasUnstartedPlacements(worker))
    ) {
      return false;
    }
    for (const attempt of attempts.ofWorker(id)) {
      if (attempt.task?.stepRun.job === stepRun.job) continue;
      if (!isSettled(attempt, now)) return false;
    }
    return true;
  }

  function hostsSuspect(
    stepRun: activeJob.StepRun,
    id: types.ids.WorkerId,
  ): boolean {
    const {job} = stepRun;
    for (const jobId of placedSuspects.get(id) ?? [])
      if (jobId !== job.id) return true;
    for (const {task} of attempts.ofWorker(id)) {
      if (task === undefined || task.stepRun.job === job) continue;
      if (crashRecords.crashCount(task.stepRun, task.index) > 0) return true;
    }
    return false;
  }

  /** Whether the worker runs tasks of the same job only. */
  function sharesOnlyWithOwnJob({task, workerId}: activeJob.Attempt): boolean {
    for (const other of attempts.ofWorker(workerId)) {
      if (other.task?.stepRun.job !== task?.stepRun.job) return false;
    }
    return true;
  }

  function hasIsolatedAttempt(
    id: types.ids.WorkerId,
    {jobId}: IsolationHold,
  ): boolean {
    for (const {task, isolatedUntil} of attempts.ofWorker(id)) {
      if (isolatedUntil === undefined) continue;
      if (task?.stepRun.job.id === jobId) return true;
    }
    return false;
  }

  function isExpired(
    id: types.ids.WorkerId,
    hold: IsolationHold,
    now: types.clock.MonotonicMs,
  ): boolean {
    if (hold.until <= now) return true;
    switch (hold.type) {
      case 'reserved':
        return !parts.isWaiting(hold.jobId);
      case 'isolating':
        return !hasIsolatedAttempt(id, hold);
    }
  }

  function startIsolationPeriod(
    attempt: activeJob.Attempt,
    slackMs: number,
    now: types.clock.MonotonicMs,
  ): void {
    const {task, workerId} = attempt;
    if (task === undefined) return;
    const {stepRun, index} = task;
    const spanMs = crashRecords.isolationPeriodMs(stepRun, index) + slackMs;
    const until = types.clock.after(now, spanMs);
    attempt.isolatedUntil = until;
    holds.set(workerId, {type: 'isolating', jobId: stepRun.job.id, until});
  }

  /**
   * How many tasks of a step could start on a worker if it ran no other job's
   * tasks.
   */
  function tasksBesideOwn(
    stepRun: activeJob.StepRun,
    worker: workerRegistry.RegisteredWorker,
  ): number {
    const {id, capacity} = worker.info;
    let free = capacity;
    for (const {task, size} of attempts.ofWorker(id)) {
      if (task?.stepRun.job === stepRun.job)
        free = types.resources.subtract(free, size);
    }
    return Math.min(
      types.resources.tasksThatFit(stepNeeds.reservedSize(stepRun), free),
      stepNeeds.remainingSlots(stepRun, worker),
    );
  }

  /** Workers with the fewest attempts first: less is lost if they crash. */
  function compareByLoad(
    a: workerRegistry.RegisteredWorker,
    b: workerRegistry.RegisteredWorker,
  ): number {
    return (
      attempts.ofWorker(a.info.id).size - attempts.ofWorker(b.info.id).size ||
      b.free.cpuMillis - a.free.cpuMillis
    );
  }

  return {
    isHeldFor: isReservedFor,
    isClosedTo: (stepRun, id) => holds.has(id) && !isReservedFor(stepRun, id),
    canStartIsolated,
    hostsSuspect,
    canSoonStartIsolated(stepRun, id, now) {
      const hasOwn = [...holds.values()].some(
        ({jobId}) => jobId === stepRun.job.id,
      );
      if (hasOwn) return isReservedFor(stepRun, id);
      const worker = registry.workers.get(id);
      return worker !== undefined && canStartIsolated(stepRun, worker, now);
    },
    onPlaced(stepRun, index, id, now) {
      const {id: jobId} = stepRun.job;
      const jobs = placedSuspects.get(id) ?? new Set<types.ids.JobId>();
      placedSuspects.set(id, jobs.add(jobId));
      if (!crashRecords.needsIsolation(stepRun, index)) return;
      // Its start may have to wait for the store; the isolation period starts
      // only with the order.
      if (holds.get(id)?.type === 'isolating') return;
      const until = types.clock.after(now, MAX_RESERVATION_MS);
      holds.set(id, {type: 'reserved', jobId, until});
    },
    onStartOrdered(attempt, now) {
      const {task} = attempt;
      if (task === undefined) return;
      if (!crashRecords.needsIsolation(task.stepRun, task.index)) return;
      startIsolationPeriod(attempt, ORDER_SLACK_MS, now);
    },
    onStarted(attempt, now) {
      if (attempt.isolatedUntil !== undefined)
        startIsolationPeriod(attempt, 0, now);
    },
    onAttemptsFound(worker, now) {
      if (holds.has(worker)) return;
      for (const attempt of attempts.ofWorker(worker)) {
        const {task, isolatedUntil} = attempt;
        if (task === undefined || isolatedUntil !== undefined) continue;
        if (!crashRecords.needsIsolation(task.stepRun, task.index)) continue;
        if (sharesOnlyWithOwnJob(attempt))
          startIsolationPeriod(attempt, 0, now);
      }
    },
    reserveFor(stepRun, taskCount, available, now) {
      const {id: jobId} = stepRun.job;
      const reserved = [...holds].filter(
        ([, hold]) => hold.type === 'reserved',
      );
      const maxReserved = Math.max(
        1,
        registry.workers.size * MAX_RESERVED_SHARE,
      );
      let reservable = maxReserved - reserved.length;
      let missing = taskCount;
      for (const [id, hold] of reserved) {
        const worker = registry.workers.get(id);
        if (hold.jobId !== jobId || worker === undefined) continue;
        missing -= tasksBesideOwn(stepRun, worker);
      }
      const candidates = available
        .filter(
          ({info}) =>
            !holds.has(info.id) &&
            !openUntil.has(info.id) &&
            !hostsSuspect(stepRun, info.id),
        )
        .sort(compareByLoad);
      const until = types.clock.after(now, MAX_RESERVATION_MS);
      for (const worker of candidates) {
        if (missing <= 0 || reservable < 1) return;
        const fitting = tasksBesideOwn(stepRun, worker);
        if (fitting < 1) continue;
        holds.set(worker.info.id, {type: 'reserved', jobId, until});
        missing -= fitting;
        reservable--;
      }
    },
    releaseExpired(now) {
      placedSuspects = new Map();
      for (const [id, until] of openUntil) {
        if (until <= now) openUntil.delete(id);
      }
      const released: types.ids.WorkerId[] = [];
      for (const [id, hold] of holds) {
        if (!isExpired(id, hold, now)) continue;
        holds.delete(id);
        if (hold.type === 'reserved' && hold.until <= now)
          openUntil.set(id, types.clock.after(now, MAX_RESERVATION_MS));
        released.push(id);
      }
      return released;
    },
    forgetWorker(worker) {
      holds.delete(worker);
      openUntil.delete(worker);
      placedSuspects.delete(worker);
    },
  };
}
