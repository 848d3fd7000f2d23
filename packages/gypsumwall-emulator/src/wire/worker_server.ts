/** HTTP server of one machine's worker. */
import type * as fastify from 'fastify';
import * as types from '@gypsumwall/types';
import * as zod from 'zod';
import type * as worker from '../model/worker.js';
import type * as workerMachine from '../model/worker_machine.js';
import type * as workerOrders from '../model/worker_orders.js';
import type * as workerAttempt from '../model/worker_attempt.js';
import * as httpServer from './http_server.js';

const WRONG_INCARNATION_STATUS = 421;

const nonNegativeInteger = zod.number().int().min(0);
const attemptFields = {
  task: zod.string(),
  attempt: nonNegativeInteger,
  fencingToken: nonNegativeInteger.default(0),
};
const startBody = zod.object({
  ...attemptFields,
  spec: zod.string().default(''),
  // May have a fraction: the entry that sends the call calculates this time
  // from readings of the worker's clock, the `clockMs` of earlier answers.
  expiresMs: zod.number().optional(),
  checkpoint: zod.string().default(''),
  ticket: zod.string().optional(),
});
const stopBody = zod.object(attemptFields);
const holdBody = zod.object({
  fencingToken: nonNegativeInteger.default(0),
  ackCursor: nonNegativeInteger.default(0),
  expiresMs: zod.number().optional(),
  waitMs: nonNegativeInteger.max(2_000).default(0),
});

/**
 * A server that is started before its machine exists, because the machine's
 * options contain the server's address.
 */
export interface WorkerServer extends httpServer.WireServer {
  serveMachine(machine: workerMachine.WorkerMachine): void;
}

/** Options of {@link startWorkerServer}. */
export interface WorkerServerOptions {
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
}

type Order = (target: worker.Worker) => workerOrders.OrderAnswer;

/** Starts a server that has no machine until `serveMachine` is called. */
export async function startWorkerServer({
  clock,
  random,
}: WorkerServerOptions): Promise<WorkerServer> {
  const server = httpServer.createServer();
  let machine: workerMachine.WorkerMachine | undefined;

  /**
   * Returns the worker that the call is for. If that worker doesn't run here,
   * answers the call or closes its connection, and returns undefined.
   */
  function findAddressedWorker(
    req: fastify.FastifyRequest,
    res: fastify.FastifyReply,
  ): worker.Worker | undefined {
    const target = machine?.worker();
    if (target === undefined) {
      res.hijack();
      req.raw.socket.destroy();
      return undefined;
    }
    const expectedId = req.headers['expect-instance'];
    if (expectedId === undefined || expectedId === target.id) return target;
    res.code(WRONG_INCARNATION_STATUS).send({});
    return undefined;
  }

  function carryOutLate(workerId: string, order: Order): void {
    const current = machine?.worker();
    if (current?.id === workerId) order(current);
  }

  async function handleOrder(
    req: fastify.FastifyRequest,
    res: fastify.FastifyReply,
    order: Order,
  ): Promise<fastify.FastifyReply> {
    const target = findAddressedWorker(req, res);
    if (target === undefined) return res;
    const fault = machine?.fault() ?? {type: 'none'};
    switch (fault.type) {
      case 'none':
        return sendOrder(res, target, order(target));
      case 'unhealthy':
        return res.code(503).send({});
      case 'late_orders':
        await types.clock.sleepFor(clock, random.integer(0, fault.maxDelayMs));
        // Possibly the next incarnation, if it has the same id.
        carryOutLate(target.id, order);
        return httpServer.leaveUnanswered(res);
    }
  }

  server.post('/v1/run-start', (req, res) => {
    const body = httpServer.readBody(req, startBody);
    return handleOrder(req, res, (target) =>
      target.start({
        taskId: body.task,
        attempt: body.attempt,
        payload: body.spec,
        leaseUntil: body.expiresMs,
        fencingToken: body.fencingToken,
        checkpoint: body.checkpoint,
        ticket: body.ticket,
      }),
    );
  });
  server.post('/v1/run-stop', (req, res) => {
    const {task, attempt, fencingToken} = httpServer.readBody(req, stopBody);
    const order = {taskId: task, attempt, fencingToken};
    return handleOrder(req, res, (target) => target.stop(order));
  });
  server.post('/v1/hold', async (req, res) => {
    const body = httpServer.readBody(req, holdBody);
    const target = findAddressedWorker(req, res);
    if (target === undefined) return res;
    const answer = await target.hold({
      fencingToken: body.fencingToken,
      acknowledged: body.ackCursor,
      leaseUntil: body.expiresMs,
      waitMs: body.waitMs,
    });
    if (machine?.worker() !== target) {
      res.hijack();
      req.raw.socket.destroy();
      return res;
    }
    return sendHold(res, target, answer);
  });

  const listening = await httpServer.listen(server);
  return {
    ...listening,
    serveMachine: (newMachine) => void (machine = newMachine),
  };
}

/** What every answer says of the worker. */
function describeSelf(target: worker.Worker) {
  return {clockMs: target.clockMs(), born: target.bornMs};
}

function sendOrder(
  res: fastify.FastifyReply,
  target: worker.Worker,
  answer: workerOrders.OrderAnswer,
): fastify.FastifyReply {
  const self = describeSelf(target);
  switch (answer.type) {
    case 'accepted':
      return res.send(self);
    case 'refused':
      return res.code(409).send({...self, reason: answer.reason});
    case 'invalid':
      return res.code(400).send({...self, message: answer.message});
  }
}

function sendHold(
  res: fastify.FastifyReply,
  target: worker.Worker,
  answer: workerOrders.HoldAnswer,
): fastify.FastifyReply {
  const self = describeSelf(target);
  switch (answer.type) {
    case 'refused':
      return res.code(409).send({...self, reason: answer.reason});
    case 'report':
      return res.send({
        ...self,
        running: answer.running.map(encodeRunning),
        finished: answer.ends.map((end) => [
          end.sequence,
          end.taskId,
          end.attempt,
          end.how,
          end.checkpoint,
        ]),
      });
  }
}

/**
 * Encodes an attempt as an array, whose last value is the processor time that
 * the attempt uses, in thousandths of a core.
 */
function encodeRunning(
  running: workerAttempt.WorkerAttempt,
): readonly unknown[] {
  const {taskId, attempt, size} = running;
  return [
    taskId,
    attempt,
    running.checkpoint(),
    running.percent(),
    size.cpuMillis,
  ];
}
