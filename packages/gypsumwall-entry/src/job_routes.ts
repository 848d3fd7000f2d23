/** Jobs: submitted, read, listed and cancelled through any entry. */
import type * as fastify from 'fastify';
import type * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as callContext from './call_context.js';
import * as chooseHome from './choose_home.js';
import type * as entryContext from './entry_context.js';
import * as forwardCall from './forward_call.js';
import * as jobRequest from './job_request.js';
import * as problem from './problem.js';

/** Time a job call gets when its caller says nothing. */
const DEFAULT_TIMEOUT_MS = 5_000;
const LIST_LIMIT = 1_000;
const COME_BACK_MS = 2_000;

interface JobParams {
  readonly jobId: string;
}

type JobCall = fastify.FastifyRequest<{Params: JobParams}>;

/** Adds the routes. */
export function addJobRoutes(
  app: fastify.FastifyInstance,
  context: entryContext.EntryContext,
): void {
  app.post('/v1/jobs', (req, res) => submit(context, req, res));
  app.get('/v1/jobs', (req, res) => list(context, req, res));
  app.get<{Params: JobParams}>('/v1/jobs/:jobId', (req, res) =>
    view(context, req, res),
  );
  app.delete<{Params: JobParams}>('/v1/jobs/:jobId', (req, res) =>
    cancel(context, req, res),
  );
}

/** Who calls and until when, or the refusal. */
function check(
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

async function submit(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
  res: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const checked = check(context, req);
  if (checked.isErr) return problem.send(res, checked.error);
  const {team, deadline} = checked.value;
  const body = callContext.readJson(req);
  const spec = jobRequest.checkJobRequest(body, team);
  if (spec.isErr) {
    return problem.send(res, problem.notRun('invalid', spec.error));
  }
  const givenKey = callContext.readKey(req);
  if (givenKey.isErr) return problem.send(res, givenKey.error);
  const key = givenKey.value ?? callContext.newKey();
  const home =
    givenKey.value === undefined
      ? context.failureDomain
      : homeOfKey(context, team, key);
  if (home !== context.failureDomain) {
    return submitAtHome(context, req, res, {
      home,
      key,
      spec: spec.value,
      deadline,
    });
  }
  // The holder keeps the domain's books, so it can refuse early. A submission
  // is idempotent by its key: should the holder not answer, this entry may
  // append the job itself without a risk of taking it twice.
  const handed = await handToHolder(context, req, res, deadline, key);
  if (handed.type === 'answered') return handed.reply;
  const accepted = await context.jobs.submit(
    spec.value,
    key,
    deadline,
    callContext.headerOf(req, 'traceparent'),
  );
  return sendAccepted(handed, res, accepted);
}

function sendAccepted(
  handed: forwardCall.Handed,
  res: fastify.FastifyReply,
  accepted: result.Result<types.ids.JobId, problem.Problem>,
): fastify.FastifyReply {
  if (accepted.isErr) {
    return forwardCall.sendAfter(handed, res, accepted.error);
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
 * Only the home of a key may accept it: another one would be a second job.
 * With no entry of the home in reach, the record goes straight to its stream.
 */
async function submitAtHome(
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
  const handed = forwardCall.mayForward(context, req)
    ? await forwardCall.forwardCall(context, req, res, {
        peers: forwardCall.peersOfDomain(context, home),
        deadline,
        idempotent: true,
      })
    : forwardCall.NOT_TAKEN;
  if (handed.type === 'answered') return handed.reply;
  const accepted = await context.jobs.submitElsewhere(
    home,
    spec,
    key,
    callContext.headerOf(req, 'traceparent'),
  );
  return sendAccepted(handed, res, accepted);
}

/** Hands a submission to the domain's holder, unless it is this entry. */
async function handToHolder(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
  res: fastify.FastifyReply,
  deadline: types.clock.MonotonicMs,
  key: types.ids.IdempotencyKey,
): Promise<forwardCall.Handed> {
  const isHolder = context.scheduler() !== undefined;
  if (isHolder || !forwardCall.mayForward(context, req)) {
    return forwardCall.NOT_TAKEN;
  }
  return forwardCall.forwardCall(context, req, res, {
    peers: forwardCall.holderOfDomain(context),
    deadline,
    idempotent: true,
    extraHeaders: {'idempotency-key': key},
  });
}

/** Whether the answer is to come from another entry, and from whom. */
function peersFor(
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

async function handOn(
  context: entryContext.EntryContext,
  req: JobCall,
  res: fastify.FastifyReply,
  deadline: types.clock.MonotonicMs,
): Promise<forwardCall.Handed> {
  if (!forwardCall.mayForward(context, req)) return forwardCall.NOT_TAKEN;
  const jobId = types.ids.brand<types.ids.JobId>(req.params.jobId);
  const peers = peersFor(context, jobId);
  return forwardCall.forwardCall(context, req, res, {
    peers,
    deadline,
    idempotent: true,
  });
}

/** An entry that can't reach a job's home knows nothing about the job. */
function isForeign(
  context: entryContext.EntryContext,
  jobId: types.ids.JobId,
): boolean {
  const home = types.ids.homeDomainOfJob(jobId);
  const domains = context.config.cell()?.failureDomains ?? [];
  return home !== context.failureDomain && domains.includes(home);
}

function homeUnreachable(jobId: types.ids.JobId): problem.Problem {
  return unreachable(types.ids.homeDomainOfJob(jobId));
}

function unreachable(home: types.ids.FailureDomain): problem.Problem {
  const detail = `no entry of failure domain "${home}" can be reached now`;
  return problem.notRun('not_ready', detail, COME_BACK_MS);
}

async function view(
  context: entryContext.EntryContext,
  req: JobCall,
  res: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const checked = check(context, req);
  if (checked.isErr) return problem.send(res, checked.error);
  const handed = await handOn(context, req, res, checked.value.deadline);
  if (handed.type === 'answered') return handed.reply;
  const jobId = types.ids.brand<types.ids.JobId>(req.params.jobId);
  if (isForeign(context, jobId)) {
    return problem.send(res, homeUnreachable(jobId));
  }
  const found = context.jobs.view(checked.value.team, jobId);
  if (found !== undefined) return res.send(found);
  return problem.send(res, problem.notRun('not_found', `no job "${jobId}"`));
}

async function list(
  context: entryContext.EntryContext,
  req: fastify.FastifyRequest,
  res: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const checked = check(context, req);
  if (checked.isErr) return problem.send(res, checked.error);
  return res.send({
    failureDomain: context.failureDomain,
    jobs: context.jobs.list(checked.value.team, LIST_LIMIT),
  });
}

async function cancel(
  context: entryContext.EntryContext,
  req: JobCall,
  res: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const checked = check(context, req);
  if (checked.isErr) return problem.send(res, checked.error);
  const {team, deadline} = checked.value;
  const jobId = types.ids.brand<types.ids.JobId>(req.params.jobId);
  if (types.ids.homeDomainOfJob(jobId) !== context.failureDomain) {
    const handed = await handOn(context, req, res, deadline);
    if (handed.type === 'answered') return handed.reply;
    if (isForeign(context, jobId)) {
      return forwardCall.sendAfter(handed, res, homeUnreachable(jobId));
    }
  }
  const cancelled = await context.jobs.cancel(team, jobId, deadline);
  if (cancelled.isErr) return problem.send(res, cancelled.error);
  return res.status(202).send({jobId});
}
