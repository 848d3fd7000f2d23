/** Forwards calls to peers that should answer them instead of this entry. */
import type * as fastify from 'fastify';
import * as types from '@gypsumwall/types';
import type * as entryContext from './entry_context.js';
import * as forwarder from './forwarder.js';
import * as problem from './problem.js';

/** Addresses of peers to try, in order. */
export type PeerChoice = readonly string[];

/** Addresses of a failure domain's entries, without silent ones. */
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

/** Address of this domain's holder; empty if it is this entry or unknown. */
export function holderOfDomain(context: entryContext.EntryContext): PeerChoice {
  const claim = context.claim();
  if (claim.type !== 'held_by_other') return [];
  return context
    .view()
    .peers.filter((peer) => peer.entryId === claim.holder)
    .filter((peer) => peer.state !== 'silent')
    .map((peer) => peer.address);
}

/** Whether the call may be forwarded once more. */
export function mayForward(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
): boolean {
  return context.forwardMark.read(req.headers).length < forwarder.MAX_HOPS;
}

/** Result of forwarding a call. */
export type ForwardResult =
  /** A peer's answer was sent to the caller. */
  | {readonly type: 'answered'; readonly reply: fastify.FastifyReply}
  /** No peer has received the call. */
  | {readonly type: 'not_taken'}
  /** A peer may have served the call, but its answer was lost. */
  | {readonly type: 'in_doubt'; readonly detail: string};

/** Result for a call that was not sent to any peer. */
export const NOT_FORWARDED: ForwardResult = {type: 'not_taken'};

/**
 * Forwards the call to the peers in order until one answers. After a peer that
 * may have served it, further peers are tried only if the call is idempotent.
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
): Promise<ForwardResult> {
  const via = [...context.forwardMark.read(req.headers), context.self];
  const call: forwarder.ForwardedCall = {
    method: req.method,
    path: req.url,
    headers: {
      ...forwarder.forwardedHeaders(req.headers),
      ...options.extraHeaders,
    },
    body: bodyBytesOf(req),
    via,
  };
  let forwarded = NOT_FORWARDED;
  for (const address of options.peers) {
    const answer = await context.sendToPeer(address, call, options.deadline);
    if (answer.isOk) {
      const {status, headers, body} = answer.value;
      const reply = res.status(status).headers(headers).send(Buffer.from(body));
      return {type: 'answered', reply};
    }
    const {error} = answer;
    context.logger.warn('forward_failed', {
      step: error.step,
      peer: address,
      reason: error.message,
    });
    if (error.effect === 'unknown') {
      forwarded = {
        type: 'in_doubt',
        detail: types.stepError.describeError(error),
      };
      if (!options.idempotent) return forwarded;
    }
  }
  return forwarded;
}

/**
 * Sends the failure of a call that no peer has answered.
 *
 * Failure: a peer serves the call but its answer is lost, and this entry then
 * can't serve the call itself. Symptom: the caller gets `not_run` for work
 * that ran. After a lost answer, `unknown` is the only correct outcome.
 */
export function sendForwardFailure(
  forwarded: ForwardResult,
  res: fastify.FastifyReply,
  failure: problem.Problem,
): fastify.FastifyReply {
  switch (forwarded.type) {
    case 'answered':
      return forwarded.reply;
    case 'not_taken':
      return problem.send(res, failure);
    case 'in_doubt':
      return problem.send(res, problem.unknownOutcome(forwarded.detail));
  }
}

function bodyBytesOf(req: fastify.FastifyRequest): Uint8Array {
  if (req.body === undefined || req.body === null) return new Uint8Array();
  if (Buffer.isBuffer(req.body)) return req.body;
  return Buffer.from(JSON.stringify(req.body));
}
