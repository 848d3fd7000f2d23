/**
 * Keeps room for jobs that don't fit at present, such as a large gang, so
 * that small tasks which fit at once don't pass them for good.
 *
 * A reservation is made for all tasks of the job at once, out of room that
 * running tasks will give back, and never together with others for more than
 * a worker has. So a job with a reservation waits for running tasks only and
 * never for another reservation: two gangs can't block each other half
 * reserved. A deadline ends a reservation whose workers don't drain.
 */
import * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';
import * as expectedCapacity from './expected_capacity.js';
import type * as jobQueue from './job_queue.js';
import * as preemption from './preemption.js';
import type * as placer from './placer.js';

/** A job blocked for so long may have room kept for it. */
const MIN_BLOCKED_MS = 1000;
/** How often jobs are looked at that might get a reservation. */
const CHECK_INTERVAL_MS = 250;
/** Room that isn't there so long after it should be is planned anew. */
const REPLAN_AFTER_MS = 500;
const MIN_DURATION_MS = 10_000;
const MAX_DURATION_MS = 1_800_000;
/** A reservation lasts this much longer than its workers should take. */
const DRAIN_TIME_FACTOR = 1.5;
/** Reservations at one time; others wait until one ends. */
const MAX_RESERVATIONS = 2;
/**
 * Room for one task more is kept for each so many: urgent tasks and usage
 * above the books take a little of it before the last worker has drained.
 */
const TASKS_PER_SPARE_SLOT = 8;
/**
 * Room is kept for gangs, and for single tasks of at least this share of the
 * largest worker; smaller ones find room soon enough.
 */
const LARGE_TASK_SHARE = 0.25;
/** Batch work as urgent as the job itself is moved for it after this. */
const PREEMPT_EQUALS_AFTER_MS = 60_000;
/**
 * Share of a reservation's workers that must have drained before the job is
 * tried. Not all of them: there is spare room, and some tasks fit elsewhere.
 */
const READY_WORKER_SHARE = 0.75;
/** Workers looked at: more for a larger gang, but never all of thousands. */
const MIN_SAMPLES = 64;
const SAMPLES_PER_TASK = 4;

/** Room that is being kept. */
export interface Reservation {
  readonly job: jobQueue.WaitingJob;
  readonly size: types.resources.Resources;
  /** Tasks by worker. */
  readonly slots: ReadonlyMap<allocationState.WorkerState, number>;
  /** When its workers should have drained. */
  readonly readyAt: number;
  readonly deadline: number;
}

/** The reservations of a domain. */
export interface Reservations {
  of(job: jobQueue.WaitingJob): Reservation | undefined;
  /**
   * Ends what is over; begins one for a job that has waited long. Returns the
   * checkpoints that make room for it.
   */
  tick(
    now: number,
    blocked: () => readonly jobQueue.WaitingJob[],
  ): readonly placer.Relief[];
  /** Jobs for which most of the room kept for them is free. */
  readyJobs(): jobQueue.WaitingJob[];
  /** Frees the job's own room for a try; `resume` keeps it again. */
  suspend(job: jobQueue.WaitingJob): void;
  resume(job: jobQueue.WaitingJob): void;
  /** The job was placed or went away. */
  end(job: jobQueue.WaitingJob): void;
  removeWorker(worker: allocationState.WorkerState): void;
  /**
   * Workers whose reserved room the job may use: those kept for less urgent
   * work, and those it would leave before they are needed.
   */
  usableBy(
    job: jobQueue.WaitingJob,
    doneAt: number,
  ): Iterable<allocationState.WorkerState>;
}

/** What reservations need to know. */
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
  /** Runs an action whose changes of room wake nobody. */
  withoutUnblocking(action: () => void): void;
}

/** Creates the reservations of a domain. */
export function createReservations(options: ReservationsOptions): Reservations {
  const current = new Map<jobQueue.WaitingJob, Reservation>();
  let suspendedReservation: Reservation | undefined;
  let nextCheckAt = 0;

  function reserveOnWorkers(reservation: Reservation, sign: 1 | -1): void {
    for (const [worker, count] of reservation.slots) {
      const amount = types.resources.times(reservation.size, count);
      options.reserve(worker, amount, sign);
    }
  }

  function end(reservation: Reservation): void {
    current.delete(reservation.job);
    reservation.job.hasReservation = false;
    if (suspendedReservation === reservation) suspendedReservation = undefined;
    else reserveOnWorkers(reservation, -1);
  }

  function create(
    job: jobQueue.WaitingJob,
    now: number,
    fixedDeadline?: number,
  ): readonly placer.Relief[] {
    const size = options.sizeOf(job);
    const tasks = job.spec.shape.kind === 'gang' ? job.waiting.size : 1;
    const sample = sampleWorkers(MIN_SAMPLES + tasks * SAMPLES_PER_TASK);
    const search = (count: number) =>
      expectedCapacity.earliestCapacity(sample, {
        size,
        count,
        now,
        mayPreempt: (task) => mayPreempt(job, task, now),
      });
    const spare = Math.ceil(tasks / TASKS_PER_SPARE_SLOT);
    const found = search(tasks + spare) ?? search(tasks);
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
    current.set(job, reservation);
    reserveOnWorkers(reservation, 1);
    return victims.map((task) => preemption.requestCheckpoint(task, now));
  }

  /**
   * Plans again for a job whose room should have been there by now: urgent
   * tasks or usage above the books took some of it. The deadline stays.
   */
  function replanLate(now: number): placer.Relief[] {
    const reliefs: placer.Relief[] = [];
    for (const reservation of [...current.values()]) {
      if (reservation.readyAt + REPLAN_AFTER_MS > now) continue;
      end(reservation);
      reliefs.push(...create(reservation.job, now, reservation.deadline));
    }
    return reliefs;
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

  /** The job to keep room for next. */
  function longestBlocked(
    blocked: readonly jobQueue.WaitingJob[],
    now: number,
  ): jobQueue.WaitingJob | undefined {
    let first: jobQueue.WaitingJob | undefined;
    for (const job of blocked) {
      const since = job.blockedSince;
      if (since === undefined || since + MIN_BLOCKED_MS > now) continue;
      if (job.hasReservation || job.nextReservationAt > now || !isLarge(job))
        continue;
      if (first === undefined || precedes(job, first)) first = job;
    }
    return first;
  }

  return {
    of: (job) => current.get(job),
    tick(now, blocked) {
      for (const reservation of current.values()) {
        if (reservation.deadline <= now) end(reservation);
      }
      if (now < nextCheckAt) return [];
      nextCheckAt = now + CHECK_INTERVAL_MS;
      const replanned = replanLate(now);
      if (current.size >= MAX_RESERVATIONS) return replanned;
      const first = longestBlocked(blocked(), now);
      if (first !== undefined) replanned.push(...create(first, now));
      return replanned;
    },
    readyJobs: () => [...current.values()].filter(isReady).map(({job}) => job),
    suspend(job) {
      if (!job.hasReservation) return;
      suspendedReservation = current.get(job);
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
      const reservation = current.get(job);
      if (reservation !== undefined) end(reservation);
    },
    removeWorker(worker) {
      for (const reservation of current.values()) {
        if (reservation.slots.has(worker)) end(reservation);
      }
    },
    usableBy(job, doneAt) {
      const found: allocationState.WorkerState[] = [];
      for (const reservation of current.values()) {
        const mayUse =
          job.tier < reservation.job.tier || doneAt <= reservation.readyAt;
        if (mayUse) found.push(...reservation.slots.keys());
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

/** Whether a running task may be checkpointed for the job's sake. */
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
