/**
 * The part of a peer named on a claim. It promises the holder not to let any
 * taker have the claim for some time, and releases the claim to a taker once no
 * promise is in force. The state is only in memory: a restarted process has a
 * new id, and promises and releases of an id that no claim names have no effect.
 */
import * as types from '@gypsumwall/types';
import type * as claimPeers from './claim_peers.js';

/** The promises and releases of a named peer. */
export interface ClaimPromises {
  answerPromise(req: claimPeers.PromiseRequest): claimPeers.PromiseReply;
  answerWitness(req: claimPeers.WitnessRequest): claimPeers.WitnessReply;
  /** Removes the state of claims that are older than the newest one. */
  forgetBefore(epoch: number): void;
}

/** What this peer promised and released for one claim. */
interface PromiseState {
  /** The claim isn't released to a taker before this moment. */
  promisedUntil: types.clock.MonotonicMs;
  /** A holder that has seen only this offset or a lower one gets no promise. */
  releasedSeen: number;
}

const NEVER_RELEASED = -1;

/** Creates the state of a process that has promised nothing yet. */
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
    answerPromise: (req) => {
      if (req.epoch < oldestEpoch) {
        return {type: 'refused', reason: `claim ${oldestEpoch} is newer`};
      }
      const state = stateOf(req.epoch);
      // A taker that got a release may claim at any later moment. Only a
      // renewal in the log after the offset that the taker saw invalidates that
      // claim.
      if (req.seen <= state.releasedSeen) {
        return {type: 'refused', reason: `released at ${state.releasedSeen}`};
      }
      const until = types.clock.after(clock.monotonic(), req.promiseMs);
      if (until > state.promisedUntil) state.promisedUntil = until;
      return {type: 'promised'};
    },
    answerWitness: (req) => {
      const state = stateOf(req.epoch);
      const waitMs = state.promisedUntil - clock.monotonic();
      // A promise covers every renewal of the claim, since the holder may not
      // know that its last renewal reached the log.
      if (waitMs > 0) return {type: 'wait', waitMs};
      state.releasedSeen = Math.max(state.releasedSeen, req.seen);
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
