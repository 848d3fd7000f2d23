/**
 * The peers that aren't avoided. An entry asks for them some ten times a second
 * and with each submission, so they are listed again only after a change.
 */
import * as types from '@gypsumwall/types';
import type * as standbyChoice from './standby_choice.js';

/** A peer as far as it matters here. */
export interface AvoidablePeer {
  readonly candidate: standbyChoice.StandbyCandidate;
  /** It is avoided until then. */
  readonly backoffUntil: types.clock.MonotonicMs;
}

/** The peers that aren't avoided. */
export interface UsablePeers {
  list(): readonly standbyChoice.StandbyCandidate[];
  /** A peer was added, replaced, removed or is avoided from now on. */
  onChanged(): void;
}

/** Creates the list of the usable ones of these peers. */
export function createUsablePeers(
  peers: ReadonlyMap<string, AvoidablePeer>,
  clock: types.clock.Clock,
): UsablePeers {
  let usable: standbyChoice.StandbyCandidate[] | undefined;
  /** When the first of the avoided peers may be used again. */
  let usableUntil = Infinity;

  return {
    list() {
      const now = clock.monotonic();
      if (usable !== undefined && now < usableUntil) return usable;
      usable = [];
      usableUntil = Infinity;
      for (const {candidate, backoffUntil} of peers.values()) {
        if (backoffUntil <= now) usable.push(candidate);
        else usableUntil = Math.min(usableUntil, backoffUntil);
      }
      return usable;
    },
    onChanged: () => void (usable = undefined),
  };
}
