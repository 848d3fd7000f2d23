/**
 * The waiting jobs, in the order they should start. Work is split into tiers
 * (urgent or due, normal, overnight), within a tier by team, and within a team
 * into groups of jobs of about the same size. When the first job of a group
 * finds no room, the others of the group needn't be tried until room grows,
 * so that a decision looks at few jobs however many wait.
 */
import * as types from '@gypsumwall/types';
import * as binaryHeap from './binary_heap.js';
import type * as bookRecords from './book_records.js';
import type * as indexRanges from './index_ranges.js';
import type * as teamBooks from './team_books.js';

/** Earlier tiers go first. */
export const TIER_DUE = 0;
export const TIER_NORMAL = 1;
export const TIER_OVERNIGHT = 2;
const TIERS = 3;
/** A team of weight 0 still gets what nobody else wants. */
const LEAST_WEIGHT = 1e-6;
/** Entries of jobs that left a group are swept out beyond this many. */
const HEAP_SLACK = 64;

/** A job with waiting tasks. */
export interface JobRecord {
  readonly jobId: types.ids.JobId;
  readonly spec: types.job.JobSpec;
  readonly team: teamBooks.TeamRecord;
  readonly waiting: indexRanges.IndexRanges;
  /** Latest start: deadline less a pessimistic run time. */
  readonly startBy: number;
  /** Expected processor time of one task, in core milliseconds. */
  readonly workPerTask: number;
  tier: number;
  group: JobGroup | undefined;
  /** Since when no room was found for it; undefined while it moves. */
  blockedSince: number | undefined;
  /** A gang isn't tried again before then. */
  retryAt: number;
  /** No room is reserved for it before then. */
  reserveAfter: number;
  /** Room is being kept for it. */
  reserved: boolean;
  /** Until when room made for it by checkpoints is still expected. */
  reliefUntil: number;
}

/** Why a group isn't tried at present. */
export type GroupState = 'ready' | 'no_room' | 'over_quota';

/** Jobs of one team and tier with about the same size. */
export interface JobGroup {
  readonly key: string;
  readonly team: teamBooks.TeamRecord;
  readonly tier: number;
  /** No job in it is smaller than this. */
  readonly floor: types.resources.Resources;
  readonly heap: binaryHeap.BinaryHeap<JobRecord>;
  state: GroupState;
  /** Room has grown since it was found blocked. */
  grew: boolean;
  live: number;
}

/** The waiting jobs. */
export interface JobQueue {
  add(job: JobRecord, size: types.resources.Resources, alone: boolean): void;
  remove(job: JobRecord): void;
  /** The first job of the group that should be tried next. */
  next(): JobRecord | undefined;
  /**
   * Marks the job's group as not to be tried. Where the job's size has left
   * its group, since sizes are learned, it only moves to the right group.
   */
  block(
    job: JobRecord,
    size: types.resources.Resources,
    alone: boolean,
    state: GroupState,
  ): void;
  /** Lets groups be tried again that may fit where room grew. */
  unblock(grown: ReadonlySet<bookRecords.WorkerRecord>, now: number): void;
  unblockTeam(team: teamBooks.TeamRecord): void;
  /** First jobs of groups that found no room. */
  blockedHeads(): JobRecord[];
  /** Those of them that are urgent or due. */
  blockedDue(): JobRecord[];
}

interface TeamQueue {
  readonly team: teamBooks.TeamRecord;
  readonly groups: Map<string, JobGroup>;
  ready: number;
}

/**
 * Creates an empty queue; `shareOf` is what a team holds of the domain with
 * work of a tier and of the tiers before it. Later tiers give way to it and
 * so don't count against it.
 */
