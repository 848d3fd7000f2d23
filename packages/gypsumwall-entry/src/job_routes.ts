/** Routes that submit, show, list and cancel jobs through any entry. */
import type * as fastify from 'fastify';
import type * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as callContext from './call_context.js';
import * as chooseHome from './choose_home.js';
import type * as entryContext from './entry_context.js';
import * as forwardCall from './forward_call.js';
import * as jobRequest from './job_request.js';
import * as problem from './problem.js';

/** Time limit of a job call whose caller gives none. */
const DEFAULT_TIMEOUT_MS = 5_000;
const MAX_LISTED_JOBS = 1_000;
const RETRY_AFTER_MS = 2_000;

interface JobParams {
  readonly jobId: string;
}

type JobCall = fastify.FastifyRequest<{Params: JobParams}>;

/** Adds the job routes. */
export function addJobRoutes(
  app: fastify.FastifyInstance,
  context: entryContext.EntryContext,
): void {
  app.post('/v1/jobs', (req, res) => submitJob(context, req, res));
  app.get('/v1/jobs', (req, res) => listJobs(context, req, res));
  app.get<{Params: JobParams}>('/v1/jobs/:jobId', (req, res) =>
    showJob(context, req, res),
  );
  app.delete<{Params: JobParams}>('/v1/jobs/:jobId', (req, res) =>
    cancelJob(context, req, res),
  );
}

/** Returns the calling team and the call's deadline, or the refusal. */
function checkCall(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
): result.Result<
  {
    readonly team: types.ids.TeamId;
    readonly deadline: types.clock.MonotonicMs;
  },
  problem.Problem
> {
  return callContext
    .teamOf(context, req)
    .andThen((team) =>
      callContext
        .readDeadline(req, DEFAULT_TIMEOUT_MS, context.clock)
        .map((deadline) => ({team, deadline})),
    );
}

async function submitJob(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
  res: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const checked = checkCall(context, req);
  if (checked.isErr) return problem.send(res, checked.error);
  const {team, deadline} = checked.value;
  const body = callContext.readJson(req);
  const spec = jobRequest.checkJobRequest(body, team);
  if (spec.isErr) {
    return problem.send(res, problem.notRun('invalid', spec.error));
  }
  const givenKey = callContext.readKey(req);
  if (givenKey.isErr) return problem.send(res, givenKey.error);
  const key = givenKey.value ?? callContext.makeKey();
  const home =
    givenKey.value === undefined
      ? context.failureDomain
      : homeOfKey(context, team, key);
  if (home !== context.failureDomain) {
    return forwardSubmission(context, req, res, {
      home,
      key,
      spec: spec.value,
      deadline,
    });
  }
  // Only the holder knows the domain's load and can refuse early. The key makes
  // a submission idempotent: if the holder does not answer, this entry can
  // append the job itself without the risk of accepting it twice.
  const forwarded = await forwardToHolder(context, req, res, deadline, key);
  if (forwarded.type === 'answered') return forwarded.reply;
  const accepted = await context.jobService.submit(
    spec.value,
    key,
    deadline,
    callContext.headerOf(req, 'traceparent'),
  );
  return sendAccepted(forwarded, res, accepted);
}

function sendAccepted(
  forwarded: forwardCall.ForwardResult,
  res: fastify.FastifyReply,
  accepted: result.Result<types.ids.JobId, problem.Problem>,
): fastify.FastifyReply {
  if (accepted.isErr) {
    return forwardCall.sendForwardFailure(forwarded, res, accepted.error);
  }
  return res.status(202).send({jobId: accepted.value});
}

function homeOfKey(
  context: entryContext.EntryContext,
  team: types.ids.TeamId,
  key: types.ids.IdempotencyKey,
): types.ids.FailureDomain {
  const domains = context.config.cell()?.failureDomains ?? [];
  return chooseHome.chooseHome(team, key, domains) ?? context.failureDomain;
}

/**
 * Submits a job at the home of its key. Only the home may accept the key, or
 * there could be two jobs for it. If none of the home's entries is reachable,
 * the record is appended directly to the home's stream.
 */
async function forwardSubmission(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
  res: fastify.FastifyReply,
  job: {
    readonly home: types.ids.FailureDomain;
    readonly key: types.ids.IdempotencyKey;
    readonly spec: types.job.JobSpec;
    readonly deadline: types.clock.MonotonicMs;
  },
): Promise<fastify.FastifyReply> {
  const {home, key, spec, deadline} = job;
  const forwarded = forwardCall.mayForward(context, req)
    ? await forwardCall.forwardCall(context, req, res, {
        peers: forwardCall.peersOfDomain(context, home),
        deadline,
        idempotent: true,
      })
    : forwardCall.NOT_FORWARDED;
  if (forwarded.type === 'answered') return forwarded.reply;
  const accepted = await context.jobService.submitToHome(
    home,
    spec,
    key,
    callContext.headerOf(req, 'traceparent'),
  );
  return sendAccepted(forwarded, res, accepted);
}

