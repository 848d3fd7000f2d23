/**
 * An entry's view of the instances around it: the platform's list, which lags,
 * corrected by what the entry and its peers observed.
 */
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';

/** An entry process that is listed or has sent a heartbeat. */
export interface PeerEntry {
  /** Id of the process; empty until it answered a heartbeat. */
  readonly entryId: types.ids.EntryId;
  readonly failureDomain: types.ids.FailureDomain;
  /** Address of its peer service, from the list or from its heartbeat. */
  readonly address: string;
  readonly state: 'live' | 'silent' | 'leaving';
  readonly configOffset: number;
}

/** The view at one moment. */
export interface DomainView {
  /** Other entries, of all domains. */
  readonly peers: readonly PeerEntry[];
  /** Workers of this entry's own domain. */
  readonly workers: readonly platform.instanceList.ListedWorker[];
  /** Upstreams of this entry's own domain. */
  readonly upstreams: readonly platform.instanceList.ListedUpstream[];
  /** When the list was last fetched; undefined before the first fetch. */
  readonly listFetchedAt?: types.clock.MonotonicMs;
  /** When the last list that shows this process was requested. */
  readonly selfListedAt?: types.clock.MonotonicMs;
  /** Whether the most recently fetched list shows this process. */
  readonly isSelfListed?: boolean;
}
