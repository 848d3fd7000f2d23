/** How much work waits for workers, by the rank that it has among the rest. */
import * as activeJob from './active_job.js';
import type * as jobRequest from './job_request.js';
import * as stepNeeds from './step_needs.js';

/**
 * Work of one rank that waits for workers, in core-milliseconds: processors of
 * its tasks multiplied by their expected run times.
 */
export interface WaitingDemand {
  /** The pool of workers on which its tasks run. */
  readonly pool: string;
  readonly priority: number;
  /** Whether it exceeds the rate that its organisation is entitled to. */
  readonly isExcess: boolean;
  /** Work that can still be on time. */
  readonly onTimeCoreMs: number;
  /** Work that is late but still of use. */
  readonly lateCoreMs: number;
}

const MILLIS_PER_CORE = 1_000;

/** Work of one rank, without the amounts. */
export type Rank = Pick<WaitingDemand, 'pool' | 'priority' | 'isExcess'>;

/** Identifies a rank in a map. */
export function keyOf({pool, priority, isExcess}: Rank): string {
  return `${priority} ${isExcess} ${pool}`;
}

/** Expected processor time of all tasks of a job, in core-milliseconds. */
export function coreMsOfJob({steps}: jobRequest.JobRequest): number {
  return steps.reduce(
    (sum, {size, expectedMs, taskCount}) =>
      sum + coreMsOf(size.cpuMillis, expectedMs, taskCount),
    0,
  );
}

/** Expected processor time of a number of tasks, in core-milliseconds. */
export function coreMsOf(
  cpuMillis: number,
  expectedMs: number,
  tasks: number,
): number {
  return (tasks * cpuMillis * expectedMs) / MILLIS_PER_CORE;
}

/**
 * Sums up the steps that could start if there were room. Work that nobody has
 * use for, that waits for its own organisation's quota, that may run already
 * after a takeover, or that runs until it is cancelled doesn't count. Neither
 * does work that needs a label: it may wait for other workers than those with
 * room, or for none.
 */
export function sumWaiting(
  steps: Iterable<activeJob.StepRun>,
): WaitingDemand[] {
  const sums = new Map<string, WaitingDemand>();
  for (const stepRun of steps) {
    const {claimant, lateness} = stepRun.rank ?? {
      claimant: activeJob.claimantOf(stepRun),
      lateness: 0,
    };
    const {job, isOverQuota} = stepRun;
    if (lateness === 2 || claimant.isLongRunning || isOverQuota) continue;
    if (job.isAwaitingReconciliation) continue;
    if (stepRun.request.requiredLabel !== undefined) continue;
    const {priority, isExcess} = claimant;
    const rank = {pool: job.policy.pool, priority, isExcess};
    const key = keyOf(rank);
    const sum = sums.get(key) ?? {...rank, onTimeCoreMs: 0, lateCoreMs: 0};
    const coreMs = coreMsOf(
      stepNeeds.reservedSize(stepRun).cpuMillis,
      stepRun.request.expectedMs,
      stepRun.waitingIndexes.length,
    );
    sums.set(
      key,
      lateness === 0
        ? {...sum, onTimeCoreMs: sum.onTimeCoreMs + coreMs}
        : {...sum, lateCoreMs: sum.lateCoreMs + coreMs},
    );
  }
  return [...sums.values()];
}
