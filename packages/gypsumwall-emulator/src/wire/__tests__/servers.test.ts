import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as undici from 'undici';
import * as emulatorConfig from '../../config/emulator_config.js';
import * as platformModel from '../../model/platform_model.js';
import * as configRecord from '../config_record.js';
import * as listingRecord from '../listing_record.js';
import * as storeServer from '../store_server.js';
import * as workerServer from '../worker_server.js';

const {test} = nodeTest;
const CONFIG = `{
  "zones": ["z"],
  "pools": [
    {
      "name": "p",
      "workersPerZone": 1,
      "capacity": {"cpuMillis": 4000, "memoryMb": 4096},
    },
  ],
  "queues": [{"name": "q", "host": "q.example", "pathPrefix": "/q/", "pool": "p"}],
}`;
const CALLER = 'entry';
const JOB_ID = '5c0e7a21d94b36f8';
/** Exceeds the time of an answer on loopback. */
const RESPONSE_TIMEOUT_MS = 300;

async function startPlatform() {
  const parsed = emulatorConfig.parseEmulatorConfig('test.jsonc', CONFIG);
  assert.ok(parsed.isOk);
  const config = parsed.value;
  const clock = types.clock.createSystemClock();
  const model = platformModel.createPlatformModel({
    clock,
    config,
    encoders: {
      config: configRecord.encodeConfig,
      listing: listingRecord.encodeListing,
    },
  });
  const {random, store} = model;
  const worker = await workerServer.startWorkerServer({clock, random});
  const [place] = platformModel.listMachines(config);
  assert.ok(place !== undefined);
  const machine = model.addMachine(place, worker.address);
  worker.serveMachine(machine);
  const log = await storeServer.startStoreServer(store, CALLER);
  const agent = new undici.Agent();

  async function call(address: string, path: string, body?: string | Buffer) {
    const answer = await undici.request(`http://${address}${path}`, {
      dispatcher: agent,
      method: body === undefined ? 'GET' : 'POST',
      body: body ?? null,
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    const bytes = Buffer.from(await answer.body.arrayBuffer());
    return {status: answer.statusCode, bytes};
  }

  return {
    model,
    machine,
    callStore: (path: string, body?: Buffer) => call(log.address, path, body),
    callWorker: (path: string, body: object) =>
      call(worker.address, path, JSON.stringify(body)),
    async close() {
      model.stop();
      await agent.destroy();
      await Promise.all([log.close(), worker.close()]);
    },
  };
}

type Platform = Awaited<ReturnType<typeof startPlatform>>;

async function withPlatform(runTest: (platform: Platform) => Promise<void>) {
  const platform = await startPlatform();
  try {
    await runTest(platform);
  } finally {
    await platform.close();
  }
}

const parseBody = ({bytes}: {readonly bytes: Buffer}): unknown =>
  JSON.parse(bytes.toString());

/** A record with the key `k` and the value `v`. */
const RECORD = Buffer.from([0, 0, 0, 3, 1, 0x6b, 0x76]);
const APPEND = '/v1/log-append?topic=keyed.t&part=0';

test('a record is appended once, and found by offset and by key', () =>
  withPlatform(async ({callStore}) => {
    const appended = await callStore(`${APPEND}&at=0`, RECORD);
    assert.deepEqual(parseBody(appended), {offset: 0, endOffset: 1});
    const repeated = await callStore(`${APPEND}&at=0`, RECORD);
    assert.equal(repeated.status, 412);
    const read = await callStore('/v1/log-read?topic=keyed.t&part=0&from=0');
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(1n);
    assert.deepEqual(read.bytes, Buffer.concat([head, RECORD]));
    const newest = await callStore('/v1/log-newest?topic=keyed.t&part=0');
    const items = [{key: 'k', value: 'dg==', offset: 0}];
    assert.deepEqual(parseBody(newest), {items, hasMore: false, endOffset: 1});
  }));

test('a lower epoch and a skipped sequence get different answers', () =>
  withPlatform(async ({callStore}) => {
    const appendWithSequence = (epoch: number, seq: number) =>
      callStore(`${APPEND}&producer=h&epoch=${epoch}&seq=${seq}`, RECORD);
    assert.equal((await appendWithSequence(2, 0)).status, 200);
    assert.deepEqual(parseBody(await appendWithSequence(1, 1)), {
      reason: 'fenced',
    });
    const skipped = parseBody(await appendWithSequence(2, 5));
    assert.deepEqual(skipped, {reason: 'seq', expected: 1});
  }));

test('faults of the store apply to the machine that they are set for', () =>
  withPlatform(async ({model, callStore}) => {
    model.store.setFault(CALLER, {type: 'unavailable'});
    assert.equal((await callStore(APPEND, RECORD)).status, 503);
    model.store.setFault(CALLER, {type: 'throttled'});
    assert.equal((await callStore(APPEND, RECORD)).status, 429);
    model.store.setFault(CALLER, {
      type: 'lossy',
      lostShare: 1,
      lateShare: 0,
      maxDelayMs: 0,
    });
    await assert.rejects(callStore(APPEND, RECORD), {name: 'TimeoutError'});
    assert.equal(model.store.log('keyed.t').endOffset(), 1);
    model.store.setFault(CALLER, {type: 'resetting', share: 1});
    await assert.rejects(callStore(APPEND, RECORD), {code: 'UND_ERR_SOCKET'});
    model.store.setFault(CALLER, {type: 'failing', share: 1});
    assert.equal((await callStore(APPEND, RECORD)).status, 502);
    model.store.setFault(CALLER, {type: 'none'});
    const forbidden = '/v1/log-append?topic=keyed.servers&part=0';
    assert.equal((await callStore(forbidden, RECORD)).status, 403);
  }));

const START = {
  task: `${JOB_ID}.0.0.0`,
  attempt: 1,
  spec: 'p',
  expiresMs: 10_000_000,
  fencingToken: 2,
};

function addJob({model}: Platform): void {
  const size = {cpuMillis: 1_000, memoryMb: 100, accelerators: 0};
  const step = {taskCount: 1, size, workMs: 50, after: [], gang: false};
  const steps = [{...step, lasting: false, savesProgress: false}];
  model.catalog.add({jobId: JOB_ID, queue: 'q', payload: 'p', steps});
}

test('a start is carried out and its end reported until it is acknowledged', () =>
  withPlatform(async (platform) => {
    const {callWorker} = platform;
    addJob(platform);
    assert.equal((await callWorker('/v1/run-start', START)).status, 200);
    const held = await callWorker('/v1/hold', {fencingToken: 2, waitMs: 250});
    const {finished} = parseBody(held) as {finished: unknown[]};
    assert.deepEqual(finished, [[1, START.task, 1, 'done', '']]);
    const acknowledged = await callWorker('/v1/hold', {
      fencingToken: 2,
      ackCursor: 1,
    });
    assert.deepEqual(
      (parseBody(acknowledged) as {finished: unknown[]}).finished,
      [],
    );
    const fenced = await callWorker('/v1/hold', {fencingToken: 1});
    assert.equal((parseBody(fenced) as {reason: string}).reason, 'fence');
  }));

test('an order to a faulty machine is refused, or carried out late without an answer', () =>
  withPlatform(async (platform) => {
    const {machine, callWorker} = platform;
    addJob(platform);
    machine.setFault({type: 'unhealthy'});
    assert.equal((await callWorker('/v1/run-start', START)).status, 503);
    assert.deepEqual(machine.worker()?.running(), []);
    machine.setFault({type: 'late_orders', maxDelayMs: 10});
    const late = callWorker('/v1/run-start', START);
    await assert.rejects(late, {name: 'TimeoutError'});
    const held = await callWorker('/v1/hold', {fencingToken: 2});
    assert.equal((parseBody(held) as {finished: unknown[]}).finished.length, 1);
  }));

test('an invalid body is refused with the name of its field', () =>
  withPlatform(async ({callWorker}) => {
    const answer = await callWorker('/v1/run-stop', {task: 7, attempt: 1});
    assert.equal(answer.status, 400);
    assert.match(answer.bytes.toString(), /task/);
  }));
