/**
 * Checks that the platform's HTTP clients and the stand-ins agree on
 * docs/PLATFORM.md: each test calls a stand-in through the client that the
 * product uses.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as result from 'true-myth/result';
import * as undici from 'undici';
import * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import * as platformStandIn from '../platform_stand_in.js';
import * as standInConfig from '../stand_in_config.js';
import type * as standInServer from '../stand_in_server.js';
import * as upstreamsStandIn from '../upstreams_stand_in.js';
import * as workersStandIn from '../workers_stand_in.js';

const TIMEOUT_MS = 2_000;

function unwrap<Value, Err>(answer: result.Result<Value, Err>): Value {
  if (answer.isErr) assert.fail(JSON.stringify(answer.error));
  return answer.value;
}

function unwrapError<Value, Err>(answer: result.Result<Value, Err>): Err {
  if (answer.isOk) assert.fail(`no error: ${JSON.stringify(answer.value)}`);
  return answer.error;
}

async function control(
  standIn: standInServer.StandIn,
  path: string,
  body: unknown,
): Promise<void> {
  const res = await undici.request(`${standIn.control}/control/${path}`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
  assert.equal(res.statusCode, 200, await res.body.text());
}

async function startPlatform(test: nodeTest.TestContext, listLagMs = 0) {
  const cfg = {kind: 'platform' as const, listLagMs};
  const standIn = await platformStandIn.createPlatformStandIn(
    standInConfig.platformConfigSchema.parse(cfg),
  );
  test.after(() => standIn.close());
  const url = standIn.control;
  const log = platform.httpPlatformLog.createHttpPlatformLog({
    url,
    timeoutMs: TIMEOUT_MS,
  });
  return {standIn, url, log};
}

nodeTest.describe('log', () => {
  nodeTest.test('appends in order and reads from an offset', async (test) => {
    const {log} = await startPlatform(test);
    const append = (producer: string, bodies: string[]) =>
      log.append({stream: 'domain.bkk-a', producer, sequence: 5, bodies});
    assert.equal(unwrap(await append('a', ['x', 'y'])).firstOffset, 0);
    assert.equal(unwrap(await append('b', ['z'])).firstOffset, 2);
    const page = unwrap(
      await log.read({stream: 'domain.bkk-a', from: 1, limit: 9, waitMs: 0}),
    );
    assert.deepEqual(page.records, [
      {offset: 1, producer: 'a', sequence: 6, body: 'y'},
      {offset: 2, producer: 'b', sequence: 5, body: 'z'},
    ]);
    assert.equal(page.nextOffset, 3);
    assert.equal(page.endOffset, 3);
  });

  nodeTest.test('resolves a waiting read on an append', async (test) => {
    const {log} = await startPlatform(test);
    const read = log.read({stream: 's', from: 0, limit: 9, waitMs: 1_500});
    const append = {stream: 's', producer: 'a', sequence: 0, bodies: ['x']};
    unwrap(await log.append(append));
    assert.equal(unwrap(await read).records.length, 1);
  });

  nodeTest.test('reads from the oldest retained record', async (test) => {
    const {log, standIn} = await startPlatform(test);
    const bodies = ['a', 'b', 'c'];
    unwrap(await log.append({stream: 's', producer: 'p', sequence: 0, bodies}));
    await control(standIn, 'log/drop', {stream: 's', before: 2});
    const page = unwrap(
      await log.read({stream: 's', from: 0, limit: 9, waitMs: 0}),
    );
    assert.equal(page.firstOffset, 2);
    assert.deepEqual(
      page.records.map((record) => record.body),
      ['c'],
    );
  });

  nodeTest.test('loses the answer of an append that ran', async (test) => {
    // The caller sees a broken connection. The record was appended before, so
    // the client must not report this append as `not_run`.
    const {log, standIn} = await startPlatform(test);
    await control(standIn, 'log', {mode: 'lose_answers', appends: 1});
    const append = {stream: 's', producer: 'p', sequence: 0, bodies: ['x']};
    assert.equal(unwrapError(await log.append(append)).effect, 'unknown');
    const page = unwrap(
      await log.read({stream: 's', from: 0, limit: 9, waitMs: 0}),
    );
    assert.equal(page.records.length, 1);
  });

  nodeTest.test('is unavailable and recovers', async (test) => {
    const {log, standIn} = await startPlatform(test);
    const read = () => log.read({stream: 's', from: 0, limit: 1, waitMs: 0});
    await control(standIn, 'log', {mode: 'down'});
    assert.equal(unwrapError(await read()).kind, 'refused');
    await control(standIn, 'log', {mode: 'up'});
    unwrap(await read());
  });
});

nodeTest.test('an unchanged list is not sent again', async (test) => {
  const {standIn, url} = await startPlatform(test);
  const list = platform.httpInstanceList.createHttpInstanceList({
    url,
    timeoutMs: TIMEOUT_MS,
  });
  const entry = {kind: 'entry', id: 'e1', failureDomain: 'bkk-a'};
  const live = {...entry, address: 'http://127.0.0.1:1', state: 'live'};
  await control(standIn, 'instances', {instances: [live]});
  const first = unwrap(await list.fetch());
  assert.equal(first[0]?.state, 'live');
  assert.equal(unwrap(await list.fetch()), first);
  const leaving = {...live, state: 'leaving'};
  await control(standIn, 'instances', {instances: [leaving]});
  assert.equal(unwrap(await list.fetch())[0]?.state, 'leaving');
});

nodeTest.test('the list lags and maps addresses for a view', async (test) => {
  const {standIn, url} = await startPlatform(test);
  const fetch = (listUrl: string) =>
    platform.httpInstanceList
      .createHttpInstanceList({url: listUrl, timeoutMs: TIMEOUT_MS})
      .fetch();
  const instance = {
    kind: 'upstream',
    id: 'u1',
    failureDomain: 'bkk-a',
    address: 'http://127.0.0.1:1',
    state: 'live',
    slots: 8,
    connections: 64,
  };
  await control(standIn, 'instances', {instances: [instance]});
  const addresses = {u1: 'http://127.0.0.1:2'};
  await control(standIn, 'views', {view: 'e1', addresses});
  assert.equal(unwrap(await fetch(url))[0]?.address, instance.address);
  assert.deepEqual(unwrap(await fetch(`${url}/views/e2`)), []);
  const seen = unwrap(await fetch(`${url}/views/e1`));
  assert.equal(seen[0]?.address, addresses.u1);
  await control(standIn, 'list-lag', {lagMs: 60_000});
  assert.deepEqual(unwrap(await fetch(url)), []);
});

const CAPACITY = {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0};
const SIZE = {cpuMillis: 1_000, memoryMb: 512, accelerators: 0};
const CLOCK_OFFSET_MS = -123_456;

async function startWorker(test: nodeTest.TestContext) {
  const worker = {
    id: 'w1',
    capacity: CAPACITY,
    clockOffsetMs: CLOCK_OFFSET_MS,
  };
  const cfg = {kind: 'workers' as const, usageLagMs: 0, workers: [worker]};
  const standIn = await workersStandIn.createWorkersStandIn(
    standInConfig.workersConfigSchema.parse(cfg),
  );
  test.after(() => standIn.close());
  const client = platform.httpWorker.createHttpWorker({
    id: types.ids.brand('w1'),
    address: standIn.addresses.w1 ?? '',
    timeoutMs: TIMEOUT_MS,
    dispatcher: new undici.Agent(),
  });
  const attached = unwrap(
    await client.attach(7, types.ids.brand<types.ids.EntryId>('e1')),
  );
  const call = {epoch: 7, incarnation: attached.incarnation};
  const at = (spanMs: number) => types.clock.after(attached.now, spanMs);
  return {standIn, client, attached, call, at};
}

function makeTask(
  attempt: string,
  leaseUntil: platform.worker.WorkerMs,
  runMs: number,
): platform.worker.StartTask {
  const work = {command: 'plan', args: {runMs, result: 'made'}};
  const taskId = types.ids.brand<types.ids.TaskId>('bkk-a.j/0');
  return {
    taskId,
    attempt: types.ids.brand(attempt),
    size: SIZE,
    work,
    leaseUntil,
  };
}

/** Repeats a call until it returns a value; the test's own timeout ends it. */
async function until<Value>(
  ask: () => Promise<Value | undefined>,
): Promise<Value> {
  for (;;) {
    const value = await ask();
    if (value !== undefined) return value;
  }
}

