/** The platform's list of workers, which it keeps in its store. */
import * as types from '@gypsumwall/types';
import type * as keyedLog from './keyed_log.js';

/** What a worker reports about itself with each heartbeat. */
export interface WorkerListing {
  readonly id: string;
  /** Start of its incarnation; milliseconds since 1970. */
  readonly bornMs: number;
  readonly pool: string;
  /** `host:port`. */
  readonly address: string;
  readonly zone: string;
  readonly rack: string;
  readonly kind: string;
  readonly capacity: types.resources.Resources;
  readonly draining: boolean;
  /** Minimum time until a draining worker leaves, in milliseconds. */
  readonly leavesInMs: number | undefined;
  /** Reading of the worker's own clock. */
  readonly clockMs: number;
  /** Number of the heartbeat, from 1; 0 for the announcement of a drain. */
  readonly sequence: number;
}

/** List of the workers that send heartbeats. */
export interface WorkerList {
  put(listing: WorkerListing): void;
  remove(workerId: string): void;
  stop(): void;
}

/** Options of {@link createWorkerList}. */
export interface WorkerListOptions {
  readonly clock: types.clock.Clock;
  readonly log: keyedLog.KeyedLog;
  readonly heartbeatMs: number;
  /** Encodes a listing as it is stored. */
  readonly encode: (listing: WorkerListing) => string;
}

/** A worker is removed after this many heartbeat intervals without one. */
const EXPIRY_HEARTBEATS = 3;

/** Creates an empty list. */
export function createWorkerList(options: WorkerListOptions): WorkerList {
  const {clock, log} = options;
  const expiresAt = new Map<string, types.clock.MonotonicMs>();
  const stopped = new AbortController();

  function remove(key: string): void {
    if (expiresAt.delete(key)) log.append([{key, value: ''}], {});
  }

  async function removeExpired(): Promise<void> {
    while (!stopped.signal.aborted) {
      await types.clock.sleepFor(clock, options.heartbeatMs, stopped.signal);
      for (const [workerId, expiry] of [...expiresAt]) {
        if (expiry <= clock.monotonic()) remove(workerId);
      }
    }
  }

  void removeExpired();
  return {
    remove,
    stop: () => stopped.abort(),
    put(listing) {
      const expiryMs = options.heartbeatMs * EXPIRY_HEARTBEATS;
      const expiresBy = types.clock.after(clock.monotonic(), expiryMs);
      expiresAt.set(listing.id, expiresBy);
      const value = options.encode(listing);
      log.append([{key: listing.id, value}], {});
    },
  };
}
