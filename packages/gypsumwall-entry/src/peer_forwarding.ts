/** Forwards calls between entries over the peer service. */
import type * as fastify from 'fastify';
import type * as membership from '@gypsumwall/membership';
import type * as protocol from '@gypsumwall/protocol';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as forwarder from './forwarder.js';

/** Time reserved for the answer's return, in milliseconds. */
const RETURN_MARGIN_MS = 20;

/** Options of `createSendToPeer`. */
export interface SendToPeerOptions {
  readonly clients: membership.peerClients.PeerClients;
  readonly clock: types.clock.Clock;
  readonly tracer: telemetry.tracing.Tracer;
}

/** Creates the function that sends a call to a peer. */
export function createSendToPeer(
  options: SendToPeerOptions,
): forwarder.SendToPeer {
  const {clients, clock, tracer} = options;
  return async (address, call, deadline) => {
    const remainingMs = Math.max(1, Math.floor(deadline - clock.monotonic()));
    const timeoutMs = Math.max(1, remainingMs - RETURN_MARGIN_MS);
    const span = tracer.startSpan('peer.forward', call.headers['traceparent'], {
      peer: address,
    });
    const answer = await clients.clientFor(address).forward(
      {
        method: call.method,
        path: call.path,
        headers: {
          ...call.headers,
          'gypsumwall-timeout-ms': String(timeoutMs),
          traceparent: span.traceparent,
        },
        body: call.body,
        deadlineMs: BigInt(remainingMs),
        via: [...call.via],
      },
      remainingMs,
    );
    span.end(
      answer.isErr ? types.stepError.describeError(answer.error) : undefined,
    );
    return answer.map(({status, headers, body}) => ({status, headers, body}));
  };
}

/** Serves a call forwarded by a peer, using the routes that callers use. */
export async function serveForwarded(
  app: fastify.FastifyInstance,
  forwardMark: forwarder.ForwardMark,
  req: protocol.peer.ForwardRequest,
): Promise<{
  status: number;
  headers: Record<string, string>;
  body: Uint8Array;
}> {
  const res = await app.inject({
    method: req.method as 'GET',
    url: req.path,
    headers: {...req.headers, [forwardMark.header]: req.via.join(',')},
    payload: Buffer.from(req.body),
  });
  return {
    status: res.statusCode,
    headers: forwarder.returnedHeaders(res.headers),
    body: res.rawPayload,
  };
}
