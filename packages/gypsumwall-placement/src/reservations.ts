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
import type * as bookRecords from './book_records.js';
import * as drainTimes from './drain_times.js';
import type * as jobQueue from './job_queue.js';
import * as movable from './movable.js';
import type * as placer from './placer.js';

/** A job blocked for so long may have room kept for it. */
const PATIENCE_MS = 1000;
/** How often jobs are looked at that might get a reservation. */
const LOOK_EVERY_MS = 250;
/** Room that isn't there so long after it should be is planned anew. */
const LATE_AFTER_MS = 500;
const SHORTEST_MS = 10_000;
const LONGEST_MS = 1_800_000;
/** A reservation lasts this much longer than its workers should take. */
const DRAIN_MARGIN = 1.5;
/** Reservations at one time; others wait until one ends. */
const MAX_RESERVATIONS = 2;
/**
 * Room for one task more is kept for each so many: urgent tasks and usage
 * above the books take a little of it before the last worker has drained.
 */
const TASKS_PER_SPARE = 8;
/**
 * Room is kept for gangs, and for single tasks of at least this share of the
 * largest worker; smaller ones find room soon enough.
 */
const LARGE_SHARE = 0.25;
/** Batch work as urgent as the job itself is moved for it after this. */
const MOVE_EQUALS_AFTER_MS = 60_000;
/**
 * Share of a reservation's workers that must have drained before the job is
 * tried. Not all of them: there is spare room, and some tasks fit elsewhere.
 */
const READY_SHARE = 0.75;
/** Workers looked at: more for a larger gang, but never all of thousands. */
const SAMPLES = 64;
const SAMPLES_PER_TASK = 4;

/** Room that is being kept. */
export interface Reservation {
  readonly job: jobQueue.JobRecord;
  readonly size: types.resources.Resources;
  /** Tasks by worker. */
  readonly slots: ReadonlyMap<bookRecords.WorkerRecord, number>;
  /** When its workers should have drained. */
  readonly readyAt: number;
  readonly deadline: number;
}

/** The reservations of a domain. */
export interface Reservations {
  of(job: jobQueue.JobRecord): Reservation | undefined;
  /**
   * Ends what is over; begins one for a job that has waited long. Returns the
   * checkpoints that make room for it.
   */
  tick(
    now: number,
    blocked: () => readonly jobQueue.JobRecord[],
  ): readonly placer.PreemptionAction[];
  /** Jobs for which most of the room kept for them is free. */
  readyJobs(): jobQueue.JobRecord[];
  /** Frees the job's own room for a try; `resume` keeps it again. */
  suspend(job: jobQueue.JobRecord): void;
  resume(job: jobQueue.JobRecord): void;
  /** The job was placed or went away. */
  end(job: jobQueue.JobRecord): void;
  dropWorker(worker: bookRecords.WorkerRecord): void;
  /**
   * Workers whose reserved room the job may use: those kept for less urgent
   * work, and those it would leave before they are needed.
   */
  usableBy(
    job: jobQueue.JobRecord,
    doneAt: number,
  ): Iterable<bookRecords.WorkerRecord>;
}

/** What reservations need to know. */
export interface ReservationsOptions {
  readonly list: readonly bookRecords.WorkerRecord[];
  readonly largest: types.resources.Resources;
  readonly random: types.random.Random;
  sizeOf(job: jobQueue.JobRecord): types.resources.Resources;
  reserve(
    worker: bookRecords.WorkerRecord,
    amount: types.resources.Resources,
    sign: 1 | -1,
  ): void;
  /** Runs an action whose changes of room wake nobody. */
  quietly(action: () => void): void;
}

