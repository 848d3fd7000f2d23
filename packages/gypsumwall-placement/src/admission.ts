/**
 * Decides whether a new job is admitted. A job that can't run in time is
 * refused at once, while its caller still has time for an alternative.
 */
import * as types from '@gypsumwall/types';
import type * as domainAllocations from './domain_allocations.js';
import type * as deadlineDemand from './deadline_demand.js';
import type * as placer from './placer.js';
import type * as sizeLearner from './size_learner.js';

/**
 * The share of the limit on waiting jobs up to which jobs of each urgency are
 * admitted, so that the least urgent jobs are refused first.
 */
const ADMITTED_LIMIT_SHARE: Readonly<Record<types.job.Urgency, number>> = {
  urgent: 1,
  normal: 0.8,
  overnight: 0.6,
};
/** One team may use at most this share of the limit on waiting jobs. */
const MAX_TEAM_SHARE = 0.5;
const MIN_RETRY_AFTER_MS = 1000;
const MAX_RETRY_AFTER_MS = 60_000;

/** The state of the domain that admission is based on. */
export interface AdmissionState {
  readonly allocations: domainAllocations.DomainAllocations;
  readonly demand: deadlineDemand.DeadlineDemand;
  readonly maxWaitingJobs: number;
  readonly waitingJobs: number;
  readonly teamWaitingJobs: number;
  /** The expected CPU time of all waiting tasks, in core milliseconds. */
  readonly waitingCoreMs: number;
  readonly estimate: sizeLearner.Estimate;
}

/** Returns why a new job is refused; undefined if it is admitted. */
export function admit(
  state: AdmissionState,
  spec: types.job.JobSpec,
  now: types.clock.WallMs,
): placer.PlacementRefusal | undefined {
  return (
    refusePassedDeadline(spec, now) ??
    refuseByQuota(state, spec) ??
    refuseByCapacity(state, spec) ??
    refuseByLoad(state, spec) ??
    refuseByDeadline(state, spec, now)
  );
}

function refusePassedDeadline(
  spec: types.job.JobSpec,
  now: number,
): placer.PlacementRefusal | undefined {
  if (spec.deadline === undefined || spec.deadline > now) return undefined;
  return {
    reason: 'deadline_passed',
    message: `deadline ${spec.deadline} is not after the current time ${now}; send a later one`,
  };
}

/** The number of tasks that must run at the same time. */
function concurrentTasks(shape: types.job.JobShape): number {
  return shape.kind === 'batch' ? 1 : types.job.maxTaskCount(shape);
}

function refuseByQuota(
  state: AdmissionState,
  spec: types.job.JobSpec,
): placer.PlacementRefusal | undefined {
  const {quota} = state.allocations.teams.team(spec.team);
  const tasks = concurrentTasks(spec.shape);
  const need = types.resources.multiply(spec.size, tasks);
  if (types.resources.fits(need, quota)) return undefined;
  return {
    reason: 'over_quota',
    message: `${tasks} tasks at once need ${describe(need)}, above the quota ${describe(quota)} of team ${spec.team}; ask for less or have the quota raised`,
  };
}

/**
 * Cordoned workers count as well, since they may become schedulable again and a
 * refusal is final for the caller. Without any worker nothing is refused.
 */
function refuseByCapacity(
  state: AdmissionState,
  spec: types.job.JobSpec,
): placer.PlacementRefusal | undefined {
  const {workers} = state.allocations;
  if (workers.size === 0) return undefined;
  const wanted = concurrentTasks(spec.shape);
  let slots = 0;
  for (const worker of workers.values()) {
    slots += tasksThatFit(spec.size, worker.capacity);
    if (slots >= wanted) return undefined;
  }
  const shortage =
    slots === 0
      ? `no worker is large enough for a task of ${describe(spec.size)}`
      : `all workers together hold ${slots} of ${wanted} tasks of ${describe(spec.size)} at once`;
  return {reason: 'can_never_run', message: `${shortage}; ask for less`};
}

function tasksThatFit(
  size: types.resources.Resources,
  capacity: types.resources.Resources,
): number {
  if (!types.resources.fits(size, capacity)) return 0;
  return Math.min(
    timesContained(size.cpuMillis, capacity.cpuMillis),
    timesContained(size.memoryMb, capacity.memoryMb),
    timesContained(size.accelerators, capacity.accelerators),
  );
}

function timesContained(part: number, whole: number): number {
  return part > 0 ? Math.floor(whole / part) : Infinity;
}

function refuseByLoad(
  state: AdmissionState,
  spec: types.job.JobSpec,
): placer.PlacementRefusal | undefined {
  const limit = state.maxWaitingJobs * ADMITTED_LIMIT_SHARE[spec.urgency];
  const isOverLimit = state.waitingJobs >= limit;
  const isTeamOverLimit =
    state.teamWaitingJobs >= state.maxWaitingJobs * MAX_TEAM_SHARE;
  if (!isOverLimit && !isTeamOverLimit) return undefined;
  return {
    reason: isOverLimit ? 'overloaded' : 'over_quota',
    message: isOverLimit
      ? `${state.waitingJobs} jobs wait, the limit for ${spec.urgency} jobs is ${limit}; retry later`
      : `${state.teamWaitingJobs} jobs of team ${spec.team} wait, half of the limit; retry later`,
    retryAfterMs: retryAfterMs(state),
  };
}

/** A tenth of the time that the waiting work takes on all cores, bounded. */
function retryAfterMs(state: AdmissionState): number {
  const cores = Math.max(1, state.allocations.totalCapacity.cpuMillis / 1000);
  const drainMs = state.waitingCoreMs / cores / 10;
  const bounded = Math.max(MIN_RETRY_AFTER_MS, drainMs);
  return Math.round(Math.min(MAX_RETRY_AFTER_MS, bounded));
}

function refuseByDeadline(
  state: AdmissionState,
  spec: types.job.JobSpec,
  now: number,
): placer.PlacementRefusal | undefined {
  const {deadline} = spec;
  if (
    deadline === undefined ||
    state.allocations.totalCapacity.cpuMillis === 0
  ) {
    return undefined;
  }
  const {size, typicalMs} = state.estimate;
  if (now + typicalMs > deadline) {
    return {
      reason: 'deadline_unreachable',
      message: `a task takes about ${Math.round(typicalMs)} ms, the deadline is ${deadline - now} ms away; send a later one`,
    };
  }
  const tasks = types.job.maxTaskCount(spec.shape);
  const neededCoreMs = (tasks * typicalMs * size.cpuMillis) / 1000;
  const {cpuMillis} = state.allocations.totalCapacity;
  if (state.demand.accepts(deadline, neededCoreMs, now, cpuMillis))
    return undefined;
  return {
    reason: 'deadline_unreachable',
    message: `jobs admitted before leave too little time until the deadline, ${deadline - now} ms away; send a later deadline or less work`,
  };
}

function describe(amount: types.resources.Resources): string {
  return `${amount.cpuMillis} cpuMillis, ${amount.memoryMb} memoryMb, ${amount.accelerators} accelerators`;
}
