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

/** What became of handing a call on. */
export type ForwardResult =
  /** A peer's answer was passed on to the caller. */
  | {readonly type: 'answered'; readonly reply: fastify.FastifyReply}
  /** No peer has had it. */
  | {readonly type: 'not_taken'}
  /** A peer may have done it, but its answer is lost. */
  | {readonly type: 'in_doubt'; readonly detail: string};

/** A call that no peer was asked to take. */
export const NOT_FORWARDED: ForwardResult = {type: 'not_taken'};

/**
 * Hands the call to the first peer that answers. Once a peer may have taken
 * it, no other one is tried, unless the call is idempotent.
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
    body: rawBody(req),
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
 * Tells the caller of a call that no peer has answered.
 *
 * Failure: a peer takes the call and its answer is lost; this entry then
 * finds itself unable to serve the call. Symptom: the caller is told `not_run`
 * of work that ran. After a lost answer only `unknown` is true.
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

function rawBody(req: fastify.FastifyRequest): Uint8Array {
  if (req.body === undefined || req.body === null) return new Uint8Array();
  if (Buffer.isBuffer(req.body)) return req.body;
  return Buffer.from(JSON.stringify(req.body));
}