nodeTest.describe('worker', {timeout: 20_000}, () => {
  nodeTest.test('runs a task and repeats its end', async (test) => {
    const {client, call, at, attached} = await startWorker(test);
    assert.deepEqual(attached.capacity, CAPACITY);
    const task = makeTask('7.1', at(9_000), 500);
    const start = () => client.start(call, at(9_000), [task]);
    assert.deepEqual(unwrap(await start()), [{type: 'started'}]);
    assert.deepEqual(unwrap(await start()), [{type: 'started'}]);
    const heartbeat = async (acknowledged: types.ids.AttemptId[]) =>
      unwrap(await client.heartbeat(call, at(9_000), acknowledged));
    const end = await until(async () => (await heartbeat([])).finished[0]);
    assert.deepEqual(end.end, {type: 'done', result: 'made'});
    assert.equal((await heartbeat([])).finished.length, 1);
    assert.equal((await heartbeat([task.attempt])).finished.length, 0);
    assert.equal(unwrap(await start())[0]?.type, 'refused');
  });

  nodeTest.test('stops a task whose lease expires', async (test) => {
    const {client, call, at} = await startWorker(test);
    const task = makeTask('7.1', at(50), 60_000);
    unwrap(await client.start(call, at(1_000), [task]));
    // Polls with attach, which renews no lease.
    const end = await until(async () => {
      const holder = types.ids.brand<types.ids.EntryId>('e1');
      return unwrap(await client.attach(7, holder)).finished[0];
    });
    assert.equal(end.end.type, 'stopped');
  });

  nodeTest.test(
    'refuses old epochs, old incarnations and late starts',
    async (test) => {
      const {client, call, at, standIn} = await startWorker(test);
      const task = makeTask('7.1', at(9_000), 60_000);
      const late = await client.start(call, at(-1), [task]);
      assert.equal(unwrapError(late).kind, 'too_late');
      const newer = types.ids.brand<types.ids.EntryId>('e2');
      unwrap(await client.attach(8, newer));
      const stale = unwrapError(await client.start(call, at(9_000), [task]));
      assert.equal(stale.kind, 'stale_epoch');
      assert.equal(stale.effect, 'not_run');
      await control(standIn, 'workers/w1/restart', {});
      const again = {...call, epoch: 8};
      const wrong = await client.start(again, at(9_000), [task]);
      assert.equal(unwrapError(wrong).kind, 'conflict');
    },
  );

  nodeTest.test('never starts an attempt after its stop', async (test) => {
    const {client, call, at} = await startWorker(test);
    const task = makeTask('7.1', at(9_000), 60_000);
    unwrap(await client.stop(call, [task]));
    const answers = unwrap(await client.start(call, at(9_000), [task]));
    assert.equal(answers[0]?.type, 'refused');
  });

  nodeTest.test('throttles, reports usage and checkpoints', async (test) => {
    const {client, call, at} = await startWorker(test);
    const task = makeTask('7.1', at(9_000), 60_000);
    unwrap(await client.start(call, at(9_000), [task]));
    unwrap(await client.throttle(call, task.attempt, 250));
    const heartbeat = unwrap(await client.heartbeat(call, at(9_000), []));
    assert.equal(heartbeat.usage[0]?.used.cpuMillis, 250);
    unwrap(await client.checkpoint(call, task.attempt));
    const after = unwrap(await client.heartbeat(call, at(9_000), []));
    assert.equal(after.finished[0]?.end.type, 'stopped');
  });

  nodeTest.test('loses the answer of a start that ran', async (test) => {
    // The holder sees a broken connection, but the task runs: the next
    // heartbeat or attach shows it, and a repeated start is answered as
    // started.
    const {client, call, at, standIn} = await startWorker(test);
    const fault = {mode: 'lose_start_answers', starts: 1};
    await control(standIn, 'workers/w1/fault', fault);
    const task = makeTask('7.1', at(9_000), 60_000);
    const lost = unwrapError(await client.start(call, at(9_000), [task]));
    assert.equal(lost.effect, 'unknown');
    const heartbeat = unwrap(await client.heartbeat(call, at(9_000), []));
    assert.equal(heartbeat.running[0]?.attempt, task.attempt);
  });
});

