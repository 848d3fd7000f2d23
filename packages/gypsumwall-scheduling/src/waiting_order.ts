/**
 * Sorts the waiting steps by the order in which they get capacity. From one
 * cycle to the next only few steps change their position; only these are sorted,
 * and merged with the others.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as jobOrder from './job_order.js';

/** The sorted waiting steps. */
export interface SortedSteps {
  /** Most urgent first. */
  readonly steps: readonly activeJob.StepRun[];
  /**
   * Whether the lateness of a gang has changed, so that it ranks behind others:
   * steps that rank before it now can use the capacity reserved for it.
   */
  readonly gangFellBehind: boolean;
}

/** Receives what the scheduling of a job has thrown. */
export type FaultHandler = (job: activeJob.ActiveJob, thrown: unknown) => void;

/** Sorts the waiting steps. */
export interface WaitingOrder {
  sort(
    waiting: ReadonlySet<activeJob.StepRun>,
    now: types.clock.MonotonicMs,
    commitMs: number,
    onFault?: FaultHandler,
  ): SortedSteps;
}

/** Creates an order without steps. */
export function createWaitingOrder(): WaitingOrder {
  const known = new Set<activeJob.StepRun>();
  let steps: activeJob.StepRun[] = [];

  return {
    sort(waiting, now, commitMs, onFault) {
      const kept: activeJob.StepRun[] = [];
      const moved: activeJob.StepRun[] = [];
      let gangFellBehind = false;

      function place(stepRun: activeJob.StepRun): void {
        const before = stepRun.rank;
        let hasMoved: boolean;
        try {
          hasMoved = updateRank(stepRun, now, commitMs);
        } catch (thrown) {
          if (onFault === undefined) throw thrown;
          known.delete(stepRun);
          onFault(stepRun.job, thrown);
          return;
        }
        const wasKnown = known.has(stepRun);
        if (wasKnown && !hasMoved) kept.push(stepRun);
        else moved.push(stepRun);
        if (hasMoved && before !== undefined && stepRun.request.gang)
          gangFellBehind = true;
        if (!wasKnown) known.add(stepRun);
      }

      for (const stepRun of steps) {
        if (waiting.has(stepRun)) place(stepRun);
        else known.delete(stepRun);
      }
      // All known steps wait, so with as many of both there is no other.
      if (known.size < waiting.size)
        for (const stepRun of waiting) if (!known.has(stepRun)) place(stepRun);
      steps = merge(kept, moved.sort(compareSteps));
      return {steps, gangFellBehind};
    },
  };
}

/** Updates the rank of a step; false if it is the same as before. */
function updateRank(
  stepRun: activeJob.StepRun,
  now: types.clock.MonotonicMs,
  commitMs: number,
): boolean {
  const {rank} = stepRun;
  const claimant = rank?.claimant ?? activeJob.claimantOf(stepRun);
  // The first start of a job waits until its workers are stored, and its end
  // is shown once it is stored.
  const commits = stepRun.job.workers.size === 0 ? 2 : 1;
  const startAt = types.clock.after(now, commits * commitMs);
  const lateness = jobOrder.lateness(claimant, startAt);
  if (rank?.lateness === lateness) return false;
  stepRun.rank = {claimant, lateness};
  return true;
}

/** Compares two steps that have a rank. */
function compareSteps(
  left: activeJob.StepRun,
  right: activeJob.StepRun,
): number {
  return jobOrder.compareRanked(left.rank!, right.rank!);
}

/** Merges two sorted lists. */
function merge(
  kept: activeJob.StepRun[],
  moved: readonly activeJob.StepRun[],
): activeJob.StepRun[] {
  if (moved.length === 0) return kept;
  const merged: activeJob.StepRun[] = [];
  let next = 0;
  for (const stepRun of kept) {
    while (next < moved.length && compareSteps(moved[next]!, stepRun) < 0)
      merged.push(moved[next++]!);
    merged.push(stepRun);
  }
  for (const stepRun of moved.slice(next)) merged.push(stepRun);
  return merged;
}
