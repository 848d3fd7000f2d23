/** Asks the peers named on a claim over the peer service. */
import type * as result from 'true-myth/result';
import type * as types from '@gypsumwall/types';
import type * as claimPeers from './claim_peers.js';
import * as peerClient from './peer_client.js';
import type * as peerClients from './peer_clients.js';

/** Makes the calls. */
export function createClaimCalls(
  clients: peerClients.PeerClients,
): claimPeers.ClaimPeers {
  return {
    promise: async (peer, ask, timeoutMs) => {
      if (peer.address === '') return {type: 'silent'};
      const answer = await clients.clientFor(peer.address).promiseClaim(
        {
          holder: ask.holder,
          epoch: BigInt(ask.epoch),
          seen: BigInt(ask.seen),
          promiseMs: BigInt(Math.ceil(ask.promiseMs)),
        },
        timeoutMs,
      );
      return replyOf(peer, answer, (res) =>
        res.promised
          ? {type: 'promised'}
          : {type: 'refused', reason: res.refusalReason},
      );
    },
    witness: async (peer, ask, timeoutMs) => {
      if (peer.address === '') return {type: 'silent'};
      const answer = await clients.clientFor(peer.address).witnessTakeover(
        {
          taker: ask.taker,
          epoch: BigInt(ask.epoch),
          seen: BigInt(ask.seen),
        },
        timeoutMs,
      );
      return replyOf(peer, answer, (res) =>
        res.released
          ? {type: 'released'}
          : {type: 'wait', waitMs: Number(res.waitMs)},
      );
    },
  };
}

/**
 * The peer's reply, or what its lack means. A refused connection proves that
 * the process ended, since a paused one's kernel still accepts; so does an
 * answer of another process. Any other failure proves nothing.
 */
function replyOf<Response extends {readonly entryId: string}, Reply>(
  peer: claimPeers.NamedPeer,
  answer: result.Result<Response, types.stepError.StepError>,
  read: (res: Response) => Reply,
): Reply | claimPeers.NoReply {
  if (answer.isOk) {
    const isOther = answer.value.entryId !== peer.entryId;
    return isOther ? {type: 'gone'} : read(answer.value);
  }
  return peerClient.isRefusedConnection(answer.error)
    ? {type: 'gone'}
    : {type: 'silent'};
}
