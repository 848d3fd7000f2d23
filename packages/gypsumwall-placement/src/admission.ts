/**
 * Whether a new job may be taken. Refusing at once is kinder than keeping a
 * job that can't be run: the caller still has time to do something else.
 */
import * as types from '@gypsumwall/types';
import type * as books from './books.js';
import type * as deadlineDemand from './deadline_demand.js';
import type * as placer from './placer.js';
import type * as sizeLearner from './size_learner.js';

/**
 * Share of the waiting jobs' limit up to which each urgency is still taken:
 * the least urgent are refused first.
 */
const LIMIT_SHARE: Readonly<Record<types.job.Urgency, number>> = {
  urgent: 1,
  normal: 0.8,
  overnight: 0.6,
};
/** One team may fill at most this share of what waits. */
const TEAM_SHARE = 0.5;
const SOONEST_RETRY_MS = 1000;
const LATEST_RETRY_MS = 60_000;

/** What admission looks at. */
export interface AdmissionView {
  readonly books: books.Books;
  readonly demand: deadlineDemand.DeadlineDemand;
  readonly maxWaitingJobs: number;
  readonly waitingJobs: number;
  readonly teamWaitingJobs: number;
  /** Work of all that waits, in core milliseconds. */
  readonly waitingWork: number;
  readonly estimate: sizeLearner.Estimate;
}

/** Decides on a new job; undefined lets it in. */
export function admit(
  view: AdmissionView,
  spec: types.job.JobSpec,
  now: types.clock.WallMs,
): placer.PlacementRefusal | undefined {
  return (
    refusePassedDeadline(spec, now) ??
    refuseByQuota(view, spec) ??
    refuseByShape(view, spec) ??
    refuseByLoad(view, spec) ??
    refuseByDeadline(view, spec, now)
  );
}

function refusePassedDeadline(
  spec: types.job.JobSpec,
  now: number,
): placer.PlacementRefusal | undefined {
  if (spec.deadline === undefined || spec.deadline > now) return undefined;
  return {
    reason: 'deadline_passed',
    message: `deadline ${spec.deadline} is not after ${now}; send a later one`,
  };
}

/** Tasks that must run at the same time. */
function tasksAtOnce(shape: types.job.JobShape): number {
  return shape.kind === 'batch' ? 1 : types.job.maxTaskCount(shape);
}

function refuseByQuota(
  view: AdmissionView,
  spec: types.job.JobSpec,
): placer.PlacementRefusal | undefined {
  const {quota} = view.books.teams.team(spec.team);
  const tasks = tasksAtOnce(spec.shape);
  const need = types.resources.multiply(spec.size, tasks);
  if (types.resources.fits(need, quota)) return undefined;
  return {
    reason: 'over_quota',
    message: `${tasks} tasks at once need ${describe(need)}, above the quota ${describe(quota)} of team ${spec.team}; ask for less or have the quota raised`,
  };
}

/**
 * Closed workers count as well: they may be back, and a refusal here is
 * final for the caller. With no worker known yet nothing can be said.
 */
function refuseByShape(
  view: AdmissionView,
  spec: types.job.JobSpec,
): placer.PlacementRefusal | undefined {
  const {workers} = view.books;
  if (workers.size === 0) return undefined;
  const wanted = tasksAtOnce(spec.shape);
  let room = 0;
  for (const worker of workers.values()) {
    room += tasksThatFit(spec.size, worker.capacity);
    if (room >= wanted) return undefined;
  }
  const what =
    room === 0
      ? `no worker is large enough for a task of ${describe(spec.size)}`
      : `all workers together hold ${room} of ${wanted} tasks of ${describe(spec.size)} at once`;
  return {reason: 'can_never_run', message: `${what}; ask for less`};
}

function tasksThatFit(
  size: types.resources.Resources,
  capacity: types.resources.Resources,
): number {
  if (!types.resources.fits(size, capacity)) return 0;
  return Math.min(
    times(size.cpuMillis, capacity.cpuMillis),
    times(size.memoryMb, capacity.memoryMb),
    times(size.accelerators, capacity.accelerators),
  );
}

function times(part: number, whole: number): number {
  return part > 0 ? Math.floor(whole / part) : Infinity;
}

function refuseByLoad(
  view: AdmissionView,
  spec: types.job.JobSpec,
): placer.PlacementRefusal | undefined {
  const limit = view.maxWaitingJobs * LIMIT_SHARE[spec.urgency];
  const overall = view.waitingJobs >= limit;
  const byTeam = view.teamWaitingJobs >= view.maxWaitingJobs * TEAM_SHARE;
  if (!overall && !byTeam) return undefined;
  return {
    reason: overall ? 'overloaded' : 'over_quota',
    message: overall
      ? `${view.waitingJobs} jobs wait, the limit for ${spec.urgency} work is ${limit}; come back later`
      : `${view.teamWaitingJobs} jobs of team ${spec.team} wait, half of the limit; come back later`,
    retryAfterMs: retryAfter(view),
  };
}

/** A tenth of the time that the waiting work takes on all processors. */
function retryAfter(view: AdmissionView): number {
  const cores = Math.max(1, view.books.total.cpuMillis / 1000);
  const drainMs = view.waitingWork / cores / 10;
  const bounded = Math.max(SOONEST_RETRY_MS, drainMs);
  return Math.round(Math.min(LATEST_RETRY_MS, bounded));
}

function refuseByDeadline(
  view: AdmissionView,
  spec: types.job.JobSpec,
  now: number,
): placer.PlacementRefusal | undefined {
  const {deadline} = spec;
  if (deadline === undefined || view.books.total.cpuMillis === 0) {
    return undefined;
  }
  const {size, typicalMs} = view.estimate;
  if (now + typicalMs > deadline) {
    return {
      reason: 'deadline_unreachable',
      message: `a run takes about ${Math.round(typicalMs)} ms, the deadline is ${deadline - now} ms away; send a later one`,
    };
  }
  const tasks = types.job.maxTaskCount(spec.shape);
  const work = (tasks * typicalMs * size.cpuMillis) / 1000;
  const {cpuMillis} = view.books.total;
  if (view.demand.accepts(deadline, work, now, cpuMillis)) return undefined;
  return {
    reason: 'deadline_unreachable',
    message: `work taken before leaves too little time until the deadline, ${deadline - now} ms away; send a later one or less work`,
  };
}

function describe(amount: types.resources.Resources): string {
  return `${amount.cpuMillis} cpuMillis, ${amount.memoryMb} memoryMb, ${amount.accelerators} accelerators`;
}
