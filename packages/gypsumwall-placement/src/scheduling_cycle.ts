/** A scheduling cycle: takes jobs in queue order and finds workers for them. */
import * as types from '@gypsumwall/types';
import type * as domainAllocations from './domain_allocations.js';
import * as indexRanges from './index_ranges.js';
import type * as jobFailures from './job_failures.js';
import type * as jobQueue from './job_queue.js';
import type * as workerPicker from './worker_picker.js';
import type * as placer from './placer.js';
import type * as rackReplicas from './rack_replicas.js';
import type * as reservations from './reservations.js';
import type * as taskSize from './task_size.js';

/** A cycle ends after this many jobs that can't be placed. */
const MAX_FAILURES_PER_CYCLE = 32;
/**
 * A gang that doesn't fit is tried again after the time for which the gang has
 * been blocked, but after at least this and at most `MAX_GANG_RETRY_MS`.
 */
const MIN_GANG_RETRY_MS = 20;
const MAX_GANG_RETRY_MS = 1000;
/** Gangs take one search for each task, so a cycle ends after few failed ones. */
const MAX_GANG_FAILURES_PER_CYCLE = 2;

/** The modules of the policy that a cycle uses. */
export interface CycleContext {
  readonly allocations: domainAllocations.DomainAllocations;
  readonly queue: jobQueue.JobQueue;
  readonly sizes: taskSize.TaskSizes;
  readonly pickWorker: workerPicker.WorkerPicker;
  readonly failures: jobFailures.JobFailures;
  readonly rackReplicas: rackReplicas.RackReplicas;
  readonly reservations: reservations.Reservations;
  /** Allocates the resources of a placed task. */
  allocate(task: placer.RunningTask, expectedEndAt: number): void;
  /** Frees the resources of a gang of which only a part fitted. */
  rollBack(placements: readonly placer.Placement[]): void;
  /** Called when tasks of the job were placed and no longer wait. */
  onTasksPlaced(job: jobQueue.WaitingJob, count: number): void;
  /** Removes a task that is already running from the queue. */
  removeWaitingTask(jobId: types.ids.JobId, index: number): void;
}

type PlacementFailure = 'no_room' | 'over_quota';

/** Runs a cycle that makes at most `limit` placements. */
export function runCycle(
  context: CycleContext,
  now: number,
  limit: number,
): placer.Placement[] {
  const placements: placer.Placement[] = [];
  for (const job of context.reservations.readyJobs()) {
    if (placements.length < limit) placeReserved(context, job, now, placements);
  }
  let failures = 0;
  let gangFailures = 0;
  while (placements.length < limit && failures < MAX_FAILURES_PER_CYCLE) {
    const job = context.queue.next();
    if (job === undefined) break;
    const isGang = job.spec.shape.kind === 'gang';
    // Jobs with a reservation were tried above.
    const failure = job.hasReservation
      ? 'no_room'
      : place(context, job, now, placements);
    if (failure === undefined) continue;
    failures += 1;
    recordPlacementFailure(context, job, now, failure);
    if (isGang) gangFailures += 1;
    if (gangFailures >= MAX_GANG_FAILURES_PER_CYCLE) break;
  }
  return placements;
}

/**
 * Jobs with a reservation are placed before the queue. Otherwise their reserved
 * resources would be idle while the cycle tries the jobs queued before them.
 */
function placeReserved(
  context: CycleContext,
  job: jobQueue.WaitingJob,
  now: number,
  placements: placer.Placement[],
): void {
  if (job.retryAt > now) return;
  const failure = place(context, job, now, placements);
  if (failure !== undefined) job.retryAt = now + MIN_GANG_RETRY_MS;
}

function place(
  context: CycleContext,
  job: jobQueue.WaitingJob,
  now: number,
  placements: placer.Placement[],
): PlacementFailure | undefined {
  return job.spec.shape.kind === 'gang'
    ? placeGang(context, job, now, placements)
    : placeOne(context, job, now, placements);
}

function placeOne(
  context: CycleContext,
  job: jobQueue.WaitingJob,
  now: number,
  placements: placer.Placement[],
): PlacementFailure | undefined {
  const size = placementSize(context, job);
  if (!fitsQuota(job, size)) return 'over_quota';
  context.reservations.suspend(job);
  const placement = placeNextTask(context, job, size, now);
  if (placement === undefined) {
    context.reservations.resume(job);
    return 'no_room';
  }
  clearBlocked(context, job);
  indexRanges.remove(job.waiting, taskIndexOf(placement));
  context.onTasksPlaced(job, 1);
  placements.push(placement);
  return undefined;
}

/**
 * A reservation holds resources for the size that was estimated when it was
 * made. The present estimate may be a little larger, and the last task of a
 * gang would never fit, so the size of the reservation is used.
 */
function placementSize(
  context: CycleContext,
  job: jobQueue.WaitingJob,
): types.resources.Resources {
  const reservation = context.reservations.of(job);
  return reservation?.size ?? context.sizes.sizeOf(job.spec);
}

