/**
 * Chooses the entry that appends the submissions of a failure domain to the
 * store: its strongest entry that doesn't hold the cell. It combines them in
 * batches, so that a store which turns slow finds one append of each domain in
 * its queue, and the holder's processor and link are left to scheduling.
 */
import * as standbyChoice from './standby_choice.js';

/** Returns the instance; that of a domain without others is this one. */
export function chooseAppender(
  self: standbyChoice.StandbyCandidate,
  peers: Iterable<standbyChoice.StandbyCandidate>,
  holder: string | undefined,
): string {
  let chosen = self;
  for (const peer of peers) {
    if (peer.domain !== self.domain || peer.instance === holder) continue;
    const isBetter =
      chosen.instance === holder || standbyChoice.outranks(peer, chosen);
    if (isBetter) chosen = peer;
  }
  return chosen.instance;
}
