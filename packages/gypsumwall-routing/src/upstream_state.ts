/** The state of an upstream in the table of one entry. */
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';
import type * as upstreamHealth from './upstream_health.js';

/** An upstream, this entry's share of it and its requests in flight there. */
export interface UpstreamState {
  readonly id: types.ids.UpstreamId;
  readonly address: string;
  readonly client: platform.upstream.Upstream;
  readonly health: upstreamHealth.UpstreamHealth;
  /** The number of slots this entry may use; 0 if the upstream is leaving. */
  share: number;
  connections: number;
  inFlight: number;
  isLeaving: boolean;
  isListed: boolean;
}