/** Places all waiting tasks of a gang, or none. */
function placeGang(
  context: CycleContext,
  job: jobQueue.WaitingJob,
  now: number,
  placements: placer.Placement[],
): PlacementFailure | undefined {
  const size = placementSize(context, job);
  const tasks = job.waiting.size;
  const gangSize = types.resources.multiply(size, tasks);
  if (!fitsQuota(job, gangSize)) return 'over_quota';
  context.reservations.suspend(job);
  const allocated = types.resources.fits(
    gangSize,
    context.allocations.totalFree,
  )
    ? placeAll(context, job, size, now)
    : [];
  if (allocated.length === 0) {
    context.reservations.resume(job);
    return 'no_room';
  }
  clearBlocked(context, job);
  context.onTasksPlaced(job, tasks);
  types.lists.append(placements, allocated);
  return undefined;
}

/** Allocates resources for all waiting tasks of one job, or for none. */
function placeAll(
  context: CycleContext,
  job: jobQueue.WaitingJob,
  size: types.resources.Resources,
  now: number,
): placer.Placement[] {
  const tasks = job.waiting.size;
  const allocated: placer.Placement[] = [];
  while (allocated.length < tasks) {
    const placement = placeNextTask(context, job, size, now);
    if (placement === undefined) break;
    allocated.push(placement);
    indexRanges.remove(job.waiting, taskIndexOf(placement));
  }
  if (allocated.length === tasks) return allocated;
  context.rollBack(allocated);
  for (const each of allocated) indexRanges.add(job.waiting, taskIndexOf(each));
  return [];
}

/** Finds a worker for the job's next task and allocates the resources. */
function placeNextTask(
  context: CycleContext,
  job: jobQueue.WaitingJob,
  size: types.resources.Resources,
  now: number,
): placer.Placement | undefined {
  const index = indexRanges.lowest(job.waiting);
  if (index === undefined) return undefined;
  const {spec, jobId} = job;
  const taskId = types.ids.makeTaskId(jobId, index);
  if (context.allocations.taskAllocations.has(taskId)) {
    // The task is listed as waiting although it is running. A second attempt
    // must not start.
    context.removeWaitingTask(jobId, index);
    return undefined;
  }
  const estimate = context.sizes.estimate(spec);
  const isService = spec.shape.kind === 'service';
  const worker = context.pickWorker({
    need: size,
    packing: job.team.packing,
    avoid: workersToAvoid(context, jobId),
    racks: isService
      ? (context.rackReplicas.replicasByRack(jobId) ?? NO_RACKS)
      : undefined,
    reservedFallback: () =>
      context.reservations.usableBy(job, now + estimate.pessimisticMs),
  });
  if (worker === undefined) return undefined;
  const placement = {taskId, workerId: worker.id, size};
  context.allocate({...placement, spec}, now + estimate.typicalMs);
  return placement;
}

/**
 * Returns the workers that the job must not use. A job that has failed on every
 * schedulable worker may use all of them again.
 */
function workersToAvoid(
  context: CycleContext,
  jobId: types.ids.JobId,
): ReadonlySet<types.ids.WorkerId> | undefined {
  const avoid = context.failures.workersToAvoid(jobId);
  if (avoid === undefined) return undefined;
  const {workerList} = context.allocations;
  const hasOtherWorker = workerList.some(
    (each) => each.isSchedulable && !avoid.has(each.id),
  );
  return hasOtherWorker ? avoid : undefined;
}

const NO_RACKS: ReadonlyMap<types.ids.RackId, number> = new Map();

function fitsQuota(
  job: jobQueue.WaitingJob,
  size: types.resources.Resources,
): boolean {
  const wanted = types.resources.add(job.team.allocated, size);
  return types.resources.fits(wanted, job.team.quota);
}

function clearBlocked(context: CycleContext, job: jobQueue.WaitingJob): void {
  job.blockedSince = undefined;
  job.retryAt = 0;
  context.reservations.end(job);
}

function recordPlacementFailure(
  context: CycleContext,
  job: jobQueue.WaitingJob,
  now: number,
  failure: PlacementFailure,
): void {
  if (failure === 'no_room') {
    job.blockedSince ??= now;
    if (!job.hasReservation && job.spec.shape.kind === 'gang')
      job.retryAt = nextGangRetryAt(job, now);
  }
  const size = context.sizes.sizeOf(job.spec);
  const inOwnGroup = context.failures.workersToAvoid(job.jobId) !== undefined;
  context.queue.block(job, size, inOwnGroup, failure);
}

/** The retry delay grows with the time that the gang has been blocked. */
function nextGangRetryAt(job: jobQueue.WaitingJob, now: number): number {
  const blockedMs = now - (job.blockedSince ?? now);
  const bounded = Math.min(MAX_GANG_RETRY_MS, blockedMs);
  return now + Math.max(MIN_GANG_RETRY_MS, bounded);
}

function taskIndexOf(placement: placer.Placement): number {
  return types.ids.splitTaskId(placement.taskId).index;
}
