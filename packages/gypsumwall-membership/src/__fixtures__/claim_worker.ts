/** The part of a worker that accepts or refuses starts. */
import * as virtualTime from './virtual_time.js';

/** A worker on virtual time. */
export interface ClaimWorker {
  /** The current time of the worker's own clock. */
  now(): number;
  /** Whether the start is accepted: its epoch isn't fenced, and it isn't late. */
  accepts(epoch: number, startBy: number): boolean;
}

/** Creates a worker that has seen no epoch yet. */
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
