/** Stand-in for the platform's log and instance list, on one port. */
import * as crypto from 'node:crypto';
import * as timers from 'node:timers/promises';
import type * as fastify from 'fastify';
import * as zod from 'zod';
import type * as platform from '@gypsumwall/platform';
import * as history from './history.js';
import * as logStore from './log_store.js';
import * as machineClock from './machine_clock.js';
import * as standInConfig from './stand_in_config.js';
import * as standInServer from './stand_in_server.js';

const streamParams = zod.object({stream: zod.string().min(1)});

const appendBody = zod.strictObject({
  producer: zod.string().min(1),
  sequence: zod.number().int().min(0),
  bodies: zod.array(zod.string()).min(1),
});

const readQuery = zod.object({
  from: zod.coerce.number().int().min(0),
  limit: zod.coerce.number().int().positive(),
  waitMs: zod.coerce.number().int().min(0),
});

const instancesBody = zod.strictObject({
  /** Passed to the list unchecked; the product's own clients validate them. */
  instances: zod.array(zod.record(zod.string(), zod.unknown())),
});

const viewBody = zod.strictObject({
  view: zod.string(),
  addresses: zod.record(zod.string(), zod.string()),
});

/**
 * Either the first offset to keep, or the number of records to keep from the
 * end.
 */
const dropBody = zod.union([
  zod.strictObject({stream: zod.string(), before: zod.number().int()}),
  zod.strictObject({stream: zod.string(), keep: zod.number().int().min(0)}),
]);

const retentionBody = zod.strictObject({
  keepRecords: zod.number().int().min(0),
  keepMs: zod.number().int().min(0),
});

const LOG_DOWN: standInServer.Refusal = {
  status: 503,
  error: 'unavailable',
  message: 'the log is down',
};

/** Starts the server for the log and the list. */
export async function createPlatformStandIn(
  cfg: standInConfig.PlatformConfig,
): Promise<standInServer.StandIn> {
  const recorded = history.createHistory('platform');
  const server = standInServer.createServer();
  addLogRoutes(server, cfg, recorded);
  addListRoutes(server, cfg);
  standInServer.addHistoryRoute(server, recorded);
  const address = await standInServer.listen(server);
  return {
    control: address,
    addresses: {platform: address},
    close: () => server.close(),
  };
}

function addLogRoutes(
  server: fastify.FastifyInstance,
  cfg: standInConfig.PlatformConfig,
  recorded: history.History,
): void {
  const store = logStore.createLogStore(cfg);
  const waitForAppendSlot = createRateLimiter(cfg.appendsPerSecond);
  let fault: standInConfig.LogFault = {mode: 'up'};

  server.addHook('onRequest', async (req, reply) => {
    if (!req.url.startsWith('/v1/streams/')) return;
    if (fault.mode === 'slow') await timers.setTimeout(fault.delayMs);
    if (fault.mode !== 'down') return;
    return standInServer.refuse(reply, LOG_DOWN);
  });

  /**
   * Whether the answer to this append must be lost; decrements the fault's
   * counter if so.
   */
  const consumeAnswerLoss = (stream: string): boolean => {
    if (fault.mode !== 'lose_answers') return false;
    if (fault.stream !== undefined && fault.stream !== stream) return false;
    const appends = fault.appends - 1;
    fault = appends > 0 ? {...fault, appends} : {mode: 'up'};
    return true;
  };

  server.post('/v1/streams/:stream/records', async (req, reply) => {
    const {stream} = streamParams.parse(req.params);
    const body = appendBody.parse(req.body);
    await waitForAppendSlot();
    const firstOffset = store.append({stream, ...body});
    const answerLost = consumeAnswerLoss(stream);
    recorded.record({
      type: 'records_appended',
      stream,
      producer: body.producer,
      firstOffset,
      count: body.bodies.length,
      answerLost,
    });
    return answerLost ? standInServer.dropConnection(reply) : {firstOffset};
  });

  server.get('/v1/streams/:stream/records', async (req, reply) => {
    const {stream} = streamParams.parse(req.params);
    const {from, limit, waitMs} = readQuery.parse(req.query);
    const page = store.read(stream, from, limit);
    if (page.records.length > 0 || waitMs === 0) return page;
    await store.waitForAppend(stream, waitMs);
    if (fault.mode === 'down') return standInServer.refuse(reply, LOG_DOWN);
    return store.read(stream, from, limit);
  });

  server.post('/control/log', (req) => {
    fault = standInConfig.logFaultSchema.parse(req.body);
    return {};
  });
  server.post('/control/log/drop', (req) => {
    const body = dropBody.parse(req.body);
    const {stream} = body;
    const before =
      'before' in body
        ? body.before
        : store.read(stream, 0, 1).endOffset - body.keep;
    const firstOffset = store.drop(stream, before);
    recorded.record({type: 'records_dropped', stream, firstOffset});
    return {firstOffset};
  });
  server.post('/control/log/retention', (req) => {
    store.setRetention(retentionBody.parse(req.body));
    return {};
  });
  server.get('/control/log', () => ({fault, streams: store.streams()}));
}