/** Creates the reservations of a domain. */
export function createReservations(options: ReservationsOptions): Reservations {
  const current = new Map<jobQueue.JobRecord, Reservation>();
  let suspended: Reservation | undefined;
  let lookAgainAt = 0;

  function move(reservation: Reservation, sign: 1 | -1): void {
    for (const [worker, count] of reservation.slots) {
      const amount = types.resources.multiply(reservation.size, count);
      options.reserve(worker, amount, sign);
    }
  }

  function finish(reservation: Reservation): void {
    current.delete(reservation.job);
    reservation.job.reserved = false;
    if (suspended === reservation) suspended = undefined;
    else move(reservation, -1);
  }

  function begin(
    job: jobQueue.JobRecord,
    now: number,
    givenDeadline?: number,
  ): readonly placer.PreemptionAction[] {
    const size = options.sizeOf(job);
    const tasks = job.spec.shape.kind === 'gang' ? job.waiting.size : 1;
    const sample = sampleWorkers(SAMPLES + tasks * SAMPLES_PER_TASK);
    const search = (count: number) =>
      drainTimes.soonestRoom(sample, {
        size,
        count,
        now,
        mayMove: (task) => mayMove(job, task, now),
      });
    const spare = Math.ceil(tasks / TASKS_PER_SPARE);
    const found = search(tasks + spare) ?? search(tasks);
    if (found === undefined) {
      job.reserveAfter = now + SHORTEST_MS;
      return [];
    }
    const {slots, readyAt, victims} = found;
    const drainMs = (readyAt - now) * DRAIN_MARGIN;
    const lastsMs = Math.min(LONGEST_MS, Math.max(SHORTEST_MS, drainMs));
    const deadline = givenDeadline ?? now + lastsMs;
    const reservation = {job, size, slots, readyAt, deadline};
    job.reserveAfter = deadline + SHORTEST_MS;
    job.reserved = true;
    current.set(job, reservation);
    move(reservation, 1);
    return victims.map((task) => movable.askCheckpoint(task, now));
  }

  /**
   * Plans again for a job whose room should have been there by now: urgent
   * tasks or usage above the books took some of it. The deadline stays.
   */
  function replanLate(now: number): placer.PreemptionAction[] {
    const reliefs: placer.PreemptionAction[] = [];
    for (const reservation of [...current.values()]) {
      if (reservation.readyAt + LATE_AFTER_MS > now) continue;
      finish(reservation);
      reliefs.push(...begin(reservation.job, now, reservation.deadline));
    }
    return reliefs;
  }

  function isLarge(job: jobQueue.JobRecord): boolean {
    if (job.spec.shape.kind === 'gang') return true;
    const size = options.sizeOf(job);
    const {largest} = options;
    return (
      size.cpuMillis >= largest.cpuMillis * LARGE_SHARE ||
      size.memoryMb >= largest.memoryMb * LARGE_SHARE ||
      size.accelerators > 0
    );
  }

  function sampleWorkers(count: number): bookRecords.WorkerRecord[] {
    const {list, random} = options;
    const usable = (worker: bookRecords.WorkerRecord) =>
      worker.open && !worker.quarantined;
    if (list.length <= count) return list.filter(usable);
    const start = random.integer(0, list.length - 1);
    const found: bookRecords.WorkerRecord[] = [];
    for (let step = 0; step < count; step += 1) {
      const worker = list[(start + step) % list.length]!;
      if (usable(worker)) found.push(worker);
    }
    return found;
  }

  /** The job to keep room for next. */
  function longestBlocked(
    blocked: readonly jobQueue.JobRecord[],
    now: number,
  ): jobQueue.JobRecord | undefined {
    let first: jobQueue.JobRecord | undefined;
    for (const job of blocked) {
      const since = job.blockedSince;
      if (since === undefined || since + PATIENCE_MS > now) continue;
      if (job.reserved || job.reserveAfter > now || !isLarge(job)) continue;
      if (first === undefined || goesBefore(job, first)) first = job;
    }
    return first;
  }

  return {
    of: (job) => current.get(job),
    tick(now, blocked) {
      for (const reservation of current.values()) {
        if (reservation.deadline <= now) finish(reservation);
      }
      if (now < lookAgainAt) return [];
      lookAgainAt = now + LOOK_EVERY_MS;
      const replanned = replanLate(now);
      if (current.size >= MAX_RESERVATIONS) return replanned;
      const first = longestBlocked(blocked(), now);
      if (first !== undefined) replanned.push(...begin(first, now));
      return replanned;
    },
    readyJobs: () => [...current.values()].filter(isReady).map(({job}) => job),
    suspend(job) {
      if (!job.reserved) return;
      suspended = current.get(job);
      if (suspended === undefined) return;
      const reservation = suspended;
      options.quietly(() => move(reservation, -1));
    },
    resume(job) {
      if (suspended?.job !== job) return;
      const reservation = suspended;
      suspended = undefined;
      options.quietly(() => move(reservation, 1));
    },
    end(job) {
      const reservation = current.get(job);
      if (reservation !== undefined) finish(reservation);
    },
    dropWorker(worker) {
      for (const reservation of current.values()) {
        if (reservation.slots.has(worker)) finish(reservation);
      }
    },
    usableBy(job, doneAt) {
      const found: bookRecords.WorkerRecord[] = [];
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
  let free = 0;
  for (const {room} of reservation.slots.keys()) {
    const isFree =
      room.cpuMillis >= 0 && room.memoryMb >= 0 && room.accelerators >= 0;
    if (isFree) free += 1;
  }
  return free >= reservation.slots.size * READY_SHARE;
}

/** Whether a running task may be checkpointed for the job's sake. */
function mayMove(
  job: jobQueue.JobRecord,
  task: bookRecords.HeldRecord,
  now: number,
): boolean {
  if (!movable.isMovable(task, now)) return false;
  const rank = movable.URGENCY_RANK[job.spec.urgency];
  const blockedMs = now - (job.blockedSince ?? now);
  const equals = blockedMs >= MOVE_EQUALS_AFTER_MS;
  return movable.rankOf(task) < rank + (equals ? 1 : 0);
}

function goesBefore(
  left: jobQueue.JobRecord,
  right: jobQueue.JobRecord,
): boolean {
  if (left.tier !== right.tier) return left.tier < right.tier;
  return left.startBy < right.startBy;
}
