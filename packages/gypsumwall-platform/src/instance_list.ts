/**
 * The platform's list of instances. It lags behind their actual state. The wire
 * format is in docs/PLATFORM.md.
 */
import type * as result from 'true-myth/result';
import type * as types from '@gypsumwall/types';

interface ListedBase {
  readonly failureDomain: types.ids.FailureDomain;
  /** `http://ip:port` */
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/**
 * An entry instance on the list. The list does not contain the entry id of its
 * process; heartbeats carry it.
 */
export interface ListedEntry extends ListedBase {
  readonly kind: 'entry';
  readonly id: string;
}

/** A worker on the list. */
export interface ListedWorker extends ListedBase {
  readonly kind: 'worker';
  readonly id: types.ids.WorkerId;
  readonly rack: types.ids.RackId;
  readonly capacity: types.resources.Resources;
}

/** An upstream on the list. */
export interface ListedUpstream extends ListedBase {
  readonly kind: 'upstream';
  readonly id: types.ids.UpstreamId;
  readonly slots: number;
  readonly connections: number;
}

/** An instance on the list. */
export type ListedInstance = ListedEntry | ListedWorker | ListedUpstream;

/** Client of the instance list. */
export interface InstanceList {
  fetch(): Promise<
    result.Result<readonly ListedInstance[], types.stepError.StepError>
  >;
}
