/**
 * Sorts the waiting steps by the order in which they get capacity. From one
 * cycle to the next only few steps change their position, so sorting the
 * previous order again takes time that is linear in the number of steps.
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

/** Sorts the waiting steps. */
export interface WaitingOrder {
  sort(
    waiting: ReadonlySet<activeJob.StepRun>,
    now: types.clock.MonotonicMs,
    commitMs: number,
  ): SortedSteps;
}

/** Creates an order without steps. */
export function createWaitingOrder(): WaitingOrder {
  let known: ReadonlySet<activeJob.StepRun> = new Set();
  let steps: activeJob.StepRun[] = [];

  return {
    sort(waiting, now, commitMs) {
      const kept = steps.filter((stepRun) => waiting.has(stepRun));
      for (const stepRun of waiting)
        if (!known.has(stepRun)) kept.push(stepRun);
      let gangFellBehind = false;
      const ranked = kept.map((stepRun) => {
        const before = stepRun.rank;
        const rank = rankOf(stepRun, now, commitMs);
        const changedLateness =
          before !== undefined && before.lateness !== rank.lateness;
        if (changedLateness && stepRun.request.gang) gangFellBehind = true;
        stepRun.rank = rank;
        return {...rank, stepRun};
      });
      ranked.sort(jobOrder.compareRanked);
      steps = ranked.map((one) => one.stepRun);
      known = new Set(steps);
      return {steps, gangFellBehind};
    },
  };
}

/**
 * The first start of a job waits until its workers are stored, and its end is
 * shown once it is stored.
 */
function rankOf(
  stepRun: activeJob.StepRun,
  now: types.clock.MonotonicMs,
  commitMs: number,
): jobOrder.RankedClaimant {
  const claimant = stepRun.rank?.claimant ?? activeJob.claimantOf(stepRun);
  const commits = stepRun.job.workers.size === 0 ? 2 : 1;
  const startAt = types.clock.after(now, commits * commitMs);
  return {claimant, lateness: jobOrder.lateness(claimant, startAt)};
}
