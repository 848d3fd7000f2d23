/**
 * The part of a peer named on a claim: it promises a holder to let nobody
 * take the claim for a while, and tells a taker once no promise is left.
 * It remembers this in memory only: a process that restarts has a new id,
 * and the word of an id that nobody named counts for nothing.
 */
import * as types from '@gypsumwall/types';
import type * as claimPeers from './claim_peers.js';

/** A named peer's promises. */
export interface ClaimPromises {
  answerPromise(ask: claimPeers.PromiseRequest): claimPeers.PromiseReply;
  answerWitness(ask: claimPeers.WitnessRequest): claimPeers.WitnessReply;
  /** Forgets claims older than the newest; they can't be asked about. */
  forgetBefore(epoch: number): void;
}

/** What was said about one claim. */
interface PromiseState {
  /** No release before it. */
  promisedUntil: types.clock.MonotonicMs;
  /** No promise any more to a holder that knows only this or older. */
  releasedSeen: number;
}

const NEVER_RELEASED = -1;

/** Makes the promises of a process that has given none. */
export function createClaimPromises(clock: types.clock.Clock): ClaimPromises {
  const stateByEpoch = new Map<number, PromiseState>();
  let oldestEpoch = 0;

  function stateOf(epoch: number): PromiseState {
    const state = stateByEpoch.get(epoch) ?? {
      promisedUntil: clock.monotonic(),
      releasedSeen: NEVER_RELEASED,
    };
    stateByEpoch.set(epoch, state);
    return state;
  }

  return {
    answerPromise: (ask) => {
      if (ask.epoch < oldestEpoch) {
        return {type: 'refused', reason: `claim ${oldestEpoch} is newer`};
      }
      const state = stateOf(ask.epoch);
      // The taker that was released may claim at any later moment. Only a
      // renewal in the log after what it saw can make that claim not count.
      if (ask.seen <= state.releasedSeen) {
        return {type: 'refused', reason: `released at ${state.releasedSeen}`};
      }
      const until = types.clock.after(clock.monotonic(), ask.promiseMs);
      if (until > state.promisedUntil) state.promisedUntil = until;
      return {type: 'promised'};
    },
    answerWitness: (ask) => {
      const state = stateOf(ask.epoch);
      const waitMs = state.promisedUntil - clock.monotonic();
      // A promise holds for every renewal of the claim: the holder may not
      // know that its last one reached the log.
      if (waitMs > 0) return {type: 'wait', waitMs};
      state.releasedSeen = Math.max(state.releasedSeen, ask.seen);
      return {type: 'released'};
    },
    forgetBefore: (epoch) => {
      oldestEpoch = Math.max(oldestEpoch, epoch);
      for (const knownEpoch of stateByEpoch.keys()) {
        if (knownEpoch < oldestEpoch) stateByEpoch.delete(knownEpoch);
      }
    },
  };
}
