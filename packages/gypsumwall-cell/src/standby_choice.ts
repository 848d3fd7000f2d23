/**
 * Chooses the entries that stand by for the cell. They follow the holder
 * closely and take the cell over when it is lost. All others read the logs at
 * a slow pace, so that what an entry costs at rest, and how many of them call a
 * holder that seems lost, doesn't grow with the size of the deployment.
 */
import type * as types from '@gypsumwall/types';

/**
 * Standbys of each failure domain. Two, so that a domain still has one when
 * the other one holds the cell or is gone for good.
 */
const STANDBYS_PER_DOMAIN = 2;

/** An entry that may stand by. */
export interface StandbyCandidate {
  readonly instance: string;
  readonly domain: types.ids.FailureDomain;
  /** Processor of the instance, in cores. */
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

/** The same order at every entry; names settle ties. */
function outranks(left: StandbyCandidate, right: StandbyCandidate): boolean {
  if (left.cores !== right.cores) return left.cores > right.cores;
  return left.instance < right.instance;
}
