/** One round of decisions: takes jobs in queue order and finds them workers. */
import * as types from '@gypsumwall/types';
import type * as books from './books.js';
import * as indexRanges from './index_ranges.js';
import type * as jobFailures from './job_failures.js';
import type * as jobQueue from './job_queue.js';
import type * as pickWorker from './pick_worker.js';
import type * as placer from './placer.js';
import type * as rackSpread from './rack_spread.js';
import type * as reservations from './reservations.js';
import type * as taskSize from './task_size.js';

/** Vain tries in one round; the rest waits for the next one. */
const MISSES_PER_ROUND = 32;
/** A gang that found no room is tried again after this, then twice this... */
const FIRST_GANG_RETRY_MS = 20;
const LONGEST_GANG_RETRY_MS = 1000;
/** Gangs cost one search for each task, so few may fail in one round. */
const GANG_MISSES_PER_ROUND = 2;

/** What a round works on. */
export interface RoundParts {
  readonly books: books.Books;
  readonly queue: jobQueue.JobQueue;
  readonly sizes: taskSize.TaskSizes;
  readonly pick: pickWorker.WorkerPicker;
  readonly failures: jobFailures.JobFailures;
  readonly spread: rackSpread.RackSpread;
  readonly reservations: reservations.Reservations;
  /** Books a task that was decided on. */
  hold(task: placer.RunningTask, endsAt: number): void;
  /** Gives back the room of a gang that didn't fit whole. */
  undo(tasks: readonly placer.Placement[]): void;
  /** Tasks of the job no longer wait. */
  noteTaken(job: jobQueue.JobRecord, count: number): void;
  /** The task runs already and must not wait. */
  takeOut(jobId: types.ids.JobId, index: number): void;
}

type Miss = 'no_room' | 'over_quota';

/** Decides at most `limit` placements. */
export function runRound(
  parts: RoundParts,
  now: number,
  limit: number,
): placer.Placement[] {
  const placements: placer.Placement[] = [];
  for (const job of parts.reservations.readyJobs()) {
    if (placements.length < limit) tryReserved(parts, job, now, placements);
  }
  let misses = 0;
  let gangMisses = 0;
  while (placements.length < limit && misses < MISSES_PER_ROUND) {
    const job = parts.queue.next();
    if (job === undefined) break;
    const isGang = job.spec.shape.kind === 'gang';
    // What has room kept for it was tried already.
    const miss = job.reserved ? 'no_room' : place(parts, job, now, placements);
    if (miss === undefined) continue;
    misses += 1;
    noteMiss(parts, job, now, miss);
    if (isGang) gangMisses += 1;
    if (gangMisses >= GANG_MISSES_PER_ROUND) break;
  }
  return placements;
}

/**
 * A job that room is kept for goes before the queue: else that room would lie
 * idle while the round tries the many that came before it.
 */
function tryReserved(
  parts: RoundParts,
  job: jobQueue.JobRecord,
  now: number,
  placements: placer.Placement[],
): void {
  if (job.retryAt > now) return;
  const miss = place(parts, job, now, placements);
  if (miss !== undefined) job.retryAt = now + FIRST_GANG_RETRY_MS;
}

function place(
  parts: RoundParts,
  job: jobQueue.JobRecord,
  now: number,
  placements: placer.Placement[],
): Miss | undefined {
  return job.spec.shape.kind === 'gang'
    ? placeGang(parts, job, now, placements)
    : placeOne(parts, job, now, placements);
}

function placeOne(
  parts: RoundParts,
  job: jobQueue.JobRecord,
  now: number,
  placements: placer.Placement[],
): Miss | undefined {
  const size = sizeFor(parts, job);
  if (!fitsQuota(job, size)) return 'over_quota';
  parts.reservations.suspend(job);
  const placement = choose(parts, job, size, now);
  if (placement === undefined) {
    parts.reservations.resume(job);
    return 'no_room';
  }
  noteProgress(parts, job);
  indexRanges.remove(job.waiting, indexOf(placement));
  parts.noteTaken(job, 1);
  placements.push(placement);
  return undefined;
}

/**
 * Room was kept for the size of that time. A size learned since may be a
 * little larger, and the last task of a gang would never fit.
 */
function sizeFor(
  parts: RoundParts,
  job: jobQueue.JobRecord,
): types.resources.Resources {
  const reservation = parts.reservations.of(job);
  return reservation?.size ?? parts.sizes.sizeOf(job.spec);
}

