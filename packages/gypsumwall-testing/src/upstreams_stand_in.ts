/**
 * Stand-in for many upstreams (executors) in one process, each on its own port.
 */
import * as timers from 'node:timers/promises';
import type * as fastify from 'fastify';
import * as zod from 'zod';
import * as history from './history.js';
import * as standInConfig from './stand_in_config.js';
import * as standInServer from './stand_in_server.js';
import * as upstreamAnswer from './upstream_answer.js';

/** Operations with an effect at an authority or a bank that can't be undone. */
const IRREVERSIBLE_OPERATIONS = new Set([
  'file-plan',
  'bill-pilot',
  'book-seat',
  'confirm-appointment',
]);

const REQUEST_ID_HEADER = 'gypsumwall-request-id';
const NOT_RUN_HEADER = 'gypsumwall-not-run';
const BODY_LIMIT_BYTES = 64 * 1024 * 1024;

const executeParams = zod.object({operation: zod.string().min(1)});
const executeHeaders = zod.object({
  [REQUEST_ID_HEADER]: zod.string().min(1),
  'gypsumwall-team': zod.string().min(1),
  'idempotency-key': zod.string().default(''),
});
const upstreamParams = zod.object({id: zod.string()});

interface UpstreamState {
  readonly id: string;
  readonly slots: number;
  fault: standInConfig.UpstreamFault;
  inFlight: number;
  executions: number;
  /**
   * The previous answer, sent in place of the right one while the fault
   * `crossed` is set.
   */
  lastAnswer: Buffer;
}

/** Starts a server for each upstream, and the control server. */
export async function createUpstreamsStandIn(
  cfg: standInConfig.UpstreamsConfig,
): Promise<standInServer.StandIn> {
  const recorded = history.createHistory('upstreams');
  const states = new Map<string, UpstreamState>();
  const servers: fastify.FastifyInstance[] = [];
  const addresses: Record<string, string> = {};
  for (const {id, slots, connections} of cfg.upstreams) {
    const state: UpstreamState = {
      id,
      slots,
      fault: {mode: 'none'},
      inFlight: 0,
      executions: 0,
      lastAnswer: Buffer.from('another answer'),
    };
    states.set(id, state);
    const server = createUpstreamServer(state, recorded);
    server.server.maxConnections = connections;
    server.server.on('drop', () => {
      recorded.record({type: 'connection_dropped', upstreamId: id});
    });
    servers.push(server);
    addresses[id] = await standInServer.listen(server);
  }
  const control = standInServer.createServer();
  control.post('/control/upstreams/:id/fault', (req) => {
    const {id} = upstreamParams.parse(req.params);
    const state = states.get(id);
    if (state === undefined) throw new Error(`no upstream ${id}`);
    state.fault = standInConfig.upstreamFaultSchema.parse(req.body);
    return {};
  });
  standInServer.addHistoryRoute(control, recorded);
  servers.push(control);
  return {
    control: await standInServer.listen(control),
    addresses,
    close: async () => {
      await Promise.all(servers.map((server) => server.close()));
    },
  };
}

function createUpstreamServer(
  state: UpstreamState,
  recorded: history.History,
): fastify.FastifyInstance {
  const server = standInServer.createServer();
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    '*',
    {parseAs: 'buffer', bodyLimit: BODY_LIMIT_BYTES},
    (_req, body, done) => done(null, body),
  );
  server.post('/v1/execute/:operation', async (req, reply) => {
    const headers = executeHeaders.parse(req.headers);
    const requestId = headers[REQUEST_ID_HEADER];
    const refusal = findRefusal(state);
    if (refusal !== undefined) {
      const {why, proved} = refusal;
      const upstreamId = state.id;
      recorded.record({type: 'execution_refused', upstreamId, requestId, why});
      if (proved) reply.header(NOT_RUN_HEADER, 'true');
      return reply.code(429).send({error: 'busy', message: why});
    }
    state.inFlight += 1;
    try {
      return await execute(state, recorded, req, reply);
    } finally {
      state.inFlight -= 1;
    }
  });
  return server;
}

interface UpstreamRefusal {
  readonly why: 'slots' | 'fault';
  readonly proved: boolean;
}

function findRefusal(state: UpstreamState): UpstreamRefusal | undefined {
  if (state.inFlight >= state.slots) return {why: 'slots', proved: true};
  if (state.fault.mode !== 'refusing') return undefined;
  return {why: 'fault', proved: state.fault.proved};
}

async function execute(
  state: UpstreamState,
  recorded: history.History,
  req: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
): Promise<fastify.FastifyReply> {
  const headers = executeHeaders.parse(req.headers);
  const {operation} = executeParams.parse(req.params);
  const body = Buffer.isBuffer(req.body) ? req.body : Buffer.alloc(0);
  const work = upstreamAnswer.parseWork(body);
  state.executions += 1;
  const execution: upstreamAnswer.ExecutionInfo = {
    executionId: `${state.id}-${state.executions}`,
    upstreamId: state.id,
    team: headers['gypsumwall-team'],
    operation,
    bodyHash: upstreamAnswer.sha256Hex(body),
  };
  recorded.record({
    type: 'execution_started',
    ...execution,
    requestId: headers[REQUEST_ID_HEADER],
    key: headers['idempotency-key'],
    authority: IRREVERSIBLE_OPERATIONS.has(operation),
  });
  const delayMs = state.fault.mode === 'slow' ? state.fault.delayMs : 0;
  await timers.setTimeout(work.workMs + delayMs);
  const answer = upstreamAnswer.makeAnswer(execution, work.answerBytes);
  recorded.record({
    type: 'execution_ended',
    upstreamId: state.id,
    executionId: execution.executionId,
    answerHash: upstreamAnswer.sha256Hex(answer),
    bytes: answer.length,
  });
  return send(state, reply, headers[REQUEST_ID_HEADER], answer);
}

function send(
  state: UpstreamState,
  reply: fastify.FastifyReply,
  requestId: string,
  answer: Buffer,
): fastify.FastifyReply {
  const previousAnswer = state.lastAnswer;
  state.lastAnswer = answer;
  void reply.type('application/octet-stream');
  switch (state.fault.mode) {
    case 'none':
    case 'slow':
    case 'refusing':
      return reply.header(REQUEST_ID_HEADER, requestId).send(answer);
    case 'crossed':
      return reply
        .header(REQUEST_ID_HEADER, `not-${requestId}`)
        .send(previousAnswer);
    case 'truncated':
      return sendTruncated(reply, requestId, answer);
    case 'silent':
      return reply.hijack();
  }
}

function sendTruncated(
  reply: fastify.FastifyReply,
  requestId: string,
  answer: Buffer,
): fastify.FastifyReply {
  reply.hijack();
  reply.raw.writeHead(200, {
    [REQUEST_ID_HEADER]: requestId,
    'content-type': 'application/octet-stream',
    'content-length': answer.length,
  });
  const half = answer.subarray(0, Math.floor(answer.length / 2));
  reply.raw.write(half, () => reply.raw.destroy());
  return reply;
}
