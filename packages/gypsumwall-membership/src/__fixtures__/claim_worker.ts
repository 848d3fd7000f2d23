/** The part of a worker that guards its starts. */
import * as virtualTime from './virtual_time.js';

/** A worker on virtual time. */
export interface ClaimWorker {
  /** Now, on the worker's own clock. */
  now(): number;
  /** Fences by epoch and refuses what comes too late. */
  accepts(epoch: number, startBy: number): boolean;
}

/** Makes a worker that has seen no epoch yet. */
export function createClaimWorker(
  time: virtualTime.VirtualTime,
  clockRate: number,
): ClaimWorker {
  const process = virtualTime.createVirtualProcess(time, clockRate);
  let highestEpoch = -1;
  return {
    now: () => process.clock.monotonic(),
    accepts: (epoch, startBy) => {
      if (epoch < highestEpoch) return false;
      if (process.clock.monotonic() > startBy) return false;
      highestEpoch = epoch;
      return true;
    },
  };
}