/** Delays appends so that all producers share the log's rate limit. */
function createRateLimiter(perSecond: number): () => Promise<void> {
  const intervalMs = 1_000 / perSecond;
  let nextAt = 0;
  return async () => {
    const now = machineClock.machineNow();
    nextAt = Math.max(now, nextAt + intervalMs);
    if (nextAt > now) await timers.setTimeout(nextAt - now);
  };
}

type Instance = Readonly<Record<string, unknown>>;

interface ListSnapshot {
  readonly at: machineClock.MachineMs;
  readonly instances: readonly Instance[];
}

function addListRoutes(
  server: fastify.FastifyInstance,
  cfg: standInConfig.PlatformConfig,
): void {
  const snapshots: ListSnapshot[] = [];
  /**
   * Each entry's view of the list, by the entry's id: for each instance, the
   * address at which this entry reaches it. Except for the entry itself, the
   * address is that of a relay for this pair alone, so that a test can cut a
   * single path.
   */
  const views = new Map<string, Readonly<Record<string, string>>>();
  let lagMs = cfg.listLagMs;

  const listed = (): readonly Instance[] => {
    const asOf = machineClock.machineNow() - lagMs;
    const latest = snapshots.filter((snapshot) => snapshot.at <= asOf).at(-1);
    return latest?.instances ?? [];
  };

  server.get('/v1/instances', (req, reply) =>
    sendWithEtag(req, reply, {instances: listed()}),
  );
  server.get('/views/:view/v1/instances', (req, reply) => {
    const {view} = zod.object({view: zod.string()}).parse(req.params);
    const addresses = views.get(view) ?? {};
    // An instance without a relay yet must not be listed by its real address,
    // because a test couldn't cut the path to that address.
    const instances = listed().flatMap((instance) => {
      const address = addresses[String(instance.id)];
      return address === undefined ? [] : [{...instance, address}];
    });
    return sendWithEtag(req, reply, {instances});
  });

  server.post('/control/instances', (req) => {
    const {instances} = instancesBody.parse(req.body);
    snapshots.push({at: machineClock.machineNow(), instances});
    return {};
  });
  server.get('/control/instances', () => {
    return {instances: snapshots.at(-1)?.instances ?? []};
  });
  server.post('/control/list-lag', (req) => {
    lagMs = zod
      .strictObject({lagMs: zod.number().min(0)})
      .parse(req.body).lagMs;
    return {};
  });
  server.post('/control/views', (req) => {
    const {view, addresses} = viewBody.parse(req.body);
    views.set(view, addresses);
    return {};
  });
}

/** Body of the control call that sets the list's instances. */
export interface InstancesBody {
  readonly instances: readonly platform.instanceList.ListedInstance[];
}

/** Answers with an ETag, or with 304 if the client already has that version. */
function sendWithEtag(
  req: fastify.FastifyRequest,
  reply: fastify.FastifyReply,
  body: object,
): fastify.FastifyReply {
  const text = JSON.stringify(body);
  const digest = crypto.createHash('sha256').update(text).digest('hex');
  const etag = `"${digest}"`;
  void reply.header('etag', etag);
  if (req.headers['if-none-match'] === etag) return reply.status(304).send();
  return reply.type('application/json').send(text);
}