export function createJobQueue(
  shareOf: (team: teamBooks.TeamRecord, tier: number) => number,
): JobQueue {
  const tiers = Array.from(
    {length: TIERS},
    () => new Map<types.ids.TeamId, TeamQueue>(),
  );
  const blocked = new Set<JobGroup>();
  const blockedDue = new Set<JobGroup>();

  function setState(group: JobGroup, state: GroupState): void {
    if (group.state === state) return;
    const queue = tiers[group.tier]!.get(group.team.id)!;
    if (group.state === 'ready') queue.ready -= 1;
    if (state === 'ready') queue.ready += 1;
    group.state = state;
    group.grew = false;
    if (state === 'no_room') {
      blocked.add(group);
      if (group.tier === TIER_DUE) blockedDue.add(group);
    } else {
      blocked.delete(group);
      blockedDue.delete(group);
    }
  }

  function groupFor(
    job: JobRecord,
    size: types.resources.Resources,
    alone: boolean,
  ): JobGroup {
    const tier = tiers[job.tier]!;
    let queue = tier.get(job.team.id);
    if (queue === undefined) {
      queue = {team: job.team, groups: new Map(), ready: 0};
      tier.set(job.team.id, queue);
    }
    const key = groupKey(job, size, alone);
    const known = queue.groups.get(key);
    if (known !== undefined) return known;
    const made: JobGroup = {
      key,
      team: job.team,
      tier: job.tier,
      floor: floorOf(size),
      heap: binaryHeap.createBinaryHeap(startsBefore),
      state: 'ready',
      grew: false,
      live: 0,
    };
    queue.groups.set(key, made);
    queue.ready += 1;
    return made;
  }

  function dropGroup(group: JobGroup): void {
    setState(group, 'ready');
    const tier = tiers[group.tier]!;
    const queue = tier.get(group.team.id)!;
    queue.groups.delete(group.key);
    queue.ready -= 1;
    if (queue.groups.size === 0) tier.delete(group.team.id);
  }

  /** The first job still in the group; jobs that left are dropped on the way. */
  function headOf(group: JobGroup): JobRecord | undefined {
    for (;;) {
      const head = group.heap.peek();
      if (head === undefined || head.group === group) return head;
      group.heap.pop();
    }
  }

  function headsOf(groups: Iterable<JobGroup>): JobRecord[] {
    const heads: JobRecord[] = [];
    for (const group of groups) {
      const head = headOf(group);
      if (head !== undefined) heads.push(head);
    }
    return heads;
  }

  function firstOf(queue: TeamQueue): JobRecord | undefined {
    let first: JobRecord | undefined;
    if (queue.ready === 0) return undefined;
    for (const group of queue.groups.values()) {
      if (group.state !== 'ready') continue;
      const head = headOf(group);
      if (head === undefined) continue;
      if (first === undefined || startsBefore(head, first)) first = head;
    }
    return first;
  }

  /** Weighted fair share: the team that holds least for its weight. */
  function nextByShare(tier: number): JobRecord | undefined {
    let best: TeamQueue | undefined;
    let bestShare = Infinity;
    for (const queue of tiers[tier]!.values()) {
      if (queue.ready === 0) continue;
      const weighted =
        shareOf(queue.team, tier) / Math.max(queue.team.weight, LEAST_WEIGHT);
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
  function nextDue(tier: Map<unknown, TeamQueue>): JobRecord | undefined {
    let weights = 0;
    for (const queue of tier.values()) weights += queue.team.weight;
    let best: JobRecord | undefined;
    let bestOver = true;
    for (const queue of tier.values()) {
      const head = firstOf(queue);
      if (head === undefined) continue;
      const entitled = queue.team.weight / weights;
      const over = tier.size > 1 && shareOf(queue.team, TIER_DUE) > entitled;
      const better =
        best === undefined ||
        (over === bestOver ? startsBefore(head, best) : !over);
      if (!better) continue;
      best = head;
      bestOver = over;
    }
    return best;
  }

  function add(
    job: JobRecord,
    size: types.resources.Resources,
    alone: boolean,
  ): void {
    const group = groupFor(job, size, alone);
    job.group = group;
    group.live += 1;
    group.heap.push(job);
    // It may be smaller than the job that the group was blocked for.
    setState(group, 'ready');
  }

  function remove(job: JobRecord): void {
    const group = job.group;
    if (group === undefined) return;
    job.group = undefined;
    group.live -= 1;
    if (group.live === 0) dropGroup(group);
    else if (group.heap.size() > group.live * 2 + HEAP_SLACK) {
      group.heap.keepOnly((each) => each.group === group);
    }
  }

  return {
    add,
    remove,
    next() {
      for (let tier = 0; tier < TIERS; tier += 1) {
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
        if (!group.grew) group.grew = fitsAny(group.floor, grown);
        if (!group.grew) continue;
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
export function startsBefore(left: JobRecord, right: JobRecord): boolean {
  return left.startBy < right.startBy;
}

function groupKey(
  job: JobRecord,
  size: types.resources.Resources,
  alone: boolean,
): string {
  if (alone) return job.jobId;
  const {shape} = job.spec;
  const tasks = shape.kind === 'gang' ? step(shape.tasks) : 0;
  const cell = `${step(size.cpuMillis)}:${step(size.memoryMb)}`;
  return `${shape.kind}:${tasks}:${cell}:${size.accelerators}`;
}

/** Two steps to each doubling. */
function step(amount: number): number {
  return amount < 1 ? -1 : Math.floor(Math.log2(amount) * 2);
}

function floorOf(size: types.resources.Resources): types.resources.Resources {
  return {
    cpuMillis: stepFloor(size.cpuMillis),
    memoryMb: stepFloor(size.memoryMb),
    accelerators: size.accelerators,
  };
}

function stepFloor(amount: number): number {
  return amount < 1 ? 0 : Math.floor(2 ** (step(amount) / 2));
}

function fitsAny(
  floor: types.resources.Resources,
  grown: ReadonlySet<bookRecords.WorkerRecord>,
): boolean {
  for (const worker of grown) {
    if (types.resources.fits(floor, worker.room)) return true;
  }
  return false;
}
