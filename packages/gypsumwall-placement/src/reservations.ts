/**
 * Reserves resources for jobs that don't fit at present, such as a large gang,
 * so that small tasks, which fit at once, can't starve them.
 *
 * A reservation covers all tasks of the job, counts on resources that running
 * tasks will free, and never exceeds a worker's capacity together with other
 * reservations. So a job with a reservation waits only for running tasks and
 * never for another reservation: two gangs can't deadlock, each holding a part
 * of what the other needs. A reservation whose workers don't drain ends at its
 * deadline.
 */
import * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';
import * as expectedCapacity from './expected_capacity.js';
import type * as jobQueue from './job_queue.js';
import * as preemption from './preemption.js';
import type * as placer from './placer.js';

/** A job may get a reservation when it has been blocked for this time. */
const MIN_BLOCKED_MS = 1000;
/** How often the blocked jobs are checked for one that needs a reservation. */
const CHECK_INTERVAL_MS = 250;
/**
 * A reservation that is still unused this long after `readyAt` is replanned.
 */
const REPLAN_AFTER_MS = 500;
const MIN_DURATION_MS = 10_000;
const MAX_DURATION_MS = 1_800_000;
/**
 * A reservation lasts this many times the expected time to drain its workers.
 */
const DRAIN_TIME_FACTOR = 1.5;
/** The number of concurrent reservations; other jobs wait until one ends. */
const MAX_RESERVATIONS = 2;
/**
 * For each 8 tasks one spare slot is reserved, because urgent tasks and usage
 * above the allocations take some of the reserved resources before the last
 * worker has drained.
 */
const TASKS_PER_SPARE_SLOT = 8;
/**
 * Gangs may get a reservation, and so may tasks that need at least this share
 * of the largest worker. Smaller tasks are placed soon without one.
 */
const LARGE_TASK_SHARE = 0.25;
/**
 * After this time, tasks as urgent as the blocked job are preempted for it too.
 */
const PREEMPT_EQUALS_AFTER_MS = 60_000;
/**
 * The share of a reservation's workers that must have drained before the job
 * is tried. Not all of them are needed, since there are spare slots and some
 * tasks may fit on other workers.
 */
const READY_WORKER_SHARE = 0.75;
/**
 * The workers examined for a reservation: `MIN_SAMPLES`, plus
 * `SAMPLES_PER_TASK` for each task, so that not all of thousands are examined.
 */
const MIN_SAMPLES = 64;
const SAMPLES_PER_TASK = 4;

/** Resources reserved for a blocked job. */
export interface Reservation {
  readonly job: jobQueue.WaitingJob;
  readonly size: types.resources.Resources;
  /** The number of tasks reserved for on each worker. */
  readonly slots: ReadonlyMap<allocationState.WorkerState, number>;
  /** When its workers are expected to have drained. */
  readonly readyAt: number;
  readonly deadline: number;
}

/** The reservations of a failure domain. */
export interface Reservations {
  of(job: jobQueue.WaitingJob): Reservation | undefined;
  /**
   * Ends expired reservations and creates one for a job that has been blocked
   * long enough. Returns the checkpoints that free resources for it.
   */
  tick(
    now: number,
    blocked: () => readonly jobQueue.WaitingJob[],
  ): readonly placer.PreemptionAction[];
  /** The jobs most of whose reserved workers have drained. */
  readyJobs(): jobQueue.WaitingJob[];
  /**
   * Frees the job's reserved resources so that its tasks can be placed;
   * `resume` reserves them again.
   */
  suspend(job: jobQueue.WaitingJob): void;
  resume(job: jobQueue.WaitingJob): void;
  /** Ends the reservation of a job that was placed or removed. */
  end(job: jobQueue.WaitingJob): void;
  removeWorker(worker: allocationState.WorkerState): void;
  /**
   * Workers whose reserved resources the job may use: those reserved for a
   * later tier, and those that are needed only after the job is done.
   */
  usableBy(
    job: jobQueue.WaitingJob,
    doneAt: number,
  ): Iterable<allocationState.WorkerState>;
}

