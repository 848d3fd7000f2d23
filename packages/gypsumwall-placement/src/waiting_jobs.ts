/**
 * All jobs with waiting tasks, their latest starts, and the totals that
 * admission checks. Memory use grows with the number of jobs and hardly with
 * the number of tasks.
 */
import * as types from '@gypsumwall/types';
import * as binaryHeap from './binary_heap.js';
import type * as domainAllocations from './domain_allocations.js';
import * as deadlineDemand from './deadline_demand.js';
import * as indexRanges from './index_ranges.js';
import * as jobQueue from './job_queue.js';
import type * as placer from './placer.js';
import type * as taskSize from './task_size.js';

/**
 * Jobs without a deadline are ordered as if they had to start within this time
 * of acceptance, so that jobs with deadlines don't starve them.
 */
const DEFAULT_START_WITHIN_MS: Readonly<Record<types.job.Urgency, number>> = {
  urgent: 1600,
  normal: 600_000,
  overnight: 28_800_000,
};
/** The urgencies that count towards a team's share, by tier. */
const URGENCIES_BY_TIER: ReadonlyArray<readonly types.job.Urgency[]> = [
  ['urgent'],
  ['urgent', 'normal'],
  ['urgent', 'normal', 'overnight'],
];
/** A job with a deadline becomes due this long before its latest start. */
const DUE_BEFORE_START_MS = 2000;
/** The latest start of a job of many tasks assumes this share of all cores. */
const ASSUMED_CORE_SHARE = 0.5;
/**
 * The heap keeps entries of jobs that left. It is compacted when it has more
 * than twice as many entries as there are jobs, plus this many.
 */
const MAX_STALE_HEAP_ENTRIES = 64;

/** The waiting jobs and their totals. */
export interface WaitingJobs {
  readonly queue: jobQueue.JobQueue;
  readonly demand: deadlineDemand.DeadlineDemand;
  jobCount(): number;
  taskCount(): number;
  /** The expected CPU time of all waiting tasks, in core milliseconds. */
  coreMs(): number;
  get(jobId: types.ids.JobId): jobQueue.WaitingJob | undefined;
  enqueue(job: placer.QueuedJob, now: number): void;
  /** Moves a waiting job to the group of its present size estimate. */
  requeue(job: jobQueue.WaitingJob, inOwnGroup: boolean): void;
  /**
   * Called when tasks of the job were placed; removes the job with its last.
   */
  onTasksPlaced(job: jobQueue.WaitingJob, placedCount: number): void;
  /** Removes a task that was found to be running. */
  removeTask(jobId: types.ids.JobId, index: number): void;
  removeJob(job: jobQueue.WaitingJob): void;
  /** Moves jobs whose latest start is near to the first tier. */
  promoteDue(now: number): void;
}

