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
  onClaim(state: membership.domainClaim.ClaimState): void;
  onView(view: membership.domainView.DomainView): void;
  onJob(change: records.jobFold.JobChange): void;
  onTeams(): void;
  /** Starts nothing more; resolves when no start is on its way. */
  close(): Promise<void>;
}

/** Makes the part; it does nothing until the claim is held. */
export function createDomainHolder(options: DomainHolderOptions): DomainHolder {
  let held: domainScheduler.DomainScheduler | undefined;
  let heldEpoch: number | undefined;
  let closed = false;
  let attempts = 0;

  function open(epoch: number): void {
    heldEpoch = epoch;
    held = domainScheduler.createDomainScheduler({
      ...options.scheduler,
      epoch,
      hadPredecessor: options.hadPredecessor(),
      placer: options.makePlacer(),
      claimDeadline: () => deadlineOf(options.claim(), epoch),
      nextAttempt: () => {
        attempts += 1;
        return types.ids.brand<types.ids.AttemptId>(`${epoch}.${attempts}`);
      },
    });
    setTeams();
    held.setWorkers(options.view().workers);
  }

  async function shut(): Promise<void> {
    const last = held;
    held = undefined;
    heldEpoch = undefined;
    await last?.close();
  }

  function setTeams(): void {
    for (const [id, policy] of options.teams()) {
      held?.setTeam({
        id: types.ids.brand<types.ids.TeamId>(id),
        weight: policy.weight,
        quota: policy.quota,
        packing: policy.packing,
      });
    }
  }

  return {
    current: () => held,
    onClaim: (state) => {
      switch (state.type) {
        case 'none':
        case 'held_by_other':
          void shut();
          return;
        case 'lapsed':
          // Nobody may have taken over; the same epoch can be renewed yet.
          if (state.epoch !== heldEpoch) void shut();
          return;
        case 'held':
          if (closed || state.epoch === heldEpoch) return;
          void shut();
          open(state.epoch);
          return;
      }
    },
    onView: (view) => held?.setWorkers(view.workers),
    onJob: (change) => {
      if (change.type !== 'restored' || heldEpoch === undefined) {
        held?.onJobChange(change);
        return;
      }
      // The books were kept record by record; after a jump they are made
      // anew from the jobs and from what the workers tell.
      const epoch = heldEpoch;
      void shut();
      open(epoch);
    },
    onTeams: setTeams,
    close: () => {
      closed = true;
      return shut();
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
