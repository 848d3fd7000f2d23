/**
 * The records that a cell keeps in the store, as JSON under a key that starts
 * with a prefix for the kind. A record that can't be decoded, such as one of a
 * newer version, stays in the store, and its reader logs it.
 */
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as holderCapacity from './holder_capacity.js';
import * as recordChecks from './record_checks.js';
import * as roomReading from './room_reading.js';

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
}

/**
 * The longest lease that a holder grants to a worker. It says nothing about the
 * leases of later holders.
 */
export interface LeaseBound {
  readonly maxMs: number;
  /** Generation of the claim of the holder that keeps to it. */
  readonly generation: number;
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
    }
  | {
      readonly kind: 'used_worker';
      readonly workerId: types.ids.WorkerId;
      readonly worker: UsedWorkerRecord | undefined;
    };

/** Version of the encodings below; readers leave newer records unchanged. */
const VERSION = 1;

const KEY_PREFIXES = {
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
      const {capacity, rooms} = record;
      const value = pack({capacity, rooms});
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

/** Decodes a record; the error describes what is wrong with it. */
export function decode(
  key: string,
  value: string,
): result.Result<StoreRecord, string> {
  try {
    return result.ok(decodeKnown(key, value));
  } catch (thrown) {
    const fault = types.stepError.messageOf(thrown);
    if (!key.startsWith(KEY_PREFIXES.used_worker)) return result.err(fault);
    // If it were passed over, a successor would start tasks elsewhere that may
    // still run on this worker.
    const workerId = types.ids.brand<types.ids.WorkerId>(key.slice(1));
    return result.ok({kind: 'used_worker', workerId, worker: {fault}});
  }
}

function decodeKnown(key: string, value: string): StoreRecord {
  const body = unpack(value);
  if (key === KEY_PREFIXES.heartbeat) {
    const {rooms, ...heartbeat} = (body ?? {}) as HeartbeatBody;
    return {
      kind: 'heartbeat',
      capacity: recordChecks.readCapacity(heartbeat),
      rooms: roomReading.keepKnown(rooms),
    };
  }
  if (key === KEY_PREFIXES.claim) {
    if (body === undefined) throw new Error('the claim has no value');
    return {kind: 'claim', claim: recordChecks.checkClaim(body)};
  }
  const id = key.slice(1);
  const prefix = key.slice(0, 1);
  switch (prefix) {
    case KEY_PREFIXES.job:
      return {
        kind: 'job',
        jobId: types.ids.brand(id),
        job: body && recordChecks.checkJob(body),
      };
    case KEY_PREFIXES.cancel: {
      const jobId = types.ids.brand<types.ids.JobId>(id);
      return {kind: 'cancel', jobId, dropped: body === undefined};
    }
    case KEY_PREFIXES.progress:
      return decodeProgress(types.ids.brand(id), body);
    case KEY_PREFIXES.entry:
      return {
        kind: 'entry',
        instance: id,
        entry: body && recordChecks.checkEntry(body),
      };
    case KEY_PREFIXES.used_worker:
      return {
        kind: 'used_worker',
        workerId: types.ids.brand(id),
        worker: body && recordChecks.checkUsedWorker(body),
      };
    default:
      throw new Error(`unknown kind of key`);
  }
}

interface HeartbeatBody {
  readonly rooms?: unknown;
}

function decodeProgress(
  jobId: types.ids.JobId,
  body: object | undefined,
): StoreRecord {
  if (body === undefined)
    return {kind: 'progress', jobId, queue: '', progress: undefined};
  const {queue, organisation, progress} = recordChecks.checkProgress(body);
  return {kind: 'progress', jobId, queue, organisation, progress};
}

function unpack(value: string): {readonly v: number} | undefined {
  if (value === '') return undefined;
  const body = JSON.parse(value) as {v?: unknown} | null;
  if (body?.v !== VERSION) {
    throw new Error(`version = ${String(body?.v)}: this program supports 1`);
  }
  return body as {v: number};
}
