import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as fakeWorkers from '../__fixtures__/fake_worker.js';
import * as httpServer from '../http_server.js';
import * as lineStream from '../line_stream.js';
import * as peerServers from '../peer_server.js';
import type * as ports from '../ports.js';
import * as workerChannel from '../worker_channel.js';
import * as workerChannelClient from '../worker_channel_client.js';

const {test} = nodeTest;
const POLL = {token: 1, acknowledged: 0, waitMs: 0, timeoutMs: 500};

function startCall(task: string, payload: string): ports.StartCall {
  const taskId = types.ids.brand<types.ids.TaskId>(task);
  const rest = {attempt: 1, token: 1, leaseUntil: 1e9, timeoutMs: 500};
  return {taskId, payload, ...rest};
}

/** Whether the peer is shutting down, and how often that was noticed. */
let isLeaving = false;
let left = 0;

/** Payloads by job, as the peer finds them in the records of jobs. */
const recordedPayloads = new Map<string, string>();
/** Whether the holder sends payloads itself. */
let sendsPayload = true;

type Server = ReturnType<typeof httpServer.createHttpServer>;

async function listen(server: Server): Promise<string> {
  await server.listen({host: '127.0.0.1', port: 0});
  const {port} = server.server.address() as net.AddressInfo;
  return `127.0.0.1:${port}`;
}

/** Runs with a channel to a peer that calls fake workers. */
async function withChannel(
  connect: (name: string) => ports.WorkerLink,
  use: (
    channel: workerChannelClient.WorkerChannel,
    server: Server,
  ) => Promise<void>,
): Promise<number> {
  const world = worlds.createCellWorld();
  const server = peerServers.createPeerServer({
    adviser: {ask: () => assert.fail('unexpected advice request')},
    service: world.addEntry('a').localJobService,
    isBusy: () => false,
    findPayload: (job) => Promise.resolve(recordedPayloads.get(job)),
    isLeaving: () => isLeaving,
    clock: types.clock.createSystemClock(),
    connect: ({id}) => connect(id),
    logger: telemetry.logger.createLogger('silent'),
  });
  let lost = 0;
  const channel = workerChannelClient.openWorkerChannel({
    address: await listen(server),
    loopUtilization: () => 0,
    sendsPayload: () => sendsPayload,
    onLeaving: () => left++,
    clock: types.clock.createSystemClock(),
    onLost: () => lost++,
  });
  try {
    await use(channel, server);
  } finally {
    channel.close();
    server.server.closeAllConnections();
    await server.close();
    world.stop();
  }
  return lost;
}

// Guards against three pieces for each line, with their processor time: the
// answers of peers are most of what a holder reads.
test('the lines of a peer have no frame around them', async () => {
  await withChannel(
    () => assert.fail('unexpected call'),
    async (_channel, server) => {
      const {port} = server.server.address() as net.AddressInfo;
      const path = workerChannel.WORKER_CHANNEL_PATH;
      const headers = {'content-type': lineStream.LINES_TYPE};
      const to = {host: '127.0.0.1', port, path, method: 'POST', headers};
      const req = http.request(to);
      req.flushHeaders();
      const res = await new Promise<http.IncomingMessage>((resolve) =>
        req.once('response', resolve),
      );
      assert.equal(res.headers['transfer-encoding'], undefined);
      assert.equal(res.headers['content-length'], undefined);
      // A peer without answers writes empty lines.
      await new Promise((resolve) => lineStream.readLines(res, resolve));
      const closed = new Promise((resolve) => res.once('close', resolve));
      server.server.closeAllConnections();
      await closed;
    },
  );
});

test('a peer makes the calls of a holder, with the payloads of starts', async () => {
  const worker = fakeWorkers.createFakeWorker('w1', 4);
  const payloads: string[] = [];
  const link = worker.connect();
  const connect = (): ports.WorkerLink => ({
    ...link,
    start(call) {
      payloads.push(call.payload);
      return link.start(call);
    },
  });
  const lost = await withChannel(connect, async (channel) => {
    const calls = ['a', 'a', 'b'].map((payload, nth) => {
      const call = startCall(`t${nth}`, payload);
      return channel.call(worker.info, {type: 'start', call});
    });
    for (const answer of await Promise.all(calls))
      assert.equal(result.isOk(answer) && answer.value.type, 'accepted');
    const poll = {type: 'poll', call: POLL} as const;
    const report = await channel.call(worker.info, poll);
    assert.ok(result.isOk(report) && report.value.type === 'report');
    assert.equal(report.value.running.length, 3);
    const {taskId} = startCall('t0', 'a');
    const stop = {taskId, attempt: 1, token: 1, timeoutMs: 500};
    await channel.call(worker.info, {type: 'stop', call: stop});
  });
  assert.deepEqual(payloads, ['a', 'a', 'b']);
  assert.equal(worker.running.size, 2);
  assert.equal(lost, 1);
});