async function startUpstream(test: nodeTest.TestContext) {
  const upstream = {id: 'u1', slots: 2, connections: 8};
  const standIn = await upstreamsStandIn.createUpstreamsStandIn({
    kind: 'upstreams',
    upstreams: [upstream],
  });
  const clock = types.clock.createSystemClock();
  const client = platform.httpUpstream.createHttpUpstream({
    id: types.ids.brand('u1'),
    address: standIn.addresses.u1 ?? '',
    connections: 8,
    clock,
  });
  test.after(async () => {
    await standIn.close();
    await client.close();
  });
  const send = (requestId: string, work: object) =>
    client.execute({
      requestId,
      team: types.ids.brand('counter'),
      operation: 'airspace-check',
      body: Buffer.from(JSON.stringify(work)),
      deadline: types.clock.after(clock.monotonic(), TIMEOUT_MS),
    });
  return {standIn, send};
}

nodeTest.describe('upstream', () => {
  nodeTest.test('answers up to its slots and refuses more', async (test) => {
    const {send} = await startUpstream(test);
    const sent = [1, 2, 3].map((n) =>
      send(`r${n}`, {workMs: 200, answerBytes: 100_000}),
    );
    const answers = await Promise.all(sent);
    const effects = answers.flatMap((answer) =>
      answer.isErr ? [answer.error.effect] : [],
    );
    assert.deepEqual(effects, ['not_run']);
    const complete = answers.find((answer) => answer.isOk);
    assert.ok(complete?.isOk);
    const chunks = await complete.value.body.toArray();
    assert.equal(Buffer.concat(chunks as Buffer[]).length, 100_000);
  });

  nodeTest.test('a crossed answer is an unknown outcome', async (test) => {
    const {send, standIn} = await startUpstream(test);
    await control(standIn, 'upstreams/u1/fault', {mode: 'crossed'});
    const err = unwrapError(await send('r1', {}));
    assert.equal(err.kind, 'invalid');
    assert.equal(err.effect, 'unknown');
  });

  nodeTest.test('reading a truncated answer fails', async (test) => {
    const {send, standIn} = await startUpstream(test);
    await control(standIn, 'upstreams/u1/fault', {mode: 'truncated'});
    const answer = unwrap(await send('r1', {answerBytes: 50_000}));
    await assert.rejects(answer.body.toArray());
  });

  nodeTest.test('refuses with and without a not-run proof', async (test) => {
    const {send, standIn} = await startUpstream(test);
    const refuse = (proved: boolean) =>
      control(standIn, 'upstreams/u1/fault', {mode: 'refusing', proved});
    await refuse(true);
    assert.equal(unwrapError(await send('r1', {})).effect, 'not_run');
    await refuse(false);
    assert.equal(unwrapError(await send('r2', {})).effect, 'unknown');
  });
});
