/** Runs a scheduler while, and only while, this entry holds its domain. */
import type * as membership from '@gypsumwall/membership';
import type * as records from '@gypsumwall/records';
import type * as settings from '@gypsumwall/settings';
import * as types from '@gypsumwall/types';
import * as domainScheduler from './domain_scheduler.js';
import type * as schedulerOptions from './scheduler_options.js';

/** What the holder needs; the rest of a scheduler's options stay the same. */
export interface DomainHolderOptions {
  readonly scheduler: Omit<
    schedulerOptions.DomainSchedulerOptions,
    'epoch' | 'hadPredecessor' | 'claimDeadline' | 'placer' | 'nextAttempt'
  >;
  readonly hadPredecessor: () => boolean;
  readonly makePlacer: () => schedulerOptions.DomainSchedulerOptions['placer'];
  readonly claim: () => membership.domainClaim.ClaimState;
  readonly view: () => membership.domainView.DomainView;
  readonly teams: () => ReadonlyMap<string, settings.cellTree.TeamPolicy>;
}

/** This entry's part as holder. */
export interface DomainHolder {
  current(): domainScheduler.DomainScheduler | undefined;
  onClaimChange(state: membership.domainClaim.ClaimState): void;
  onView(view: membership.domainView.DomainView): void;
  onJobChange(change: records.jobFold.JobChange): void;
  onTeamsChange(): void;
  /** Starts nothing more; resolves when no start is on its way. */
  close(): Promise<void>;
}

/** Makes the part; it does nothing until the claim is held. */
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
      claimDeadline: () => deadlineOf(options.claim(), epoch),
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
          // Nobody may have taken over; the same epoch can be renewed yet.
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
        scheduler?.onJob(change);
        return;
      }
      // The books were kept record by record; after a jump they are made
      // anew from the jobs and from what the workers tell.
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

function deadlineOf(
  state: membership.domainClaim.ClaimState,
  epoch: number,
): types.clock.MonotonicMs | undefined {
  if (state.type !== 'held' || state.epoch !== epoch) return undefined;
  return state.deadline;
}
