/** Which steps of a job could ever run, given the workers and the quotas. */
import type * as organisations from '@gypsumwall/organisations';
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as cellStates from './cell_state.js';
import type * as configKeeper from './config_keeper.js';

/** Dependencies of the limits. */
export interface JobLimitsParts {
  readonly state: Pick<cellStates.CellState, 'usedWorkers'>;
  readonly configs: Pick<configKeeper.ConfigKeeper, 'config'>;
}

/** Judges single steps. */
export interface JobLimits {
  /**
   * Whether any worker could ever run a task of this size. Judges by the
   * workers seen so far; refuses nothing if none of the pool was seen.
   */
  couldEverFit(pool: string, step: scheduling.jobRequest.StepRequest): boolean;
  /**
   * Whether the quota of the caller's organisation could ever fit a step. A step
   * that isn't a gang runs in waves, so one of its tasks must fit.
   */
  fitsQuota(
    caller: organisations.keyDirectory.Caller,
    step: scheduling.jobRequest.StepRequest,
  ): boolean;
}

/** Creates the limits of one entry. */
export function createJobLimits({state, configs}: JobLimitsParts): JobLimits {
  return {
    couldEverFit(pool, step) {
      let isPoolKnown = false;
      for (const {info} of state.usedWorkers.values()) {
        if (info?.pool !== pool) continue;
        isPoolKnown = true;
        if (types.resources.fits(step.size, info.capacity)) return true;
      }
      return !isPoolKnown;
    },
    fitsQuota({organisation}, {gang, taskCount, size}) {
      const quota = configs.config()?.organisations?.get(organisation)?.quota;
      if (quota === undefined) return true;
      return (
        types.resources.tasksThatFit(size, quota) >= (gang ? taskCount : 1)
      );
    },
  };
}
