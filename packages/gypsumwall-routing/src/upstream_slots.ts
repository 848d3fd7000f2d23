/** One upstream, and what this entry uses of it. */
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';
import type * as upstreamHealth from './upstream_health.js';

/** One upstream as this entry uses it. */
export interface UpstreamSlots {
  readonly id: types.ids.UpstreamId;
  readonly address: string;
  readonly client: platform.upstream.Upstream;
  readonly health: upstreamHealth.UpstreamHealth;
  /** Slots this entry may use; 0 when the upstream is leaving. */
  share: number;
  connections: number;
  inFlight: number;
  leaving: boolean;
  listed: boolean;
}
