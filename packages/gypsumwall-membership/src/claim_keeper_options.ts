/** Options that the parts of a claim keeper share. */
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
  /** Address at which peers reach this process's peer service. */
  readonly address: string;
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly logger: telemetry.logger.Logger;
  readonly ttlMs: number;
  /** Maximum age of the instance list. */
  readonly listLagMs: number;
  /** See `ClaimTerms.allGoneMs`; default `DEFAULT_ALL_GONE_TTLS` ttls. */
  readonly allGoneMs?: number;
  /**
   * Appends to the domain's stream. If the answer is lost, it reads the stream
   * to find out whether the record was written. An error's effect is `not_run`
   * only if the record can never appear.
   */
  appendRecord(
    record: records.domainRecords.DomainRecord,
  ): Promise<result.Result<{offset: number}, types.stepError.StepError>>;
  /** Whether the stream was recently read up to its end. */
  isCaughtUp(): boolean;
  view(): domainView.DomainView;
  readonly peers: claimPeers.ClaimPeers;
  /** Called after the state's type or epoch changed. */
  onChange?(state: claimState.ClaimState): void;
}
