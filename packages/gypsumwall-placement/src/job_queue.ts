/**
 * The waiting jobs, in the order in which they should start. Jobs are split
 * into tiers (urgent or due, normal, overnight), a tier into teams, and a team
 * into groups of jobs of about the same size. If the first job of a group
 * doesn't fit on any worker, the group isn't tried again until a worker has
 * more free resources. So the number of jobs that a decision examines doesn't
 * grow with the queue.
 */
import * as types from '@gypsumwall/types';
import * as binaryHeap from './binary_heap.js';
import type * as allocationState from './allocation_state.js';
import type * as indexRanges from './index_ranges.js';
import type * as teamAllocations from './team_allocations.js';

/** Tiers are served in ascending order. */
export const TIER_DUE = 0;
export const TIER_NORMAL = 1;
export const TIER_OVERNIGHT = 2;
const TIER_COUNT = 3;
/**
 * The lowest weight that is used; a team of weight 0 gets what no other team
 * wants.
 */
const MIN_WEIGHT = 1e-6;
/**
 * A heap keeps entries of jobs that left its group. It is compacted when it has
 * more than twice as many entries as jobs, plus this many.
 */
const MAX_STALE_HEAP_ENTRIES = 64;

/** A job with waiting tasks. */
export interface WaitingJob {
  readonly jobId: types.ids.JobId;
  readonly spec: types.job.JobSpec;
  readonly team: teamAllocations.TeamState;
  readonly waiting: indexRanges.IndexRanges;
  /**
   * The latest start: the deadline less a pessimistic run time. For jobs
   * without a deadline it depends on their urgency.
   */
  readonly startBy: number;
  /** The expected CPU time of one task, in core milliseconds. */
  readonly coreMsPerTask: number;
  tier: number;
  group: JobGroup | undefined;
  /** Since when it hasn't fitted anywhere; undefined while it isn't blocked. */
  blockedSince: number | undefined;
  /**
   * A blocked gang, or a job with a reservation, isn't tried before this time.
   */
  retryAt: number;
  /** No reservation is made for it before this time. */
  nextReservationAt: number;
  /** Whether resources are reserved for it. */
  hasReservation: boolean;
  /** Until when checkpoints requested for it are expected to free resources. */
  preemptionPendingUntil: number;
}

/** Whether a group may be tried, or else why not. */
export type GroupState = 'ready' | 'no_room' | 'over_quota';

/** Jobs of one team and tier with about the same size. */
export interface JobGroup {
  readonly key: string;
  readonly team: teamAllocations.TeamState;
  readonly tier: number;
  /** A lower bound of the task sizes in the group. */
  readonly minSize: types.resources.Resources;
  readonly heap: binaryHeap.BinaryHeap<WaitingJob>;
  state: GroupState;
  /**
   * Whether resources that may be enough for a job of the group were freed on a
   * worker after the group was blocked.
   */
  hasFreedCapacity: boolean;
  jobCount: number;
}

/** The waiting jobs. */
export interface JobQueue {
  add(
    job: WaitingJob,
    size: types.resources.Resources,
    inOwnGroup: boolean,
  ): void;
  remove(job: WaitingJob): void;
  /** Returns the job to try next, without removing it. */
  next(): WaitingJob | undefined;
  /**
   * Marks the job's group as blocked. If the job's size no longer belongs to
   * its group, because the estimate changed, the job moves to another group and
   * nothing is blocked.
   */
  block(
    job: WaitingJob,
    size: types.resources.Resources,
    inOwnGroup: boolean,
    state: GroupState,
  ): void;
  /** Unblocks the groups that may fit on one of the given workers. */
  unblock(
    freedWorkers: ReadonlySet<allocationState.WorkerState>,
    now: number,
  ): void;
  unblockTeam(team: teamAllocations.TeamState): void;
  /** The first jobs of the groups that are blocked for lack of resources. */
  blockedHeads(): WaitingJob[];
  /** The first jobs of those blocked groups that are urgent or due. */
  blockedDue(): WaitingJob[];
}

interface TeamQueue {
  readonly team: teamAllocations.TeamState;
  readonly groups: Map<string, JobGroup>;
  readyGroups: number;
}

