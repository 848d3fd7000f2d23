/**
 * Decodes the records of the store and checks their form. A record that can't
 * be decoded, such as one of a newer version or of another writer, stays in the
 * store, and its reader logs it.
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as recordChecks from './record_checks.js';
import * as roomReading from './room_reading.js';
import * as storeRecords from './store_records.js';

/** Decodes a record; the error describes what is wrong with it. */
export function decodeRecord(
  key: string,
  value: string,
): result.Result<storeRecords.StoreRecord, string> {
  try {
    return result.ok(decodeKnown(key, value));
  } catch (thrown) {
    const fault = types.stepError.messageOf(thrown);
    if (!key.startsWith(storeRecords.KEY_PREFIXES.used_worker))
      return result.err(fault);
    // If it were passed over, a successor would start tasks elsewhere that may
    // still run on this worker.
    const workerId = types.ids.brand<types.ids.WorkerId>(key.slice(1));
    return result.ok({kind: 'used_worker', workerId, worker: {fault}});
  }
}

function decodeKnown(key: string, value: string): storeRecords.StoreRecord {
  const body = unpack(value);
  if (key === storeRecords.KEY_PREFIXES.heartbeat) {
    const {rooms, ...heartbeat} = (body ?? {}) as HeartbeatBody;
    return {
      kind: 'heartbeat',
      capacity: recordChecks.readCapacity(heartbeat),
      rooms: roomReading.keepKnown(rooms),
      takeover: recordChecks.readTakeover(heartbeat),
    };
  }
  if (key === storeRecords.KEY_PREFIXES.claim) {
    if (body === undefined) throw new Error('the claim has no value');
    return {kind: 'claim', claim: recordChecks.checkClaim(body)};
  }
  const id = key.slice(1);
  const prefix = key.slice(0, 1);
  switch (prefix) {
    case storeRecords.KEY_PREFIXES.job:
      return {
        kind: 'job',
        jobId: types.ids.brand(id),
        job: body && recordChecks.checkJob(body),
      };
    case storeRecords.KEY_PREFIXES.cancel: {
      const jobId = types.ids.brand<types.ids.JobId>(id);
      return {kind: 'cancel', jobId, dropped: body === undefined};
    }
    case storeRecords.KEY_PREFIXES.progress:
      return decodeProgress(types.ids.brand(id), body);
    case storeRecords.KEY_PREFIXES.entry:
      return {
        kind: 'entry',
        instance: id,
        entry: body && recordChecks.checkEntry(body),
      };
    case storeRecords.KEY_PREFIXES.used_worker:
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
): storeRecords.StoreRecord {
  if (body === undefined)
    return {kind: 'progress', jobId, queue: '', progress: undefined};
  const {queue, organisation, progress} = recordChecks.checkProgress(body);
  return {kind: 'progress', jobId, queue, organisation, progress};
}

function unpack(value: string): {readonly v: number} | undefined {
  if (value === '') return undefined;
  const body = JSON.parse(value) as {v?: unknown} | null;
  if (body?.v !== storeRecords.VERSION) {
    throw new Error(`version = ${String(body?.v)}: this program supports 1`);
  }
  return body as {v: number};
}
