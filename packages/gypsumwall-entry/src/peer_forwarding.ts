/** Carries calls between entries over the peer service. */
import type * as fastify from 'fastify';
import type * as membership from '@gypsumwall/membership';
import type * as protocol from '@gypsumwall/protocol';
import type * as types from '@gypsumwall/types';
import * as forwarder from './forwarder.js';

/** Time left for the way back of an answer, in milliseconds. */
const WAY_BACK_MS = 20;

/** Makes the sending side. */
export function createSendToPeer(
  clients: membership.peerClients.PeerClients,
  clock: types.clock.Clock,
): forwarder.SendToPeer {
  return async (address, call, deadline) => {
    const leftMs = Math.max(1, Math.floor(deadline - clock.monotonic()));
    const timeoutMs = Math.max(1, leftMs - WAY_BACK_MS);
    const answer = await clients.at(address).forward(
      {
        method: call.method,
        path: call.path,
        headers: {
          ...call.headers,
          'gypsumwall-timeout-ms': String(timeoutMs),
        },
        body: call.body,
        deadlineMs: BigInt(leftMs),
        via: [...call.via],
      },
      leftMs,
    );
    return answer.map(({status, headers, body}) => ({status, headers, body}));
  };
}

/** Serves a call that a peer handed over, by the routes callers use. */
export async function serveForwarded(
  app: fastify.FastifyInstance,
  mark: forwarder.ForwardMark,
  req: protocol.peer.ForwardRequest,
): Promise<{
  status: number;
  headers: Record<string, string>;
  body: Uint8Array;
}> {
  const res = await app.inject({
    method: req.method as 'GET',
    url: req.path,
    headers: {...req.headers, [mark.header]: req.via.join(',')},
    payload: Buffer.from(req.body),
  });
  return {
    status: res.statusCode,
    headers: forwarder.returnedHeaders(res.headers),
    body: res.rawPayload,
  };
}
