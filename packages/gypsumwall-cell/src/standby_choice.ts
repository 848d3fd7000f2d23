/**
 * Chooses the standbys of a cell. They follow the holder closely and take over
 * when it is lost. All other entries read the logs at a slow pace, so that
 * neither the idle cost of an entry nor the number of pings to a holder that
 * seems lost grows with the size of the deployment.
 */
import type * as types from '@gypsumwall/types';

/**
 * Standbys of each failure domain. There are two, so that a domain still has
 * one when the other one holds the cell or is lost for good.
 */
const STANDBYS_PER_DOMAIN = 2;

/** An entry that can be a standby. */
export interface StandbyCandidate {
  readonly instance: string;
  readonly domain: types.ids.FailureDomain;
  /** Processor capacity of the instance, in cores. */
  readonly cores: number;
}

/** Whether an entry is among the strongest of its failure domain. */
export function isStandby(
  self: StandbyCandidate,
  peers: Iterable<StandbyCandidate>,
): boolean {
  let strongerPeers = 0;
  for (const peer of peers) {
    if (peer.domain !== self.domain || !outranks(peer, self)) continue;
    strongerPeers++;
    if (strongerPeers >= STANDBYS_PER_DOMAIN) return false;
  }
  return true;
}

/** The same order at all entries; equal ones are ordered by name. */
export function outranks(
  left: StandbyCandidate,
  right: StandbyCandidate,
): boolean {
  if (left.cores !== right.cores) return left.cores > right.cores;
  return left.instance < right.instance;
}
