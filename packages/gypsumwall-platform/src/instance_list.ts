/** The platform's lagging list of instances. Wire form: docs/PLATFORM.md. */
import type * as result from 'true-myth/result';
import type * as types from '@gypsumwall/types';

interface ListedBase {
  readonly failureDomain: types.ids.FailureDomain;
  /** `http://ip:port` */
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/** An entry instance on the list; its process id is learned by heartbeat. */
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

/** Reads the list. */
export interface InstanceList {
  fetch(): Promise<
    result.Result<readonly ListedInstance[], types.stepError.StepError>
  >;
}
