/** Calls the peers named on a claim over the peer service. */
import type * as result from 'true-myth/result';
import type * as types from '@gypsumwall/types';
import type * as claimPeers from './claim_peers.js';
import * as peerClient from './peer_client.js';
import type * as peerClients from './peer_clients.js';

/** Creates the calls on the given clients. */
export function createClaimCalls(
  clients: peerClients.PeerClients,
): claimPeers.ClaimPeers {
  return {
    requestPromise: async (peer, req, timeoutMs) => {
      if (peer.address === '') return {type: 'silent'};
      const answer = await clients.clientFor(peer.address).promiseClaim(
        {
          holder: req.holder,
          epoch: BigInt(req.epoch),
          seen: BigInt(req.seen),
          promiseMs: BigInt(Math.ceil(req.promiseMs)),
        },
        timeoutMs,
      );
      return toReply(peer, answer, (res) =>
        res.promised
          ? {type: 'promised'}
          : {type: 'refused', reason: res.refusalReason},
      );
    },
    requestWitness: async (peer, req, timeoutMs) => {
      if (peer.address === '') return {type: 'silent'};
      const answer = await clients.clientFor(peer.address).witnessTakeover(
        {
          taker: req.taker,
          epoch: BigInt(req.epoch),
          seen: BigInt(req.seen),
        },
        timeoutMs,
      );
      return toReply(peer, answer, (res) =>
        res.released
          ? {type: 'released'}
          : {type: 'wait', waitMs: Number(res.waitMs)},
      );
    },
  };
}

/**
 * The peer's reply, or what a missing reply means. A refused connection proves
 * that the process ended, since the kernel still accepts connections for a
 * paused process. An answer of another process proves it too. Any other failure
 * proves nothing.
 */
function toReply<Response extends {readonly entryId: string}, Reply>(
  peer: claimPeers.NamedPeer,
  answer: result.Result<Response, types.stepError.StepError>,
  parse: (res: Response) => Reply,
): Reply | claimPeers.NoReply {
  if (answer.isOk) {
    const isOtherProcess = answer.value.entryId !== peer.entryId;
    return isOtherProcess ? {type: 'gone'} : parse(answer.value);
  }
  return peerClient.isRefusedConnection(answer.error)
    ? {type: 'gone'}
    : {type: 'silent'};
}
