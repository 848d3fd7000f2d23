/** The options of a router; the policy and its baseline have the same. */
import type * as platform from '@gypsumwall/platform';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as router from './router.js';

/** The limits of teams without settings of their own. */
export type TeamDefaults = Omit<router.RouterTeam, 'id'>;

/** The settings and dependencies of a router. */
export interface RouterOptions {
  readonly entryId: string;
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly logger: telemetry.logger.Logger;
  /**
   * The maximum age of a view when it is passed to `setView`, and also the
   * maximum time for which it is used after that.
   */
  readonly listLagMs: number;
  /**
   * The maximum time for which a request may hold a slot; requests with a
   * longer estimate are refused. A new entry sends no requests for 2 x
   * `listLagMs` plus this time.
   */
  readonly requestBoundMs?: number;
  readonly makeUpstream: (
    listed: platform.instanceList.ListedUpstream,
    connections: number,
  ) => platform.upstream.Upstream;
  readonly defaults: TeamDefaults;
}

/** The default of `requestBoundMs`. */
export const DEFAULT_REQUEST_BOUND_MS = 5_000;
