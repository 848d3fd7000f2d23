/**
 * Keeps room for a job that doesn't fit at present, such as a large gang, so
 * that small tasks which fit at once don't pass it for good.
 *
 * One job at a time has a reservation in a domain. Two gangs that each held
 * half of what both need would wait for each other without end; with one
 * reservation there is nobody to wait for. A reservation has a deadline, so a
 * job whose workers don't drain gives way to the next one.
 */
import type * as types from '@gypsumwall/types';
import type * as books from './books.js';
import type * as jobQueue from './job_queue.js';

/** A job blocked for so long may have room kept for it. */
const PATIENCE_MS = 2000;
const SHORTEST_MS = 10_000;
const LONGEST_MS = 1_800_000;
/** A reservation lasts this much longer than its workers should take. */
const DRAIN_MARGIN = 1.5;
/** Workers looked at: more for a larger gang, but never all of thousands. */
const SAMPLES = 64;
const SAMPLES_PER_TASK = 4;

/** Room that is being kept. */
export interface Reservation {
  readonly job: jobQueue.JobRecord;
  readonly workers: ReadonlySet<books.WorkerRecord>;
  /** When its workers should have drained. */
  readonly readyAt: number;
  readonly deadline: number;
}

/** The reservation of a domain, if any. */
export interface Reservations {
  current(): Reservation | undefined;
  /** Ends a reservation that is over; begins one for a job that waited long. */
  tick(now: number, blocked: () => readonly jobQueue.JobRecord[]): void;
  /** The job was placed or went away. */
  end(job: jobQueue.JobRecord): void;
  dropWorker(worker: books.WorkerRecord): void;
}

/** What reservations need to know. */
export interface ReservationsOptions {
  readonly list: readonly books.WorkerRecord[];
  readonly random: types.random.Random;
  sizeOf(job: jobQueue.JobRecord): types.resources.Resources;
  /** Told of a worker whose `reservedFor` changed. */
  onChange(worker: books.WorkerRecord): void;
}

/** Creates the reservations of a domain. */
export function createReservations(options: ReservationsOptions): Reservations {
  let current: Reservation | undefined;
  let lookAgainAt = 0;

  function finish(): void {
    if (current === undefined) return;
    const {workers} = current;
    current = undefined;
    for (const worker of workers) setReserved(worker, undefined);
  }

  function setReserved(
    worker: books.WorkerRecord,
    jobId: types.ids.JobId | undefined,
  ): void {
    worker.reservedFor = jobId;
    options.onChange(worker);
  }

  function begin(job: jobQueue.JobRecord, now: number): void {
    const size = options.sizeOf(job);
    const tasks = job.spec.shape.kind === 'gang' ? job.waiting.size() : 1;
    const sample = sampleWorkers(SAMPLES + tasks * SAMPLES_PER_TASK);
    const drains = sample
      .map((worker) => ({worker, readyAt: drainedAt(worker, now)}))
      .sort((left, right) => left.readyAt - right.readyAt);
    const chosen = new Set<books.WorkerRecord>();
    let readyAt = now;
    let room = 0;
    for (const drain of drains) {
      if (room >= tasks) break;
      const fits = tasksWhenDrained(drain.worker, size);
      if (fits === 0) continue;
      chosen.add(drain.worker);
      room += fits;
      readyAt = Math.max(readyAt, drain.readyAt);
    }
    if (room < tasks) {
      job.reserveAfter = now + SHORTEST_MS;
      return;
    }
    const drainMs = (readyAt - now) * DRAIN_MARGIN;
    const lastsMs = Math.min(LONGEST_MS, Math.max(SHORTEST_MS, drainMs));
    current = {job, workers: chosen, readyAt, deadline: now + lastsMs};
    job.reserveAfter = now + lastsMs * 2;
    for (const worker of chosen) setReserved(worker, job.jobId);
  }

  function sampleWorkers(count: number): books.WorkerRecord[] {
    const {list, random} = options;
    const usable = (worker: books.WorkerRecord) =>
      worker.open && !worker.quarantined;
    if (list.length <= count) return list.filter(usable);
    const start = random.integer(0, list.length - 1);
    const found: books.WorkerRecord[] = [];
    for (let step = 0; step < count; step += 1) {
      const worker = list[(start + step) % list.length]!;
      if (usable(worker)) found.push(worker);
    }
    return found;
  }

  return {
    current: () => current,
    tick(now, blocked) {
      if (current !== undefined && current.deadline <= now) finish();
      if (current !== undefined || now < lookAgainAt) return;
      lookAgainAt = now + PATIENCE_MS / 4;
      let first: jobQueue.JobRecord | undefined;
      for (const job of blocked()) {
        const since = job.blockedSince;
        if (since === undefined || since + PATIENCE_MS > now) continue;
        if (job.reserveAfter > now) continue;
        if (first === undefined || goesBefore(job, first)) first = job;
      }
      if (first !== undefined) begin(first, now);
    },
    end(job) {
      if (current?.job === job) finish();
    },
    dropWorker(worker) {
      if (current?.workers.has(worker) === true) finish();
    },
  };
}

function goesBefore(
  left: jobQueue.JobRecord,
  right: jobQueue.JobRecord,
): boolean {
  if (left.tier !== right.tier) return left.tier < right.tier;
  return left.startBy < right.startBy;
}

/** When all tasks but services should have ended there. */
function drainedAt(worker: books.WorkerRecord, now: number): number {
  let latest = now;
  for (const task of worker.tasks) {
    if (task.spec.shape.kind === 'service') continue;
    latest = Math.max(latest, task.endsAt);
  }
  return latest;
}

function tasksWhenDrained(
  worker: books.WorkerRecord,
  size: types.resources.Resources,
): number {
  let {cpuMillis, memoryMb, accelerators} = worker.capacity;
  for (const task of worker.tasks) {
    if (task.spec.shape.kind !== 'service') continue;
    cpuMillis -= task.size.cpuMillis;
    memoryMb -= Math.max(task.size.memoryMb, task.usedMemoryMb);
    accelerators -= task.size.accelerators;
  }
  const fits = Math.min(
    size.cpuMillis > 0 ? cpuMillis / size.cpuMillis : Infinity,
    size.memoryMb > 0 ? memoryMb / size.memoryMb : Infinity,
    size.accelerators > 0 ? accelerators / size.accelerators : Infinity,
  );
  return Math.max(0, Math.floor(fits));
}