/** All waiting tasks of the gang or none. */
function placeGang(
  parts: RoundParts,
  job: jobQueue.JobRecord,
  now: number,
  placements: placer.Placement[],
): Miss | undefined {
  const size = sizeFor(parts, job);
  const tasks = job.waiting.size;
  const whole = types.resources.multiply(size, tasks);
  if (!fitsQuota(job, whole)) return 'over_quota';
  parts.reservations.suspend(job);
  const placed = types.resources.fits(whole, parts.books.free)
    ? placeAll(parts, job, size, now)
    : [];
  if (placed.length === 0) {
    parts.reservations.resume(job);
    return 'no_room';
  }
  noteProgress(parts, job);
  parts.noteTaken(job, tasks);
  placements.push(...placed);
  return undefined;
}

/** Books every waiting task or none. */
function placeAll(
  parts: RoundParts,
  job: jobQueue.JobRecord,
  size: types.resources.Resources,
  now: number,
): placer.Placement[] {
  const tasks = job.waiting.size;
  const placed: placer.Placement[] = [];
  while (placed.length < tasks) {
    const placement = choose(parts, job, size, now);
    if (placement === undefined) break;
    placed.push(placement);
    indexRanges.remove(job.waiting, indexOf(placement));
  }
  if (placed.length === tasks) return placed;
  parts.undo(placed);
  for (const each of placed) indexRanges.add(job.waiting, indexOf(each));
  return [];
}

/** Finds a worker for the job's next task and books it. */
function choose(
  parts: RoundParts,
  job: jobQueue.JobRecord,
  size: types.resources.Resources,
  now: number,
): placer.Placement | undefined {
  const index = indexRanges.lowest(job.waiting);
  if (index === undefined) return undefined;
  const {spec, jobId} = job;
  const taskId = types.ids.makeTaskId(jobId, index);
  if (parts.books.held.has(taskId)) {
    // Listed as waiting while it runs: a second run must not start.
    parts.takeOut(jobId, index);
    return undefined;
  }
  const estimate = parts.sizes.estimate(spec);
  const isService = spec.shape.kind === 'service';
  const worker = parts.pick({
    need: size,
    packing: job.team.packing,
    avoid: workersToAvoid(parts, jobId),
    racks: isService ? (parts.spread.racksOf(jobId) ?? NO_RACKS) : undefined,
    extra: () => parts.reservations.usableBy(job, now + estimate.pessimisticMs),
  });
  if (worker === undefined) return undefined;
  const placement = {taskId, workerId: worker.id, size};
  parts.hold({...placement, spec}, now + estimate.typicalMs);
  return placement;
}

/** Where a job has failed on every worker there is, it may try again. */
function workersToAvoid(
  parts: RoundParts,
  jobId: types.ids.JobId,
): ReadonlySet<types.ids.WorkerId> | undefined {
  const avoid = parts.failures.workersToAvoid(jobId);
  if (avoid === undefined) return undefined;
  const {list} = parts.books;
  const elsewhere = list.some((each) => each.open && !avoid.has(each.id));
  return elsewhere ? avoid : undefined;
}

const NO_RACKS: ReadonlyMap<types.ids.RackId, number> = new Map();

function fitsQuota(
  job: jobQueue.JobRecord,
  size: types.resources.Resources,
): boolean {
  const wanted = types.resources.add(job.team.held, size);
  return types.resources.fits(wanted, job.team.quota);
}

function noteProgress(parts: RoundParts, job: jobQueue.JobRecord): void {
  job.blockedSince = undefined;
  job.retryAt = 0;
  parts.reservations.end(job);
}

function noteMiss(
  parts: RoundParts,
  job: jobQueue.JobRecord,
  now: number,
  miss: Miss,
): void {
  if (miss === 'no_room') {
    job.blockedSince ??= now;
    if (!job.reserved && job.spec.shape.kind === 'gang')
      job.retryAt = nextRetry(job, now);
  }
  const size = parts.sizes.sizeOf(job.spec);
  const alone = parts.failures.workersToAvoid(job.jobId) !== undefined;
  parts.queue.block(job, size, alone, miss);
}

/** Grows with the time that the gang has been blocked. */
function nextRetry(job: jobQueue.JobRecord, now: number): number {
  const blockedMs = now - (job.blockedSince ?? now);
  const bounded = Math.min(LONGEST_GANG_RETRY_MS, blockedMs);
  return now + Math.max(FIRST_GANG_RETRY_MS, bounded);
}

function indexOf(placement: placer.Placement): number {
  return types.ids.splitTaskId(placement.taskId).index;
}
