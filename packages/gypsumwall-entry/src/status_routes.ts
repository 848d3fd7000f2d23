/** Routes for the balancer's health checks and for operators. */
import type * as fastify from 'fastify';
import * as callContext from './call_context.js';
import type * as entryContext from './entry_context.js';
import * as problem from './problem.js';

/** Adds the status routes. */
export function addStatusRoutes(
  app: fastify.FastifyInstance,
  context: entryContext.EntryContext,
): void {
  app.get('/healthz', (_req, res) => res.send({alive: true}));
  app.get('/readyz', (_req, res) => {
    const reason = context.notReadyReason();
    if (reason === undefined) return res.send({ready: true});
    return problem.send(res, problem.notRun('not_ready', reason, 1_000));
  });
  app.get('/v1/status', (req, res) => {
    const operator = callContext.operatorOf(context, req);
    if (operator.isErr) return problem.send(res, operator.error);
    return res.send(describeStatus(context));
  });
  app.post('/v1/drain', (req, res) => {
    const operator = callContext.operatorOf(context, req);
    if (operator.isErr) return problem.send(res, operator.error);
    context.startDrain();
    return res.status(202).send({draining: true});
  });
}

function describeStatus(context: entryContext.EntryContext): object {
  const now = context.clock.monotonic();
  const ageOf = (moment: number | undefined) =>
    moment === undefined ? null : Math.round(now - moment);
  const view = context.view();
  const describeStream = (
    follower: entryContext.EntryContext['configFollower'],
  ) => ({
    nextOffset: follower.nextOffset(),
    caughtUp: follower.isCaughtUp(),
    lastAnswerAgeMs: ageOf(follower.lastAnswerAt()),
  });
  return {
    id: context.self,
    failureDomain: context.failureDomain,
    leaving: context.isLeaving(),
    notReadyBecause: context.notReadyReason() ?? null,
    list: {ageMs: ageOf(view.listFetchedAt), peers: view.peers},
    claim: claimStatus(context),
    streams: {
      config: describeStream(context.configFollower),
      domain: describeStream(context.domainFollower),
      requests: describeStream(context.requestFollower),
    },
    scheduler: context.scheduler()?.status() ?? null,
    router: context.router.status(),
  };
}

/**
 * The claim with the time left instead of its deadline, which is on this
 * process's monotonic clock and means nothing to a reader.
 */
function claimStatus(context: entryContext.EntryContext): object {
  const claim = context.claim();
  if (claim.type !== 'held') return claim;
  const {deadline, ...rest} = claim;
  const leftMs = Math.round(deadline - context.clock.monotonic());
  return {...rest, leftMs};
}
