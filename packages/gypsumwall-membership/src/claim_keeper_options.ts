/** What the parts of a claim keeper are given. */
import type * as result from 'true-myth/result';
import type * as records from '@gypsumwall/records';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as claimPeers from './claim_peers.js';
import type * as claimState from './claim_state.js';
import type * as domainView from './domain_view.js';

/** Options of `createClaimKeeper`. */
export interface ClaimKeeperOptions {
  readonly self: types.ids.EntryId;
  readonly failureDomain: types.ids.FailureDomain;
  /** Address of this process's peer service, as peers reach it. */
  readonly address: string;
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly logger: telemetry.logger.Logger;
  readonly ttlMs: number;
  /** How old the instance list may be at worst. */
  readonly listLagMs: number;
  /** See `ClaimTerms.allGoneMs`; `ALL_GONE_TTLS` ttls when absent. */
  readonly allGoneMs?: number;
  /**
   * Appends to the domain's stream. Resolves a lost answer by reading back.
   * An error's effect is `not_run` only if the record never can appear.
   */
  appendRecord(
    record: records.domainRecords.DomainRecord,
  ): Promise<result.Result<{offset: number}, types.stepError.StepError>>;
  /** Whether the stream has lately been read up to its end. */
  isCaughtUp(): boolean;
  view(): domainView.DomainView;
  readonly peers: claimPeers.ClaimPeers;
  /** Called when the state's type or epoch has changed. */
  onChange?(state: claimState.ClaimState): void;
}
