/**
 * The waiting jobs, in the order they should start. Work is split into tiers
 * (urgent or due, normal, overnight), within a tier by team, and within a team
 * into groups of jobs of about the same size. When the first job of a group
 * finds no room, the others of the group needn't be tried until room grows,
 * so that a decision looks at few jobs however many wait.
 */
import * as types from '@gypsumwall/types';
import * as binaryHeap from './binary_heap.js';
import type * as allocationState from './allocation_state.js';
import type * as indexRanges from './index_ranges.js';
import type * as teamAllocations from './team_allocations.js';

/** Earlier tiers go first. */
export const TIER_DUE = 0;
export const TIER_NORMAL = 1;
export const TIER_OVERNIGHT = 2;
const TIER_COUNT = 3;
/** A team of weight 0 still gets what nobody else wants. */
const MIN_WEIGHT = 1e-6;
/** Entries of jobs that left a group are swept out beyond this many. */
const MAX_STALE_HEAP_ENTRIES = 64;

/** A job with waiting tasks. */
export interface WaitingJob {
  readonly jobId: types.ids.JobId;
  readonly spec: types.job.JobSpec;
  readonly team: teamAllocations.TeamState;
  readonly waiting: indexRanges.IndexRanges;
  /** Latest start: deadline less a pessimistic run time. */
  readonly startBy: number;
  /** Expected processor time of one task, in core milliseconds. */
  readonly coreMsPerTask: number;
  tier: number;
  group: JobGroup | undefined;
  /** Since when no room was found for it; undefined while it moves. */
  blockedSince: number | undefined;
  /** A gang isn't tried again before then. */
  retryAt: number;
  /** No room is reserved for it before then. */
  nextReservationAt: number;
  /** Room is being kept for it. */
  hasReservation: boolean;
  /** Until when room made for it by checkpoints is still expected. */
  preemptionPendingUntil: number;
}

/** Why a group isn't tried at present. */
export type GroupState = 'ready' | 'no_room' | 'over_quota';

/** Jobs of one team and tier with about the same size. */
export interface JobGroup {
  readonly key: string;
  readonly team: teamAllocations.TeamState;
  readonly tier: number;
  /** No job in it is smaller than this. */
  readonly minSize: types.resources.Resources;
  readonly heap: binaryHeap.BinaryHeap<WaitingJob>;
  state: GroupState;
  /** Room has grown since it was found blocked. */
  hasFreedCapacity: boolean;
  jobCount: number;
}

/** The waiting jobs. */
export interface JobQueue {
  add(job: WaitingJob, size: types.resources.Resources, alone: boolean): void;
  remove(job: WaitingJob): void;
  /** The first job of the group that should be tried next. */
  next(): WaitingJob | undefined;
  /**
   * Marks the job's group as not to be tried. Where the job's size has left
   * its group, since sizes are learned, it only moves to the right group.
   */
  block(
    job: WaitingJob,
    size: types.resources.Resources,
    alone: boolean,
    state: GroupState,
  ): void;
  /** Lets groups be tried again that may fit where room grew. */
  unblock(grown: ReadonlySet<allocationState.WorkerState>, now: number): void;
  unblockTeam(team: teamAllocations.TeamState): void;
  /** First jobs of groups that found no room. */
  blockedHeads(): WaitingJob[];
  /** Those of them that are urgent or due. */
  blockedDue(): WaitingJob[];
}

interface TeamQueue {
  readonly team: teamAllocations.TeamState;
  readonly groups: Map<string, JobGroup>;
  readyGroups: number;
}

/**
 * Creates an empty queue; `shareOf` is what a team holds of the domain with
 * work of a tier and of the tiers before it. Later tiers give way to it and
 * so don't count against it.
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
    const known = queue.groups.get(key);
    if (known !== undefined) return known;
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

  /** The first job still in the group; jobs that left are dropped on the way. */
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

  /** Weighted fair share: the team that holds least for its weight. */
  function nextByShare(tier: number): WaitingJob | undefined {
    let best: TeamQueue | undefined;
    let bestShare = Infinity;
    for (const queue of tiers[tier]!.values()) {
      if (queue.readyGroups === 0) continue;
      const weighted =
        shareOf(queue.team, tier) / Math.max(queue.team.weight, MIN_WEIGHT);
      if (weighted >= bestShare) continue;
      best = queue;
      bestShare = weighted;
    }
    return best === undefined ? undefined : firstOf(best);
  }

  /**
   * Latest start first. A team that holds more than its weight entitles it to
   * comes after the others: else its flood of due work delays theirs.
   */
  function nextDue(tier: Map<unknown, TeamQueue>): WaitingJob | undefined {
    let weights = 0;
    for (const queue of tier.values()) weights += queue.team.weight;
    let best: WaitingJob | undefined;
    let isBestOverShare = true;
    for (const queue of tier.values()) {
      const head = firstOf(queue);
      if (head === undefined) continue;
      const entitled = queue.team.weight / weights;
      const over = tier.size > 1 && shareOf(queue.team, TIER_DUE) > entitled;
      const better =
        best === undefined ||
        (over === isBestOverShare ? startsBefore(head, best) : !over);
      if (!better) continue;
      best = head;
      isBestOverShare = over;
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
    // It may be smaller than the job that the group was blocked for.
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
    block(job, size, alone, state) {
      if (job.group === undefined) return;
      if (job.group.key === groupKey(job, size, alone)) {
        setState(job.group, state);
        return;
      }
      remove(job);
      add(job, size, alone);
    },
    unblock(grown, now) {
      for (const group of blocked) {
        const head = headOf(group);
        if (!group.hasFreedCapacity)
          group.hasFreedCapacity = fitsAnyWorker(group.minSize, grown);
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

/** Two steps to each doubling. */
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
  floor: types.resources.Resources,
  grown: ReadonlySet<allocationState.WorkerState>,
): boolean {
  for (const worker of grown) {
    if (types.resources.fits(floor, worker.free)) return true;
  }
  return false;
}