export function createWaitingJobs(
  allocations: domainAllocations.DomainAllocations,
  sizes: taskSize.TaskSizes,
): WaitingJobs {
  const queue = jobQueue.createJobQueue((team, tier) =>
    allocations.teams.dominantShare(team, URGENCIES_BY_TIER[tier] ?? []),
  );
  const demand = deadlineDemand.createDeadlineDemand();
  const jobsById = new Map<types.ids.JobId, jobQueue.WaitingJob>();
  const notYetDue = binaryHeap.createBinaryHeap(jobQueue.startsBefore);
  let taskCount = 0;
  let coreMs = 0;

  function adjustTotals(job: jobQueue.WaitingJob, change: number): void {
    taskCount += change;
    coreMs += change * job.coreMsPerTask;
    const {deadline} = job.spec;
    if (deadline !== undefined) {
      demand.add(deadline, change * job.coreMsPerTask);
    }
  }

  function createWaitingJob(
    queued: placer.QueuedJob,
    now: number,
  ): jobQueue.WaitingJob {
    const {spec} = queued;
    const estimate = sizes.estimate(spec);
    const coreMsPerTask = (estimate.typicalMs * estimate.size.cpuMillis) / 1000;
    const cores = Math.max(1, allocations.totalCapacity.cpuMillis / 1000);
    const queueMs =
      (queued.waiting.length * coreMsPerTask) / (cores * ASSUMED_CORE_SHARE);
    const longestMs = estimate.pessimisticMs + queueMs;
    const startBy =
      spec.deadline === undefined
        ? queued.acceptedAt + DEFAULT_START_WITHIN_MS[spec.urgency]
        : spec.deadline - longestMs;
    return {
      jobId: queued.jobId,
      spec,
      team: allocations.teams.team(spec.team),
      waiting: indexRanges.createIndexRanges(),
      startBy,
      coreMsPerTask,
      tier: tierOf(spec, startBy, now),
      group: undefined,
      blockedSince: undefined,
      retryAt: 0,
      nextReservationAt: 0,
      preemptionPendingUntil: 0,
      hasReservation: false,
    };
  }

  function add(job: jobQueue.WaitingJob): void {
    jobsById.set(job.jobId, job);
    job.team.waitingJobs += 1;
    queue.add(job, sizes.sizeOf(job.spec), false);
    const becomesDue =
      job.tier !== jobQueue.TIER_DUE && job.spec.deadline !== undefined;
    if (becomesDue) notYetDue.push(job);
  }

  function removeJob(job: jobQueue.WaitingJob): void {
    if (!jobsById.delete(job.jobId)) return;
    job.team.waitingJobs -= 1;
    queue.remove(job);
    adjustTotals(job, -job.waiting.size);
    indexRanges.clear(job.waiting);
    if (notYetDue.size() > jobsById.size * 2 + MAX_STALE_HEAP_ENTRIES) {
      notYetDue.retain((each) => each.group !== undefined);
    }
  }

  function requeue(job: jobQueue.WaitingJob, inOwnGroup: boolean): void {
    queue.remove(job);
    queue.add(job, sizes.sizeOf(job.spec), inOwnGroup);
  }

  function onTasksPlaced(job: jobQueue.WaitingJob, placedCount: number): void {
    adjustTotals(job, -placedCount);
    if (job.waiting.size === 0) removeJob(job);
  }

  return {
    queue,
    demand,
    removeJob,
    onTasksPlaced,
    requeue,
    jobCount: () => jobsById.size,
    taskCount: () => taskCount,
    coreMs: () => coreMs,
    get: (jobId) => jobsById.get(jobId),
    enqueue(queued, now) {
      if (queued.waiting.length === 0) return;
      const existing = jobsById.get(queued.jobId);
      const job = existing ?? createWaitingJob(queued, now);
      const sizeBefore = job.waiting.size;
      for (const index of queued.waiting) indexRanges.add(job.waiting, index);
      adjustTotals(job, job.waiting.size - sizeBefore);
      if (existing === undefined) add(job);
    },
    removeTask(jobId, index) {
      const job = jobsById.get(jobId);
      if (job === undefined) return;
      const before = job.waiting.size;
      indexRanges.remove(job.waiting, index);
      onTasksPlaced(job, before - job.waiting.size);
    },
    promoteDue(now) {
      for (;;) {
        const first = notYetDue.peek();
        if (first === undefined) return;
        const isRemoved = first.group === undefined;
        if (!isRemoved && first.startBy - DUE_BEFORE_START_MS > now) return;
        notYetDue.pop();
        if (isRemoved) continue;
        queue.remove(first);
        first.tier = jobQueue.TIER_DUE;
        queue.add(first, sizes.sizeOf(first.spec), false);
      }
    },
  };
}

function tierOf(spec: types.job.JobSpec, startBy: number, now: number): number {
  const isDue =
    spec.deadline !== undefined && startBy - DUE_BEFORE_START_MS <= now;
  if (isDue) return jobQueue.TIER_DUE;
  switch (spec.urgency) {
    case 'urgent':
      return jobQueue.TIER_DUE;
    case 'normal':
      return jobQueue.TIER_NORMAL;
    case 'overnight':
      return jobQueue.TIER_OVERNIGHT;
  }
}
