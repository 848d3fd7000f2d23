/** Routes for quick requests, each answered by one upstream. */
import * as crypto from 'node:crypto';
import type * as fastify from 'fastify';
import type * as settings from '@gypsumwall/settings';
import * as types from '@gypsumwall/types';
import * as callContext from './call_context.js';
import type * as entryContext from './entry_context.js';
import * as forwardCall from './forward_call.js';
import * as problem from './problem.js';
import * as wholeAnswer from './whole_answer.js';

const REQUEST_ID_HEADER = 'gypsumwall-request-id';

interface Params {
  readonly operation: string;
}

/** A call that has passed all checks. */
interface CheckedCall {
  readonly team: types.ids.TeamId;
  readonly policy: settings.cellTree.OperationPolicy;
  readonly key?: types.ids.IdempotencyKey;
  readonly deadline: types.clock.MonotonicMs;
}

/** Adds the request routes. */
export function addRequestRoutes(
  app: fastify.FastifyInstance,
  context: entryContext.EntryContext,
): void {
  app.post<{Params: Params}>('/v1/requests/:operation', async (req, res) => {
    const checked = checkCall(context, req, req.params.operation);
    if ('reason' in checked) return problem.send(res, checked);
    if (context.isLeaving()) return refuseLeaving(context, req, res, checked);
    if (checked.policy.idempotent) {
      return answerIdempotent(context, req, res, checked);
    }
    return answerOnce(context, req, res, checked);
  });
}

function checkCall(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
  operation: string,
): CheckedCall | problem.Problem {
  const team = callContext.teamOf(context, req);
  if (team.isErr) return team.error;
  const policy = context.config.team(team.value)?.operations[operation];
  if (policy === undefined) {
    return problem.notRun(
      'not_found',
      `team "${team.value}" has no operation "${operation}": add it under ` +
        `teams/${team.value}/operations`,
    );
  }
  const key = callContext.readKey(req);
  if (key.isErr) return key.error;
  if (!policy.idempotent && key.value === undefined) {
    return problem.notRun(
      'invalid',
      `operation "${operation}" may not be repeated: send the header ` +
        'idempotency-key with a key of your own',
    );
  }
  const {clock} = context;
  const deadline = callContext.readDeadline(req, policy.timeoutMs, clock);
  if (deadline.isErr) return deadline.error;
  return {
    team: team.value,
    policy,
    key: key.value,
    deadline: deadline.value,
  };
}

function toRoutedRequest(
  req: fastify.FastifyRequest,
  operation: string,
  checked: CheckedCall,
) {
  return {
    requestId: crypto.randomUUID(),
    team: checked.team,
    operation,
    urgency: checked.policy.urgency,
    idempotent: checked.policy.idempotent,
    key: checked.key,
    estimateMs: checked.policy.estimateMs,
    body: Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0),
    deadline: checked.deadline,
    traceparent: callContext.headerOf(req, 'traceparent'),
  };
}

async function answerIdempotent(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest<{Params: Params}>,
  res: fastify.FastifyReply,
  checked: CheckedCall,
): Promise<fastify.FastifyReply> {
  // An entry that has just started has no share of any upstream's slots yet.
  let forwarded = context.hasSlots()
    ? forwardCall.NOT_FORWARDED
    : await forwardToPeer(context, req, res, checked);
  if (forwarded.type === 'answered') return forwarded.reply;
  const routed = toRoutedRequest(req, req.params.operation, checked);
  const answer = await context.router.route(routed);
  if (answer.isErr) {
    const {error} = answer;
    const lacksUpstream =
      error.type === 'not_run' && error.reason === 'no_upstream';
    if (lacksUpstream && forwarded.type === 'not_taken' && context.hasSlots()) {
      forwarded = await forwardToPeer(context, req, res, checked);
    }
    return forwardCall.sendForwardFailure(
      forwarded,
      res,
      problem.ofOutcome(error),
    );
  }
  const {contentType, contentLength, body} = answer.value;
  void res
    .status(200)
    .type(contentType)
    .header('gypsumwall-outcome', 'done')
    .header(REQUEST_ID_HEADER, routed.requestId);
  // The declared length lets the caller detect an answer that is cut off.
  if (contentLength !== undefined) {
    void res.header('content-length', contentLength);
  }
  return res.send(body);
}

/** Forwards the call to a peer; peers of the same domain are tried first. */
async function forwardToPeer(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
  res: fastify.FastifyReply,
  checked: CheckedCall,
): Promise<forwardCall.ForwardResult> {
  if (!forwardCall.mayForward(context, req)) return forwardCall.NOT_FORWARDED;
  const domainPeers = forwardCall.peersOfDomain(context, context.failureDomain);
  return forwardCall.forwardCall(context, req, res, {
    peers: [...domainPeers, ...peersOfOtherDomains(context)],
    deadline: checked.deadline,
    idempotent: checked.policy.idempotent,
  });
}

function peersOfOtherDomains(
  context: entryContext.EntryContext,
): forwardCall.PeerChoice {
  return context
    .view()
    .peers.filter((peer) => peer.failureDomain !== context.failureDomain)
    .filter((peer) => peer.state === 'live')
    .map((peer) => peer.address);
}

async function answerOnce(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest<{Params: Params}>,
  res: fastify.FastifyReply,
  checked: CheckedCall,
): Promise<fastify.FastifyReply> {
  const routed = toRoutedRequest(req, req.params.operation, checked);
  const {key} = routed;
  // This entry has appended no intent yet, so it is safe to forward the call.
  if (!context.hasSlots()) {
    const forwarded = await forwardToPeer(context, req, res, checked);
    if (forwarded.type === 'answered') return forwarded.reply;
    // The peer may have run the request, so this entry must not try it too.
    if (forwarded.type === 'in_doubt') {
      return problem.send(res, problem.unknownOutcome(forwarded.detail));
    }
  }
  if (key === undefined) throw new Error('a checked call must have a key');
  const answer = await context.runOnce({...routed, key});
  if (answer.isErr) return problem.send(res, answer.error);
  return sendAnswer(res, answer.value, routed.requestId);
}

function sendAnswer(
  res: fastify.FastifyReply,
  answer: wholeAnswer.WholeAnswer,
  requestId: string,
): fastify.FastifyReply {
  return res
    .status(200)
    .type(answer.contentType)
    .header('gypsumwall-outcome', 'done')
    .header(REQUEST_ID_HEADER, requestId)
    .send(Buffer.from(answer.body));
}

/** A leaving entry serves no new requests; it forwards them if a peer can. */
async function refuseLeaving(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
  res: fastify.FastifyReply,
  checked: CheckedCall,
): Promise<fastify.FastifyReply> {
  const forwarded = await forwardToPeer(context, req, res, checked);
  const refusal = problem.notRun('leaving', 'this entry is leaving', 1_000);
  return forwardCall.sendForwardFailure(forwarded, res, refusal);
}