/** Forwards a submission to the domain's holder, unless that is this entry. */
async function forwardToHolder(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
  res: fastify.FastifyReply,
  deadline: types.clock.MonotonicMs,
  key: types.ids.IdempotencyKey,
): Promise<forwardCall.ForwardResult> {
  const isHolder = context.scheduler() !== undefined;
  if (isHolder || !forwardCall.mayForward(context, req)) {
    return forwardCall.NOT_FORWARDED;
  }
  return forwardCall.forwardCall(context, req, res, {
    peers: forwardCall.holderOfDomain(context),
    deadline,
    idempotent: true,
    extraHeaders: {'idempotency-key': key},
  });
}

/** Peers that can answer for the job; empty if this entry answers itself. */
function peersForJob(
  context: entryContext.EntryContext,
  jobId: types.ids.JobId,
): forwardCall.PeerChoice {
  const home = types.ids.homeDomainOfJob(jobId);
  if (home !== context.failureDomain) {
    return forwardCall.peersOfDomain(context, home);
  }
  return context.scheduler() === undefined
    ? forwardCall.holderOfDomain(context)
    : [];
}

async function forwardToHome(
  context: entryContext.EntryContext,
  req: JobCall,
  res: fastify.FastifyReply,
  deadline: types.clock.MonotonicMs,
): Promise<forwardCall.ForwardResult> {
  if (!forwardCall.mayForward(context, req)) return forwardCall.NOT_FORWARDED;
  const jobId = types.ids.brand<types.ids.JobId>(req.params.jobId);
  const peers = peersForJob(context, jobId);
  return forwardCall.forwardCall(context, req, res, {
    peers,
    deadline,
    idempotent: true,
  });
}

/** Whether the job's home is another domain, whose jobs are not known here. */
function isHomeElsewhere(
  context: entryContext.EntryContext,
  jobId: types.ids.JobId,
): boolean {
  const home = types.ids.homeDomainOfJob(jobId);
  const domains = context.config.cell()?.failureDomains ?? [];
  return home !== context.failureDomain && domains.includes(home);
}

function homeUnreachable(jobId: types.ids.JobId): problem.Problem {
  return domainUnreachable(types.ids.homeDomainOfJob(jobId));
}

function domainUnreachable(home: types.ids.FailureDomain): problem.Problem {
  const detail = `no entry of failure domain "${home}" is reachable`;
  return problem.notRun('not_ready', detail, RETRY_AFTER_MS);
}

async function showJob(
  context: entryContext.EntryContext,
  req: JobCall,
  res: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const checked = checkCall(context, req);
  if (checked.isErr) return problem.send(res, checked.error);
  const forwarded = await forwardToHome(
    context,
    req,
    res,
    checked.value.deadline,
  );
  if (forwarded.type === 'answered') return forwarded.reply;
  const jobId = types.ids.brand<types.ids.JobId>(req.params.jobId);
  if (isHomeElsewhere(context, jobId)) {
    return problem.send(res, homeUnreachable(jobId));
  }
  const job = context.jobService.view(checked.value.team, jobId);
  if (job !== undefined) return res.send(job);
  return problem.send(res, problem.notRun('not_found', `no job "${jobId}"`));
}

async function listJobs(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
  res: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const checked = checkCall(context, req);
  if (checked.isErr) return problem.send(res, checked.error);
  return res.send({
    failureDomain: context.failureDomain,
    jobs: context.jobService.list(checked.value.team, MAX_LISTED_JOBS),
  });
}

async function cancelJob(
  context: entryContext.EntryContext,
  req: JobCall,
  res: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const checked = checkCall(context, req);
  if (checked.isErr) return problem.send(res, checked.error);
  const {team, deadline} = checked.value;
  const jobId = types.ids.brand<types.ids.JobId>(req.params.jobId);
  if (types.ids.homeDomainOfJob(jobId) !== context.failureDomain) {
    const forwarded = await forwardToHome(context, req, res, deadline);
    if (forwarded.type === 'answered') return forwarded.reply;
    if (isHomeElsewhere(context, jobId)) {
      return forwardCall.sendForwardFailure(
        forwarded,
        res,
        homeUnreachable(jobId),
      );
    }
  }
  const cancelled = await context.jobService.cancel(team, jobId, deadline);
  if (cancelled.isErr) return problem.send(res, cancelled.error);
  return res.status(202).send({jobId});
}