// Guards against a task that runs without its payload where the holder's link is
// too narrow to send it: a peer without the job's record makes no call.
test('a peer takes payloads that are not sent from the records of jobs', async () => {
  const worker = fakeWorkers.createFakeWorker('w1', 4);
  const payloads: string[] = [];
  const link = worker.connect();
  const connect = (): ports.WorkerLink => ({
    ...link,
    start(call) {
      payloads.push(call.payload);
      return link.start(call);
    },
  });
  recordedPayloads.set('known', 'a');
  sendsPayload = false;
  await withChannel(connect, async (channel) => {
    const known = startCall('known.0.0.0', 'a');
    const started = await channel.call(worker.info, {
      type: 'start',
      call: known,
    });
    assert.equal(result.isOk(started) && started.value.type, 'accepted');
    const call = startCall('unknown.0.0.0', 'b');
    const refused = await channel.call(worker.info, {type: 'start', call});
    assert.ok(result.isErr(refused));
    assert.equal(refused.error.effect, 'not_run');
  });
  sendsPayload = true;
  assert.deepEqual(payloads, ['a']);
});

// Guards against a task that is started twice, because a call that a lost peer
// may have made counted as not made.
test('a call is of unknown effect if its peer is lost', async () => {
  const worker = fakeWorkers.createFakeWorker('w1', 4);
  worker.cut = true;
  const connect = () => worker.connect();
  await withChannel(connect, async (channel, server) => {
    const call = {...startCall('t', 'a'), timeoutMs: 5_000};
    const answer = channel.call(worker.info, {type: 'start', call});
    await new Promise((resolve) => setTimeout(resolve, 200));
    server.server.closeAllConnections();
    const lost = await answer;
    assert.ok(result.isErr(lost));
    assert.equal(lost.error.effect, 'unknown');
    const poll = {type: 'poll', call: POLL} as const;
    const after = await channel.call(worker.info, poll);
    assert.ok(result.isErr(after));
    assert.equal(after.error.effect, 'not_run');
  });
});

// Guards against workers that no one calls while entries of two versions run.
test('a peer of an earlier version has made no call', async () => {
  const server = httpServer.createHttpServer();
  const channel = workerChannelClient.openWorkerChannel({
    address: await listen(server),
    loopUtilization: () => 0,
    sendsPayload: () => true,
    onLeaving: () => left++,
    clock: types.clock.createSystemClock(),
    onLost() {},
  });
  const {info} = fakeWorkers.createFakeWorker('w1', 4);
  const answer = await channel.call(info, {type: 'poll', call: POLL});
  assert.ok(result.isErr(answer));
  assert.equal(answer.error.effect, 'not_run');
  server.server.closeAllConnections();
  await server.close();
});

test('a peer that falls silent is lost', async () => {
  const server = httpServer.createHttpServer();
  server.addContentTypeParser('*', (_req, _body, done) => done(null));
  server.post('/worker-channel', (_req, res) => {
    res.hijack();
    res.raw.writeHead(200);
    res.raw.flushHeaders();
  });
  let isLost = false;
  const channel = workerChannelClient.openWorkerChannel({
    address: await listen(server),
    loopUtilization: () => 0,
    sendsPayload: () => true,
    onLeaving: () => left++,
    clock: types.clock.createSystemClock(),
    onLost: () => (isLost = true),
  });
  const {info} = fakeWorkers.createFakeWorker('w1', 4);
  const call = {...POLL, timeoutMs: 9_000};
  const answer = await channel.call(info, {type: 'poll', call});
  assert.ok(result.isErr(answer) && isLost);
  assert.equal(answer.error.effect, 'unknown');
  server.server.closeAllConnections();
  await server.close();
});

// Guards against a planned stop of a peer that breaks the calls it has open.
test('a peer that is leaving says so and ends its open calls', async () => {
  const worker = fakeWorkers.createFakeWorker('w1', 4);
  const connect = () => worker.connect();
  left = 0;
  await withChannel(connect, async (channel) => {
    const poll = {type: 'poll', call: {...POLL, waitMs: 40}} as const;
    const open = channel.call(worker.info, poll);
    isLeaving = true;
    await worlds.until(() => left > 0, 'the peer says that it leaves');
    assert.ok(result.isOk(await open));
  });
  isLeaving = false;
});