/** The state and functions of the domain that reservations use. */
export interface ReservationsOptions {
  readonly workerList: readonly allocationState.WorkerState[];
  readonly largestCapacity: types.resources.Resources;
  readonly random: types.random.Random;
  sizeOf(job: jobQueue.WaitingJob): types.resources.Resources;
  reserve(
    worker: allocationState.WorkerState,
    amount: types.resources.Resources,
    sign: 1 | -1,
  ): void;
  /** Runs an action whose freed resources don't unblock waiting jobs. */
  withoutUnblocking(action: () => void): void;
}

export function createReservations(options: ReservationsOptions): Reservations {
  const reservationsByJob = new Map<jobQueue.WaitingJob, Reservation>();
  let suspendedReservation: Reservation | undefined;
  let nextCheckAt = 0;

  function reserveOnWorkers(reservation: Reservation, sign: 1 | -1): void {
    for (const [worker, count] of reservation.slots) {
      const amount = types.resources.multiply(reservation.size, count);
      options.reserve(worker, amount, sign);
    }
  }

  function end(reservation: Reservation): void {
    reservationsByJob.delete(reservation.job);
    reservation.job.hasReservation = false;
    if (suspendedReservation === reservation) suspendedReservation = undefined;
    else reserveOnWorkers(reservation, -1);
  }

  function create(
    job: jobQueue.WaitingJob,
    now: number,
    fixedDeadline?: number,
  ): readonly placer.PreemptionAction[] {
    const size = options.sizeOf(job);
    const tasks = job.spec.shape.kind === 'gang' ? job.waiting.size : 1;
    const sample = sampleWorkers(MIN_SAMPLES + tasks * SAMPLES_PER_TASK);
    const search = (count: number) =>
      expectedCapacity.findEarliestCapacity(sample, {
        size,
        count,
        now,
        mayPreempt: (task) => mayPreempt(job, task, now),
      });
    const spareSlots = Math.ceil(tasks / TASKS_PER_SPARE_SLOT);
    const found = search(tasks + spareSlots) ?? search(tasks);
    if (found === undefined) {
      job.nextReservationAt = now + MIN_DURATION_MS;
      return [];
    }
    const {slots, readyAt, victims} = found;
    const drainMs = (readyAt - now) * DRAIN_TIME_FACTOR;
    const durationMs = Math.min(
      MAX_DURATION_MS,
      Math.max(MIN_DURATION_MS, drainMs),
    );
    const deadline = fixedDeadline ?? now + durationMs;
    const reservation = {job, size, slots, readyAt, deadline};
    job.nextReservationAt = deadline + MIN_DURATION_MS;
    job.hasReservation = true;
    reservationsByJob.set(job, reservation);
    reserveOnWorkers(reservation, 1);
    return victims.map((task) => preemption.requestCheckpoint(task, now));
  }

  /**
   * Replans overdue reservations, of which urgent tasks or usage above the
   * allocations took some resources. They keep their deadline.
   */
  function replanOverdue(now: number): placer.PreemptionAction[] {
    const actions: placer.PreemptionAction[] = [];
    for (const reservation of [...reservationsByJob.values()]) {
      if (reservation.readyAt + REPLAN_AFTER_MS > now) continue;
      end(reservation);
      types.lists.append(
        actions,
        create(reservation.job, now, reservation.deadline),
      );
    }
    return actions;
  }

  function isLarge(job: jobQueue.WaitingJob): boolean {
    if (job.spec.shape.kind === 'gang') return true;
    const size = options.sizeOf(job);
    const {largestCapacity} = options;
    return (
      size.cpuMillis >= largestCapacity.cpuMillis * LARGE_TASK_SHARE ||
      size.memoryMb >= largestCapacity.memoryMb * LARGE_TASK_SHARE ||
      size.accelerators > 0
    );
  }

  function sampleWorkers(count: number): allocationState.WorkerState[] {
    const {workerList, random} = options;
    const isUsable = (worker: allocationState.WorkerState) =>
      worker.isSchedulable && !worker.isQuarantined;
    if (workerList.length <= count) return workerList.filter(isUsable);
    const start = random.integer(0, workerList.length - 1);
    const found: allocationState.WorkerState[] = [];
    for (let step = 0; step < count; step += 1) {
      const worker = workerList[(start + step) % workerList.length]!;
      if (isUsable(worker)) found.push(worker);
    }
    return found;
  }

  /** The job that gets the next reservation, if any. */
  function selectBlockedJob(
    blocked: readonly jobQueue.WaitingJob[],
    now: number,
  ): jobQueue.WaitingJob | undefined {
    let first: jobQueue.WaitingJob | undefined;
    for (const job of blocked) {
      const blockedSince = job.blockedSince;
      if (blockedSince === undefined || blockedSince + MIN_BLOCKED_MS > now)
        continue;
      if (job.hasReservation || job.nextReservationAt > now || !isLarge(job))
        continue;
      if (first === undefined || precedes(job, first)) first = job;
    }
    return first;
  }

  return {
    of: (job) => reservationsByJob.get(job),
    tick(now, blocked) {
      for (const reservation of reservationsByJob.values()) {
        if (reservation.deadline <= now) end(reservation);
      }
      if (now < nextCheckAt) return [];
      nextCheckAt = now + CHECK_INTERVAL_MS;
      const actions = replanOverdue(now);
      if (reservationsByJob.size >= MAX_RESERVATIONS) return actions;
      const job = selectBlockedJob(blocked(), now);
      if (job !== undefined) types.lists.append(actions, create(job, now));
      return actions;
    },
    readyJobs: () =>
      [...reservationsByJob.values()].filter(isReady).map(({job}) => job),
    suspend(job) {
      if (!job.hasReservation) return;
      suspendedReservation = reservationsByJob.get(job);
      if (suspendedReservation === undefined) return;
      const reservation = suspendedReservation;
      options.withoutUnblocking(() => reserveOnWorkers(reservation, -1));
    },
    resume(job) {
      if (suspendedReservation?.job !== job) return;
      const reservation = suspendedReservation;
      suspendedReservation = undefined;
      options.withoutUnblocking(() => reserveOnWorkers(reservation, 1));
    },
    end(job) {
      const reservation = reservationsByJob.get(job);
      if (reservation !== undefined) end(reservation);
    },
    removeWorker(worker) {
      for (const reservation of reservationsByJob.values()) {
        if (reservation.slots.has(worker)) end(reservation);
      }
    },
    usableBy(job, doneAt) {
      const found: allocationState.WorkerState[] = [];
      for (const reservation of reservationsByJob.values()) {
        const mayUse =
          job.tier < reservation.job.tier || doneAt <= reservation.readyAt;
        if (mayUse) types.lists.append(found, reservation.slots.keys());
      }
      return found;
    },
  };
}

function isReady(reservation: Reservation): boolean {
  let drainedWorkers = 0;
  for (const {free} of reservation.slots.keys()) {
    const isFree =
      free.cpuMillis >= 0 && free.memoryMb >= 0 && free.accelerators >= 0;
    if (isFree) drainedWorkers += 1;
  }
  return drainedWorkers >= reservation.slots.size * READY_WORKER_SHARE;
}

/** Whether a running task may be checkpointed in favour of the job. */
function mayPreempt(
  job: jobQueue.WaitingJob,
  task: allocationState.TaskAllocation,
  now: number,
): boolean {
  if (!preemption.isPreemptible(task, now)) return false;
  const rank = preemption.URGENCY_RANK[job.spec.urgency];
  const blockedMs = now - (job.blockedSince ?? now);
  const mayPreemptEquals = blockedMs >= PREEMPT_EQUALS_AFTER_MS;
  return preemption.urgencyRankOf(task) < rank + (mayPreemptEquals ? 1 : 0);
}

function precedes(
  left: jobQueue.WaitingJob,
  right: jobQueue.WaitingJob,
): boolean {
  if (left.tier !== right.tier) return left.tier < right.tier;
  return left.startBy < right.startBy;
}
