/**
 * What an entry believes about the instances around it: the platform's
 * lagging list, corrected by what it heard itself.
 */
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';

/** An entry process that was heard of. */
export interface PeerEntry {
  /** Id of the process; empty until its first heartbeat was answered. */
  readonly entryId: types.ids.EntryId;
  readonly failureDomain: types.ids.FailureDomain;
  /** Address of its peer service, as the list gives it. */
  readonly address: string;
  readonly state: 'live' | 'silent' | 'leaving';
  readonly configOffset: number;
}

/** A moment's belief. */
export interface DomainView {
  /** Other entries, of all domains. */
  readonly peers: readonly PeerEntry[];
  /** Workers of this entry's own domain. */
  readonly workers: readonly platform.instanceList.ListedWorker[];
  /** Upstreams of this entry's own domain. */
  readonly upstreams: readonly platform.instanceList.ListedUpstream[];
  /** When the list was last fetched; undefined before the first time. */
  readonly listFetchedAt?: types.clock.MonotonicMs;
  /** When a list that shows this process was last asked for. */
  readonly selfListedAt?: types.clock.MonotonicMs;
  /** Whether the latest list that was fetched shows this process. */
  readonly isSelfListed?: boolean;
}
