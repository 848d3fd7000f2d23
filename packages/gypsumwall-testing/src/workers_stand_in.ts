/** Stand-in for many workers in one process, each on its own port. */
import type * as fastify from 'fastify';
import * as zod from 'zod';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import * as history from './history.js';
import * as standInConfig from './stand_in_config.js';
import * as standInServer from './stand_in_server.js';
import * as workerModel from './worker_model.js';

const epoch = zod.number().int();
const holderCallFields = {epoch, incarnation: zod.string()};
const attemptRef = zod.object({taskId: zod.string(), attempt: zod.string()});

const attachBody = zod.strictObject({epoch, holder: zod.string()});
const startBody = zod.strictObject({
  ...holderCallFields,
  startBy: zod.number(),
  tasks: zod.array(
    zod.strictObject({
      taskId: zod.string(),
      attempt: zod.string(),
      size: standInConfig.resourcesSchema,
      work: zod.object({
        command: zod.string(),
        args: zod.record(
          zod.string(),
          zod.union([zod.string(), zod.number(), zod.boolean()]),
        ),
      }),
      leaseUntil: zod.number(),
    }),
  ),
});
const heartbeatBody = zod.strictObject({
  ...holderCallFields,
  leaseUntil: zod.number(),
  acknowledged: zod.array(zod.string()),
});
const stopBody = zod.strictObject({
  ...holderCallFields,
  attempts: zod.array(attemptRef),
});
const throttleBody = zod.strictObject({
  ...holderCallFields,
  attempt: zod.string(),
  cpuMillis: zod.number().min(0),
});
const checkpointBody = zod.strictObject({
  ...holderCallFields,
  attempt: zod.string(),
});

/**
 * State of one worker: its model, its fault, and the promise that calls to a
 * frozen worker wait for.
 */
interface WorkerState {
  readonly model: workerModel.WorkerModel;
  fault: standInConfig.WorkerFault;
  thawed: Promise<void>;
  thaw: () => void;
}

const workerParams = zod.object({id: zod.string()});

/** Starts a server for each worker, and the control server. */
export async function createWorkersStandIn(
  cfg: standInConfig.WorkersConfig,
): Promise<standInServer.StandIn> {
  const recorded = history.createHistory('workers');
  const random = types.random.createRandom(cfg.seed);
  const checkpoints = new Map<string, number>();
  const states = new Map<string, WorkerState>();
  const servers: fastify.FastifyInstance[] = [];
  const addresses: Record<string, string> = {};

  for (const worker of cfg.workers) {
    const {usageLagMs} = cfg;
    const model = workerModel.createWorkerModel({
      ...worker,
      usageLagMs,
      random,
      recorded,
      checkpoints,
    });
    const state: WorkerState = {
      model,
      fault: {mode: 'none'},
      thawed: Promise.resolve(),
      thaw: () => undefined,
    };
    states.set(worker.id, state);
    const server = createWorkerServer(worker.id, state, recorded);
    servers.push(server);
    addresses[worker.id] = await standInServer.listen(server);
  }
  const control = createControlServer(states, recorded);
  servers.push(control);
  return {
    control: await standInServer.listen(control),
    addresses,
    close: async () => {
      await Promise.all(servers.map((server) => server.close()));
    },
  };
}

function createControlServer(
  states: ReadonlyMap<string, WorkerState>,
  recorded: history.History,
): fastify.FastifyInstance {
  const server = standInServer.createServer();
  const stateOf = (req: fastify.FastifyRequest): WorkerState => {
    const {id} = workerParams.parse(req.params);
    const state = states.get(id);
    if (state === undefined) throw new Error(`no worker ${id}`);
    return state;
  };
  server.post('/control/workers/:id/fault', (req) => {
    setFault(stateOf(req), standInConfig.workerFaultSchema.parse(req.body));
    return {};
  });
  server.post('/control/workers/:id/restart', (req) => {
    stateOf(req).model.restart();
    return {};
  });
  standInServer.addHistoryRoute(server, recorded);
  return server;
}

function setFault(state: WorkerState, fault: standInConfig.WorkerFault): void {
  state.fault = fault;
  state.model.setFailsAll(fault.mode === 'fail_all');
  state.thaw();
  if (fault.mode !== 'frozen') return;
  state.thawed = new Promise((resolve) => {
    state.thaw = resolve;
  });
}

function createWorkerServer(
  id: string,
  state: WorkerState,
  recorded: history.History,
): fastify.FastifyInstance {
  const {model} = state;
  const server = standInServer.createServer(({error, message}, call) => {
    recorded.record({
      type: 'worker_refused',
      workerId: id,
      call,
      error,
      message,
    });
  });
  // A frozen process answers no calls; it executes those that it already
  // received once it resumes.
  server.addHook('preHandler', () => state.thawed);

  server.post('/v1/attach', (req) => {
    return model.attach(attachBody.parse(req.body).epoch);
  });
  server.post('/v1/start', (req, reply) => {
    const body = startBody.parse(req.body);
    const tasks = body.tasks as unknown as platform.worker.StartTask[];
    const answers = model.start(toHolderCall(body), body.startBy, tasks);
    if (state.fault.mode !== 'lose_start_answers') return {answers};
    const starts = state.fault.starts - 1;
    state.fault = starts > 0 ? {...state.fault, starts} : {mode: 'none'};
    return standInServer.dropConnection(reply);
  });
  server.post('/v1/heartbeat', (req) => {
    const body = heartbeatBody.parse(req.body);
    return model.heartbeat(
      toHolderCall(body),
      body.leaseUntil,
      body.acknowledged,
    );
  });
  server.post('/v1/stop', (req) => {
    const body = stopBody.parse(req.body);
    model.stop(toHolderCall(body), body.attempts);
    return {};
  });
  server.post('/v1/throttle', (req) => {
    const body = throttleBody.parse(req.body);
    model.throttle(toHolderCall(body), body.attempt, body.cpuMillis);
    return {};
  });
  server.post('/v1/checkpoint', (req) => {
    const body = checkpointBody.parse(req.body);
    model.checkpoint(toHolderCall(body), body.attempt);
    return {};
  });
  return server;
}

function toHolderCall(body: {
  epoch: number;
  incarnation: string;
}): platform.worker.HolderCall {
  return {
    epoch: body.epoch,
    incarnation: types.ids.brand<types.ids.WorkerIncarnation>(body.incarnation),
  };
}