/**
 * Creates an empty queue. `shareOf` returns a team's share of the domain,
 * counting its tasks of the given tier and of the tiers before it. Tasks of
 * later tiers can be preempted by these and therefore don't count.
 */
export function createJobQueue(
  shareOf: (team: teamAllocations.TeamState, tier: number) => number,
): JobQueue {
  const tiers = Array.from(
    {length: TIER_COUNT},
    () => new Map<types.ids.TeamId, TeamQueue>(),
  );
  const blocked = new Set<JobGroup>();
  const blockedDue = new Set<JobGroup>();

  function setState(group: JobGroup, state: GroupState): void {
    if (group.state === state) return;
    const queue = tiers[group.tier]!.get(group.team.id)!;
    if (group.state === 'ready') queue.readyGroups -= 1;
    if (state === 'ready') queue.readyGroups += 1;
    group.state = state;
    group.hasFreedCapacity = false;
    if (state === 'no_room') {
      blocked.add(group);
      if (group.tier === TIER_DUE) blockedDue.add(group);
    } else {
      blocked.delete(group);
      blockedDue.delete(group);
    }
  }

  function groupFor(
    job: WaitingJob,
    size: types.resources.Resources,
    inOwnGroup: boolean,
  ): JobGroup {
    const tier = tiers[job.tier]!;
    let queue = tier.get(job.team.id);
    if (queue === undefined) {
      queue = {team: job.team, groups: new Map(), readyGroups: 0};
      tier.set(job.team.id, queue);
    }
    const key = groupKey(job, size, inOwnGroup);
    const existing = queue.groups.get(key);
    if (existing !== undefined) return existing;
    const created: JobGroup = {
      key,
      team: job.team,
      tier: job.tier,
      minSize: minSizeOf(size),
      heap: binaryHeap.createBinaryHeap(startsBefore),
      state: 'ready',
      hasFreedCapacity: false,
      jobCount: 0,
    };
    queue.groups.set(key, created);
    queue.readyGroups += 1;
    return created;
  }

  function removeGroup(group: JobGroup): void {
    setState(group, 'ready');
    const tier = tiers[group.tier]!;
    const queue = tier.get(group.team.id)!;
    queue.groups.delete(group.key);
    queue.readyGroups -= 1;
    if (queue.groups.size === 0) tier.delete(group.team.id);
  }

  /** The first job of the group; entries of jobs that left are removed. */
  function headOf(group: JobGroup): WaitingJob | undefined {
    for (;;) {
      const head = group.heap.peek();
      if (head === undefined || head.group === group) return head;
      group.heap.pop();
    }
  }

  function headsOf(groups: Iterable<JobGroup>): WaitingJob[] {
    const heads: WaitingJob[] = [];
    for (const group of groups) {
      const head = headOf(group);
      if (head !== undefined) heads.push(head);
    }
    return heads;
  }

  function firstOf(queue: TeamQueue): WaitingJob | undefined {
    let first: WaitingJob | undefined;
    if (queue.readyGroups === 0) return undefined;
    for (const group of queue.groups.values()) {
      if (group.state !== 'ready') continue;
      const head = headOf(group);
      if (head === undefined) continue;
      if (first === undefined || startsBefore(head, first)) first = head;
    }
    return first;
  }

  /** Weighted fair sharing: the team with the smallest share for its weight. */
  function nextByShare(tier: number): WaitingJob | undefined {
    let best: TeamQueue | undefined;
    let bestShare = Infinity;
    for (const queue of tiers[tier]!.values()) {
      if (queue.readyGroups === 0) continue;
      const weightedShare =
        shareOf(queue.team, tier) / Math.max(queue.team.weight, MIN_WEIGHT);
      if (weightedShare >= bestShare) continue;
      best = queue;
      bestShare = weightedShare;
    }
    return best === undefined ? undefined : firstOf(best);
  }

  /**
   * The job with the earliest latest start. Teams above the share that their
   * weight entitles them to come after the others; otherwise a team with many
   * due jobs would delay the due jobs of the others.
   */
  function nextDue(tier: Map<unknown, TeamQueue>): WaitingJob | undefined {
    let totalWeight = 0;
    for (const queue of tier.values()) totalWeight += queue.team.weight;
    let best: WaitingJob | undefined;
    let isBestOverShare = true;
    for (const queue of tier.values()) {
      const head = firstOf(queue);
      if (head === undefined) continue;
      const entitledShare = queue.team.weight / totalWeight;
      const isOverShare =
        tier.size > 1 && shareOf(queue.team, TIER_DUE) > entitledShare;
      const isBetter =
        best === undefined ||
        (isOverShare === isBestOverShare
          ? startsBefore(head, best)
          : !isOverShare);
      if (!isBetter) continue;
      best = head;
      isBestOverShare = isOverShare;
    }
    return best;
  }

  function add(
    job: WaitingJob,
    size: types.resources.Resources,
    inOwnGroup: boolean,
  ): void {
    const group = groupFor(job, size, inOwnGroup);
    job.group = group;
    group.jobCount += 1;
    group.heap.push(job);
    // The job may be smaller than the one that didn't fit.
    setState(group, 'ready');
  }

  function remove(job: WaitingJob): void {
    const group = job.group;
    if (group === undefined) return;
    job.group = undefined;
    group.jobCount -= 1;
    if (group.jobCount === 0) removeGroup(group);
    else if (group.heap.size() > group.jobCount * 2 + MAX_STALE_HEAP_ENTRIES) {
      group.heap.retain((each) => each.group === group);
    }
  }

  return {
    add,
    remove,
    next() {
      for (let tier = 0; tier < TIER_COUNT; tier += 1) {
        const queues = tiers[tier]!;
        if (queues.size === 0) continue;
        const job = tier === TIER_DUE ? nextDue(queues) : nextByShare(tier);
        if (job !== undefined) return job;
      }
      return undefined;
    },
    block(job, size, inOwnGroup, state) {
      if (job.group === undefined) return;
      if (job.group.key === groupKey(job, size, inOwnGroup)) {
        setState(job.group, state);
        return;
      }
      remove(job);
      add(job, size, inOwnGroup);
    },
    unblock(freedWorkers, now) {
      for (const group of blocked) {
        const head = headOf(group);
        if (!group.hasFreedCapacity)
          group.hasFreedCapacity = fitsAnyWorker(group.minSize, freedWorkers);
        if (!group.hasFreedCapacity) continue;
        if (head !== undefined && head.retryAt > now) continue;
        setState(group, 'ready');
      }
    },
    unblockTeam(team) {
      for (const tier of tiers) {
        const queue = tier.get(team.id);
        if (queue === undefined) continue;
        for (const group of queue.groups.values()) {
          if (group.state === 'over_quota') setState(group, 'ready');
        }
      }
    },
    blockedHeads: () => headsOf(blocked),
    blockedDue: () => headsOf(blockedDue),
  };
}

