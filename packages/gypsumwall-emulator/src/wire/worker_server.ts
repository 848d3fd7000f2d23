/** The calls to one machine's worker. */
import type * as fastify from 'fastify';
import * as types from '@gypsumwall/types';
import * as zod from 'zod';
import type * as worker from '../model/worker.js';
import type * as workerMachine from '../model/worker_machine.js';
import type * as workerOrders from '../model/worker_orders.js';
import type * as workerRun from '../model/worker_run.js';
import * as httpServer from './http_server.js';

const OTHER_INCARNATION = 421;

const whole = zod.number().int().min(0);
const runFields = {
  task: zod.string(),
  attempt: whole,
  fencingToken: whole.default(0),
};
const startBody = zod.object({
  ...runFields,
  spec: zod.string().default(''),
  // A holder reckons it from readings of this clock.
  expiresMs: zod.number().optional(),
  checkpoint: zod.string().default(''),
  ticket: zod.string().optional(),
});
const stopBody = zod.object(runFields);
const holdBody = zod.object({
  fencingToken: whole.default(0),
  ackCursor: whole.default(0),
  expiresMs: zod.number().optional(),
  waitMs: whole.max(2_000).default(0),
});

/** A server to which a machine is given once its address is known. */
export interface WorkerServer extends httpServer.WireServer {
  serve(machine: workerMachine.WorkerMachine): void;
}

/** What the server is made with. */
export interface WorkerServerOptions {
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
}

type Order = (life: worker.Worker) => workerOrders.OrderAnswer;

/** Starts a server. */
export async function startWorkerServer({
  clock,
  random,
}: WorkerServerOptions): Promise<WorkerServer> {
  const server = httpServer.createServer();
  let machine: workerMachine.WorkerMachine | undefined;

  /** The worker that the call means; otherwise the call is answered. */
  function addressed(
    req: fastify.FastifyRequest,
    res: fastify.FastifyReply,
  ): worker.Worker | undefined {
    const life = machine?.worker();
    if (life === undefined) {
      res.hijack();
      req.raw.socket.destroy();
      return undefined;
    }
    const wanted = req.headers['expect-instance'];
    if (wanted === undefined || wanted === life.id) return life;
    res.code(OTHER_INCARNATION).send({});
    return undefined;
  }

  async function carryOut(
    req: fastify.FastifyRequest,
    res: fastify.FastifyReply,
    order: Order,
  ): Promise<fastify.FastifyReply> {
    const life = addressed(req, res);
    if (life === undefined) return res;
    const fault = machine?.fault() ?? {type: 'none'};
    switch (fault.type) {
      case 'none':
        return sendOrder(res, life, order(life));
      case 'unhealthy':
        return res.code(503).send({});
      case 'late_orders':
        await types.clock.sleepFor(clock, random.integer(0, fault.latestMs));
        if (machine?.worker() === life) order(life);
        return httpServer.leaveUnanswered(res);
    }
  }

  server.post('/v1/run-start', (req, res) => {
    const body = httpServer.readBody(req, startBody);
    return carryOut(req, res, (life) =>
      life.start({
        taskId: body.task,
        attempt: body.attempt,
        payload: body.spec,
        leaseUntil: body.expiresMs,
        token: body.fencingToken,
        checkpoint: body.checkpoint,
        ticket: body.ticket,
      }),
    );
  });
  server.post('/v1/run-stop', (req, res) => {
    const {task, attempt, fencingToken} = httpServer.readBody(req, stopBody);
    const order = {taskId: task, attempt, token: fencingToken};
    return carryOut(req, res, (life) => life.stop(order));
  });
  server.post('/v1/hold', async (req, res) => {
    const body = httpServer.readBody(req, holdBody);
    const life = addressed(req, res);
    if (life === undefined) return res;
    const shown = await life.hold({
      token: body.fencingToken,
      acknowledged: body.ackCursor,
      leaseUntil: body.expiresMs,
      waitMs: body.waitMs,
    });
    if (machine?.worker() !== life) {
      res.hijack();
      req.raw.socket.destroy();
      return res;
    }
    return sendHold(res, life, shown);
  });

  const listening = await httpServer.listen(server);
  return {...listening, serve: (served) => void (machine = served)};
}

function sendOrder(
  res: fastify.FastifyReply,
  life: worker.Worker,
  answer: workerOrders.OrderAnswer,
): fastify.FastifyReply {
  const clockMs = life.clockMs();
  switch (answer.type) {
    case 'accepted':
      return res.send({clockMs});
    case 'refused':
      return res.code(409).send({clockMs, reason: answer.reason});
    case 'invalid':
      return res.code(400).send({clockMs, message: answer.message});
  }
}

function sendHold(
  res: fastify.FastifyReply,
  life: worker.Worker,
  shown: workerOrders.HoldAnswer,
): fastify.FastifyReply {
  const clockMs = life.clockMs();
  switch (shown.type) {
    case 'refused':
      return res.code(409).send({clockMs, reason: shown.reason});
    case 'report':
      return res.send({
        clockMs,
        running: shown.running.map(runningRow),
        finished: shown.ends.map((end) => [
          end.sequence,
          end.taskId,
          end.attempt,
          end.how,
          end.checkpoint,
        ]),
      });
  }
}

/** The last figure is the processor time in use. */
function runningRow(run: workerRun.WorkerRun): readonly unknown[] {
  const {taskId, attempt, size} = run;
  return [taskId, attempt, run.checkpoint(), run.percent(), size.cpuMillis];
}
