/**
 * The records that a cell keeps in the store, as JSON under a key that starts
 * with a prefix for the kind.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as holderCapacity from './holder_capacity.js';
import type * as roomReading from './room_reading.js';

/** A job as it was accepted; the first record of an ID defines the job. */
export interface JobRecord {
  readonly request: scheduling.jobRequest.JobRequest;
  readonly policy: scheduling.jobRequest.QueuePolicy;
  readonly acceptedAt: types.clock.WallMs;
  /**
   * Organisation that submitted the job; absent if callers needed no keys, and
   * in older records.
   */
  readonly organisation?: types.ids.OrganisationId;
}

/** An entry of the cell, and the address at which its peers reach it. */
export interface EntryRecord {
  readonly entryId: types.ids.EntryId;
  readonly address: string;
  readonly domain: types.ids.FailureDomain;
  /** Processor capacity of the instance, in cores; absent in older records. */
  readonly cores?: number;
  /**
   * Whether its build reads ranges of finished occurrences; absent in older
   * records.
   */
  readonly readsRanges?: boolean;
}

/** A claim on the cell, or its release. Claims are ordered by their offsets. */
export interface ClaimRecord {
  readonly holder: types.ids.EntryId;
  /**
   * Name of the holder's instance, which stays the same when its process
   * restarts.
   */
  readonly instance: string;
  /** Increases by one with each claim. */
  readonly generation: number;
  readonly state: 'held' | 'released';
  /**
   * All holders from this generation on keep to the lease bounds of earlier
   * ones, up to this claim. Absent if this one doesn't, and in older records.
   */
  readonly keepsBoundsSince?: number;
}

/** What a holder says of the workers of earlier holders. */
export interface TakeoverState {
  /** Of the holder that says it. */
  readonly generation: number;
  /** Whether more than half of them have answered it. */
  readonly hasMajority: boolean;
  /**
   * Those that have not, and on which it has granted no lease. It grants none
   * before a record without them is stored. Absent if they are many, or not
   * known yet.
   */
  readonly unanswered?: readonly types.ids.WorkerId[];
}

/** The longest lease that is granted to a worker until a record replaces it. */
export interface LeaseBound {
  readonly maxMs: number;
  /** Generation of the claim of the holder that wrote it. */
  readonly generation: number;
}

/** A bound that longer leases outlast which were granted before. */
export interface PendingLeaseBound extends LeaseBound {
  /** How long they may run after the record was written; milliseconds. */
  readonly earlierMs: number;
}

/** A worker that may run attempts of the cell. */
export interface UsedWorkerRecord {
  /** Absent if the record can't be understood; attempts may run there still. */
  readonly info?: scheduling.workerRegistry.WorkerInfo;
  /** Why the record can't be understood; never stored. */
  readonly fault?: string;
  /**
   * Absent if leases are only bounded by what a worker grants, and in older
   * records.
   */
  readonly leaseBound?: LeaseBound;
  /**
   * In place of `leaseBound` while longer leases run. Older builds ignore it and
   * wait for the longest lease that a worker grants.
   */
  readonly pendingBound?: PendingLeaseBound;
  /** When the record was read; never stored. */
  readonly readAt?: types.clock.MonotonicMs;
}

/** Any record of a cell. */
export type StoreRecord =
  | {
      readonly kind: 'job';
      readonly jobId: types.ids.JobId;
      readonly job: JobRecord | undefined;
    }
  | {
      readonly kind: 'cancel';
      readonly jobId: types.ids.JobId;
      readonly dropped: boolean;
    }
  | {
      readonly kind: 'progress';
      readonly jobId: types.ids.JobId;
      /**
       * The only source of the queue once the job's request has been dropped.
       */
      readonly queue: string;
      /**
       * The only source of the organisation once the request has been dropped.
       */
      readonly organisation?: types.ids.OrganisationId;
      readonly progress: scheduling.jobProgress.JobProgress | undefined;
    }
  | {
      readonly kind: 'entry';
      readonly instance: string;
      readonly entry: EntryRecord | undefined;
    }
  | {readonly kind: 'claim'; readonly claim: ClaimRecord}
  /** Shows that the holder is alive. */
  | {
      readonly kind: 'heartbeat';
      /** Absent unless the holder is at its limit, and in older records. */
      readonly capacity?: holderCapacity.HolderCapacity;
      /** The pools that are nearly full; absent in older records. */
      readonly rooms?: readonly roomReading.RoomReading[];
      /** Absent without workers of earlier holders, and in older records. */
      readonly takeover?: TakeoverState;
    }
  | {
      readonly kind: 'used_worker';
      readonly workerId: types.ids.WorkerId;
      readonly worker: UsedWorkerRecord | undefined;
    };

/** Version of the encodings below; readers leave newer records unchanged. */
export const VERSION = 1;

/** What the key of each kind of record begins with. */
export const KEY_PREFIXES = {
  job: 'j',
  cancel: 'c',
  progress: 's',
  entry: 'e',
  claim: 'claim',
  heartbeat: 'beat',
  used_worker: 'w',
} as const;

/** Encodes a record for the store. */
export function encode(record: StoreRecord): {key: string; value: string} {
  switch (record.kind) {
    case 'job':
      return {key: KEY_PREFIXES.job + record.jobId, value: pack(record.job)};
    case 'cancel': {
      const value = record.dropped ? '' : pack({});
      return {key: KEY_PREFIXES.cancel + record.jobId, value};
    }
    case 'progress': {
      const {queue, organisation, progress} = record;
      const value = pack(progress && {queue, organisation, progress});
      return {key: KEY_PREFIXES.progress + record.jobId, value};
    }
    case 'entry':
      return {
        key: KEY_PREFIXES.entry + record.instance,
        value: pack(record.entry),
      };
    case 'claim':
      return {key: KEY_PREFIXES.claim, value: pack(record.claim)};
    case 'heartbeat': {
      const {capacity, rooms, takeover} = record;
      const value = pack({capacity, rooms, takeover});
      return {key: KEY_PREFIXES.heartbeat, value};
    }
    case 'used_worker': {
      const value = pack(record.worker);
      return {key: KEY_PREFIXES.used_worker + record.workerId, value};
    }
  }
}

/** IDs of the records of one kind that have a value. */
export function idsOf<Id extends types.ids.JobId | types.ids.WorkerId>(
  kind: 'job' | 'progress' | 'used_worker',
  entries: readonly {readonly key: string; readonly value: string}[],
): ReadonlySet<Id> {
  const prefix = KEY_PREFIXES[kind];
  const ids = new Set<Id>();
  for (const {key, value} of entries) {
    if (key.startsWith(prefix) && value !== '')
      ids.add(types.ids.brand(key.slice(prefix.length)));
  }
  return ids;
}

function pack(body: object | undefined): string {
  return body === undefined ? '' : JSON.stringify({v: VERSION, ...body});
}
