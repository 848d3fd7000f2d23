/** Runs a scheduler for as long as this entry holds its domain's claim. */
import type * as membership from '@gypsumwall/membership';
import type * as records from '@gypsumwall/records';
import type * as settings from '@gypsumwall/settings';
import * as types from '@gypsumwall/types';
import * as domainScheduler from './domain_scheduler.js';
import type * as schedulerOptions from './scheduler_options.js';

/** Options of the holder; `scheduler` has those that all epochs share. */
export interface DomainHolderOptions {
  readonly scheduler: Omit<
    schedulerOptions.DomainSchedulerOptions,
    'epoch' | 'hadPredecessor' | 'claimDeadline' | 'placer' | 'nextAttempt'
  >;
  readonly hadPredecessor: () => boolean;
  readonly makePlacer: () => schedulerOptions.DomainSchedulerOptions['placer'];
  readonly claim: () => membership.claimState.ClaimState;
  readonly view: () => membership.domainView.DomainView;
  readonly teams: () => ReadonlyMap<string, settings.cellTree.TeamPolicy>;
}

/** Opens and closes this entry's scheduler as the claim changes. */
export interface DomainHolder {
  current(): domainScheduler.DomainScheduler | undefined;
  onClaimChange(state: membership.claimState.ClaimState): void;
  onView(view: membership.domainView.DomainView): void;
  onJobChange(change: records.jobFold.JobChange): void;
  onTeamsChange(): void;
  /** Closes the scheduler for good; resolves once no start is in flight. */
  close(): Promise<void>;
}

/** Creates a holder without a scheduler; one is opened with the claim. */
export function createDomainHolder(options: DomainHolderOptions): DomainHolder {
  let scheduler: domainScheduler.DomainScheduler | undefined;
  let schedulerEpoch: number | undefined;
  let isClosed = false;
  let attemptCount = 0;

  function openScheduler(epoch: number): void {
    schedulerEpoch = epoch;
    scheduler = domainScheduler.createDomainScheduler({
      ...options.scheduler,
      epoch,
      hadPredecessor: options.hadPredecessor(),
      placer: options.makePlacer(),
      claimDeadline: () => claimDeadlineOf(options.claim(), epoch),
      nextAttempt: () => {
        attemptCount += 1;
        return types.ids.brand<types.ids.AttemptId>(`${epoch}.${attemptCount}`);
      },
    });
    setTeams();
    scheduler.setWorkers(options.view().workers);
  }

  async function closeScheduler(): Promise<void> {
    const previous = scheduler;
    scheduler = undefined;
    schedulerEpoch = undefined;
    await previous?.close();
  }

  function setTeams(): void {
    for (const [id, policy] of options.teams()) {
      scheduler?.setTeam({
        id: types.ids.brand<types.ids.TeamId>(id),
        weight: policy.weight,
        quota: policy.quota,
        packing: policy.packing,
      });
    }
  }

  return {
    current: () => scheduler,
    onClaimChange: (state) => {
      switch (state.type) {
        case 'none':
        case 'held_by_other':
          void closeScheduler();
          return;
        case 'lapsed':
          // The same epoch can still be renewed if nobody has taken over.
          if (state.epoch !== schedulerEpoch) void closeScheduler();
          return;
        case 'held':
          if (isClosed || state.epoch === schedulerEpoch) return;
          void closeScheduler();
          openScheduler(state.epoch);
          return;
      }
    },
    onView: (view) => scheduler?.setWorkers(view.workers),
    onJobChange: (change) => {
      if (change.type !== 'restored' || schedulerEpoch === undefined) {
        scheduler?.onJobChange(change);
        return;
      }
      // The scheduler tracks tasks record by record. After a restore it is
      // replaced by a new one, built from the jobs and the workers' reports.
      const epoch = schedulerEpoch;
      void closeScheduler();
      openScheduler(epoch);
    },
    onTeamsChange: setTeams,
    close: () => {
      isClosed = true;
      return closeScheduler();
    },
  };
}

function claimDeadlineOf(
  state: membership.claimState.ClaimState,
  epoch: number,
): types.clock.MonotonicMs | undefined {
  if (state.type !== 'held' || state.epoch !== epoch) return undefined;
  return state.deadline;
}