/** The order within a tier and team. */
export function startsBefore(left: WaitingJob, right: WaitingJob): boolean {
  return left.startBy < right.startBy;
}

function groupKey(
  job: WaitingJob,
  size: types.resources.Resources,
  inOwnGroup: boolean,
): string {
  if (inOwnGroup) return job.jobId;
  const {shape} = job.spec;
  const tasks = shape.kind === 'gang' ? sizeBucket(shape.tasks) : 0;
  const sizeKey = `${sizeBucket(size.cpuMillis)}:${sizeBucket(size.memoryMb)}`;
  return `${shape.kind}:${tasks}:${sizeKey}:${size.accelerators}`;
}

/** Logarithmic buckets, two for each doubling. */
function sizeBucket(amount: number): number {
  return amount < 1 ? -1 : Math.floor(Math.log2(amount) * 2);
}

function minSizeOf(size: types.resources.Resources): types.resources.Resources {
  return {
    cpuMillis: bucketMinimum(size.cpuMillis),
    memoryMb: bucketMinimum(size.memoryMb),
    accelerators: size.accelerators,
  };
}

function bucketMinimum(amount: number): number {
  return amount < 1 ? 0 : Math.floor(2 ** (sizeBucket(amount) / 2));
}

function fitsAnyWorker(
  minSize: types.resources.Resources,
  freedWorkers: ReadonlySet<allocationState.WorkerState>,
): boolean {
  for (const worker of freedWorkers) {
    if (types.resources.fits(minSize, worker.free)) return true;
  }
  return false;
}
