/** HTTP server of the store. Each machine calls its own server. */
import type * as fastify from 'fastify';
import * as zod from 'zod';
import type * as keyedLog from '../model/keyed_log.js';
import * as store from '../model/store.js';
import type * as storeFaults from '../model/store_faults.js';
import * as httpServer from './http_server.js';
import * as recordCodec from './record_codec.js';

/** Prefix of logs that keep the newest record of each key; only these are served. */
const KEYED_PREFIX = 'keyed.';
const PLATFORM_TOPICS: Readonly<Record<string, string>> = {
  [`${KEYED_PREFIX}op`]: store.OPERATOR_TOPIC,
  [`${KEYED_PREFIX}servers`]: store.WORKERS_TOPIC,
};

const topicSchema = zod
  .string()
  .startsWith(KEYED_PREFIX)
  .transform((name) => PLATFORM_TOPICS[name] ?? name);
const nonNegativeInteger = zod.coerce.number().int().min(0);
const logFields = {topic: topicSchema, part: zod.literal('0')};

const appendQuery = zod.object({
  ...logFields,
  at: nonNegativeInteger.optional(),
  producer: zod.string().optional(),
  epoch: nonNegativeInteger.optional(),
  seq: nonNegativeInteger.optional(),
});
const readQuery = zod.object({
  ...logFields,
  from: nonNegativeInteger,
  maxKb: nonNegativeInteger.default(1_024),
  waitMs: nonNegativeInteger.max(30_000).default(0),
});
const newestQuery = zod.object({
  ...logFields,
  after: zod.string().default(''),
});

const BYTES_PER_KB = 1_024;

/** Starts a server for the calls of one machine. */
export async function startStoreServer(
  backend: store.Store,
  caller: string,
): Promise<httpServer.WireServer> {
  const server = httpServer.createServer();
  server.post('/v1/log-append', async (req, res) => {
    const query = appendQuery.parse(req.query);
    const body = (req.body as Buffer | undefined) ?? Buffer.alloc(0);
    const delivery = await backend.append(caller, {
      topic: query.topic,
      entries: recordCodec.decodeEntries(body),
      expectedEndOffset: query.at,
      fence: createFence(query),
    });
    return sendDelivery(res, delivery, (outcome) => sendAppended(res, outcome));
  });
  server.get('/v1/log-read', async (req, res) => {
    const {topic, from, maxKb, waitMs} = readQuery.parse(req.query);
    const maxBytes = maxKb * BYTES_PER_KB;
    const call = {topic, from, maxBytes, waitMs};
    const delivery = await backend.read(caller, call);
    return sendDelivery(res, delivery, (outcome) => sendRead(res, outcome));
  });
  server.get('/v1/log-newest', async (req, res) => {
    const {topic, after} = newestQuery.parse(req.query);
    const delivery = await backend.readNewest(caller, topic, after);
    return sendDelivery(res, delivery, (page) =>
      res.send(createNewestBody(page)),
    );
  });
  return httpServer.listen(server);
}

function createFence({
  producer,
  epoch,
  seq,
}: zod.infer<typeof appendQuery>): keyedLog.Fence | undefined {
  if (producer === undefined) return undefined;
  return {producer, epoch: epoch ?? 0, sequence: seq ?? 0};
}

function sendDelivery<Value>(
  res: fastify.FastifyReply,
  delivery: storeFaults.Delivery<Value>,
  send: (value: Value) => fastify.FastifyReply,
): fastify.FastifyReply {
  switch (delivery.type) {
    case 'answer':
      return send(delivery.value);
    case 'unavailable':
      return res.code(503).send({});
    case 'throttled':
      return res.code(429).send({});
    case 'forbidden':
      return res.code(403).send({});
    case 'lost':
      return httpServer.leaveUnanswered(res);
    case 'failed':
      return res.code(502).send({});
    case 'reset':
      res.raw.socket?.destroy();
      return httpServer.leaveUnanswered(res);
  }
}

function sendAppended(
  res: fastify.FastifyReply,
  outcome: keyedLog.AppendOutcome,
): fastify.FastifyReply {
  switch (outcome.type) {
    case 'appended': {
      const {firstOffset: offset, endOffset} = outcome;
      return res.send({offset, endOffset});
    }
    case 'moved':
      return res.code(412).send({endOffset: outcome.endOffset});
    case 'fenced':
      return res.code(409).send({reason: 'fenced'});
    case 'out_of_sequence':
      return res.code(409).send({reason: 'seq', expected: outcome.expected});
  }
}

function sendRead(
  res: fastify.FastifyReply,
  outcome: keyedLog.ReadOutcome,
): fastify.FastifyReply {
  switch (outcome.type) {
    case 'records':
      return res
        .type('application/octet-stream')
        .send(recordCodec.encodeRead(outcome));
    case 'compacted':
      return res.code(410).send({startOffset: outcome.firstOffset});
  }
}

function createNewestBody({records, hasMore, endOffset}: keyedLog.NewestPage) {
  const items = records.map(({key, value, offset}) => ({
    key,
    value: Buffer.from(value).toString('base64'),
    offset,
  }));
  return {items, hasMore, endOffset};
}
