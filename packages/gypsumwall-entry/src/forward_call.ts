/** Chooses a peer for a call that this entry should not answer itself. */
import type * as fastify from 'fastify';
import * as types from '@gypsumwall/types';
import type * as entryContext from './entry_context.js';
import * as forwarder from './forwarder.js';
import * as problem from './problem.js';

/** Addresses of peers to try, the best first. */
export type PeerChoice = readonly string[];

/** Living entries of another failure domain. */
export function peersOfDomain(
  context: entryContext.EntryContext,
  domain: types.ids.FailureDomain,
): PeerChoice {
  return context
    .view()
    .peers.filter((peer) => peer.failureDomain === domain)
    .filter((peer) => peer.state !== 'silent')
    .map((peer) => peer.address);
}

/** The holder of this domain, unless it is this entry or unknown. */
export function holderOfDomain(context: entryContext.EntryContext): PeerChoice {
  const claim = context.claim();
  if (claim.type !== 'held_by_other') return [];
  return context
    .view()
    .peers.filter((peer) => peer.entryId === claim.holder)
    .filter((peer) => peer.state !== 'silent')
    .map((peer) => peer.address);
}

/** Whether this call may be handed on once more. */
export function mayForward(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
): boolean {
  return context.forwardMark.read(req.headers).length < forwarder.MAX_HOPS;
}

/**
 * Hands the call to the first peer that can be reached; undefined when none
 * has taken it. Once a peer may have taken it, no other one is tried, unless
 * the call is idempotent.
 */
export async function forwardCall(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
  res: fastify.FastifyReply,
  options: {
    readonly peers: PeerChoice;
    readonly deadline: types.clock.MonotonicMs;
    readonly idempotent: boolean;
    readonly extraHeaders?: Readonly<Record<string, string>>;
  },
): Promise<fastify.FastifyReply | undefined> {
  const via = [...context.forwardMark.read(req.headers), context.self];
  const call: forwarder.ForwardedCall = {
    method: req.method,
    path: req.url,
    headers: {
      ...forwarder.carriedHeaders(req.headers),
      ...options.extraHeaders,
    },
    body: rawBody(req),
    via,
  };
  for (const address of options.peers) {
    const answer = await context.sendToPeer(address, call, options.deadline);
    if (answer.isOk) {
      return res
        .status(answer.value.status)
        .headers(answer.value.headers)
        .send(Buffer.from(answer.value.body));
    }
    context.logger.warn('forward_failed', {
      step: answer.error.step,
      peer: address,
      reason: answer.error.message,
    });
    if (answer.error.effect === 'unknown' && !options.idempotent) {
      const told = types.stepError.describeError(answer.error);
      return problem.send(res, problem.unknownOutcome(told));
    }
  }
  return undefined;
}

function rawBody(req: fastify.FastifyRequest): Uint8Array {
  if (req.body === undefined || req.body === null) return new Uint8Array();
  if (Buffer.isBuffer(req.body)) return req.body;
  return Buffer.from(JSON.stringify(req.body));
}
