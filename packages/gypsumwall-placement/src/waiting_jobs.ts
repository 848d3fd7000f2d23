/**
 * Every job with waiting tasks: its place in the queue, when it must start at
 * the latest, and the sums that admission looks at. A waiting task costs next
 * to nothing, a waiting job one record.
 */
import * as types from '@gypsumwall/types';
import * as binaryHeap from './binary_heap.js';
import type * as books from './books.js';
import * as deadlineDemand from './deadline_demand.js';
import * as indexRanges from './index_ranges.js';
import * as jobQueue from './job_queue.js';
import type * as placer from './placer.js';
import type * as taskSize from './task_size.js';

/**
 * Work without a deadline is ordered as if it had to start this long after
 * it was accepted, so that it isn't passed by deadline work for good.
 */
const START_WITHIN_MS: Readonly<Record<types.job.Urgency, number>> = {
  urgent: 1600,
  normal: 600_000,
  overnight: 28_800_000,
};
/** Urgencies that count against a team's share, by tier. */
const URGENCIES_UP_TO: ReadonlyArray<readonly types.job.Urgency[]> = [
  ['urgent'],
  ['urgent', 'normal'],
  ['urgent', 'normal', 'overnight'],
];
/** Work with a deadline becomes due this long before its latest start. */
const DUE_AHEAD_MS = 2000;
/** A job of many tasks may count on this share of the processors. */
const USABLE_SHARE = 0.5;
/** Entries of jobs that left are swept out beyond this many. */
const HEAP_SLACK = 64;

/** The waiting jobs and their sums. */
export interface WaitingJobs {
  readonly queue: jobQueue.JobQueue;
  readonly demand: deadlineDemand.DeadlineDemand;
  jobs(): number;
  tasks(): number;
  /** In core milliseconds. */
  work(): number;
  get(jobId: types.ids.JobId): jobQueue.JobRecord | undefined;
  enqueue(job: placer.QueuedJob, now: number): void;
  /** Puts a waiting job into the group that its size belongs to now. */
  requeue(job: jobQueue.JobRecord, alone: boolean): void;
  /** Tasks of the job were placed; it leaves with its last one. */
  noteTaken(job: jobQueue.JobRecord, count: number): void;
  /** A task turned out to be running; it doesn't wait. */
  takeOut(jobId: types.ids.JobId, index: number): void;
  drop(job: jobQueue.JobRecord): void;
  /** Moves jobs whose latest start has come near to the first tier. */
  promoteDue(now: number): void;
}

/** Creates an empty set. */
export function createWaitingJobs(
  domainBooks: books.Books,
  sizes: taskSize.TaskSizes,
): WaitingJobs {
  const queue = jobQueue.createJobQueue((team, tier) =>
    domainBooks.teams.dominantShare(team, URGENCIES_UP_TO[tier] ?? []),
  );
  const demand = deadlineDemand.createDeadlineDemand();
  const jobs = new Map<types.ids.JobId, jobQueue.JobRecord>();
  const notYetDue = binaryHeap.createBinaryHeap(jobQueue.startsBefore);
  let tasks = 0;
  let work = 0;

  function count(job: jobQueue.JobRecord, change: number): void {
    tasks += change;
    work += change * job.workPerTask;
    const {deadline} = job.spec;
    if (deadline !== undefined) {
      demand.add(deadline, change * job.workPerTask);
    }
  }

  function makeRecord(
    queued: placer.QueuedJob,
    now: number,
  ): jobQueue.JobRecord {
    const {spec} = queued;
    const estimate = sizes.estimate(spec);
    const workPerTask = (estimate.typicalMs * estimate.size.cpuMillis) / 1000;
    const cores = Math.max(1, domainBooks.total.cpuMillis / 1000);
    const shareMs =
      (queued.waiting.length * workPerTask) / (cores * USABLE_SHARE);
    const longestMs = estimate.pessimisticMs + shareMs;
    const startBy =
      spec.deadline === undefined
        ? queued.acceptedAt + START_WITHIN_MS[spec.urgency]
        : spec.deadline - longestMs;
    return {
      jobId: queued.jobId,
      spec,
      team: domainBooks.teams.team(spec.team),
      waiting: indexRanges.createIndexRanges(),
      startBy,
      workPerTask,
      tier: tierOf(spec, startBy, now),
      group: undefined,
      blockedSince: undefined,
      retryAt: 0,
      reserveAfter: 0,
      reliefUntil: 0,
      reserved: false,
    };
  }

  function add(job: jobQueue.JobRecord): void {
    jobs.set(job.jobId, job);
    job.team.waitingJobs += 1;
    queue.add(job, sizes.sizeOf(job.spec), false);
    const becomesDue =
      job.tier !== jobQueue.TIER_DUE && job.spec.deadline !== undefined;
    if (becomesDue) notYetDue.push(job);
  }

  function drop(job: jobQueue.JobRecord): void {
    if (!jobs.delete(job.jobId)) return;
    job.team.waitingJobs -= 1;
    queue.remove(job);
    count(job, -job.waiting.size);
    indexRanges.clear(job.waiting);
    if (notYetDue.size() > jobs.size * 2 + HEAP_SLACK) {
      notYetDue.keepOnly((each) => each.group !== undefined);
    }
  }

  function requeue(job: jobQueue.JobRecord, alone: boolean): void {
    queue.remove(job);
    queue.add(job, sizes.sizeOf(job.spec), alone);
  }

  function noteTaken(job: jobQueue.JobRecord, taken: number): void {
    count(job, -taken);
    if (job.waiting.size === 0) drop(job);
  }

  return {
    queue,
    demand,
    drop,
    noteTaken,
    requeue,
    jobs: () => jobs.size,
    tasks: () => tasks,
    work: () => work,
    get: (jobId) => jobs.get(jobId),
    enqueue(queued, now) {
      if (queued.waiting.length === 0) return;
      const known = jobs.get(queued.jobId);
      const job = known ?? makeRecord(queued, now);
      const before = job.waiting.size;
      for (const index of queued.waiting) indexRanges.add(job.waiting, index);
      count(job, job.waiting.size - before);
      if (known === undefined) add(job);
    },
    takeOut(jobId, index) {
      const job = jobs.get(jobId);
      if (job === undefined) return;
      const before = job.waiting.size;
      indexRanges.remove(job.waiting, index);
      noteTaken(job, before - job.waiting.size);
    },
    promoteDue(now) {
      for (;;) {
        const first = notYetDue.peek();
        if (first === undefined) return;
        const gone = first.group === undefined;
        if (!gone && first.startBy - DUE_AHEAD_MS > now) return;
        notYetDue.pop();
        if (gone) continue;
        queue.remove(first);
        first.tier = jobQueue.TIER_DUE;
        queue.add(first, sizes.sizeOf(first.spec), false);
      }
    },
  };
}

function tierOf(spec: types.job.JobSpec, startBy: number, now: number): number {
  const due = spec.deadline !== undefined && startBy - DUE_AHEAD_MS <= now;
  if (due) return jobQueue.TIER_DUE;
  switch (spec.urgency) {
    case 'urgent':
      return jobQueue.TIER_DUE;
    case 'normal':
      return jobQueue.TIER_NORMAL;
    case 'overnight':
      return jobQueue.TIER_OVERNIGHT;
  }
}
