/** Encodes an entry of the worker list as it is stored. */
import type * as workerList from '../model/worker_list.js';

const SLOT_COUNT = 8;

/** Encodes an entry. */
export function encodeListing(listing: workerList.WorkerListing): string {
  const {capacity} = listing;
  return JSON.stringify({
    service: listing.pool,
    addr: listing.address,
    zone: listing.zone,
    version: 'v1',
    slots: SLOT_COUNT,
    state: listing.draining ? 'draining' : 'ready',
    coldRemainingMs: 0,
    remainingMs: listing.leavesInMs,
    capacity: {
      cpu: capacity.cpuMillis,
      memMb: capacity.memoryMb,
      gpu: capacity.accelerators,
    },
    labels: [listing.kind, listing.rack],
    clockMs: listing.clockMs,
    seq: listing.sequence,
    born: listing.bornMs,
  });
}
