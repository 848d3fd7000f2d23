/** What a router is made of; the policy and its baseline take the same. */
import type * as platform from '@gypsumwall/platform';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as router from './router.js';

/** Limits of a team that has none of its own. */
export type TeamDefaults = Omit<router.RouterTeam, 'id'>;

/** Settings and outside parts of a router. */
export interface RouterOptions {
  readonly entryId: string;
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly logger: telemetry.logger.Logger;
  /**
   * A view is never older than this when it is handed over, and nothing is
   * started on one that was handed over longer ago than this.
   */
  readonly listLagMs: number;
  /**
   * No request may hold a slot for longer than this; a longer estimate is
   * refused. A new entry serves nothing for 2 x `listLagMs` plus this.
   */
  readonly requestBoundMs?: number;
  readonly makeUpstream: (
    listed: platform.instanceList.ListedUpstream,
    connections: number,
  ) => platform.upstream.Upstream;
  readonly defaults: TeamDefaults;
}

/** Bound on the time a request holds a slot, where none is set. */
export const DEFAULT_REQUEST_BOUND_MS = 5_000;
