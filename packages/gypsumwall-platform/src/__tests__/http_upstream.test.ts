import * as assert from 'node:assert/strict';
import * as consumers from 'node:stream/consumers';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as scripted from '../__fixtures__/scripted_upstream.js';
import * as httpUpstream from '../http_upstream.js';
import type * as upstream from '../upstream.js';

const clock = types.clock.createSystemClock();
/** Long enough that no test runs into it unless it wants to. */
const AMPLE_MS = 20_000;

interface Setup {
  readonly server: scripted.ScriptedUpstream;
  readonly client: upstream.Upstream;
}

async function start(
  t: nodeTest.TestContext,
  reply: scripted.Reply,
  connections = 1,
): Promise<Setup> {
  const server = await scripted.startScriptedUpstream(reply);
  t.after(() => server.close());
  const id = types.ids.brand<types.ids.UpstreamId>('u0');
  const {address} = server;
  const client = httpUpstream.createHttpUpstream({
    id,
    address,
    connections,
    clock,
  });
  t.after(() => client.close());
  return {server, client};
}

let requests = 0;

function makeRequest(
  fields: Partial<upstream.UpstreamRequest> = {},
): upstream.UpstreamRequest {
  return {
    requestId: `r${(requests += 1)}`,
    team: types.ids.brand<types.ids.TeamId>('skyroute'),
    operation: 'airspace-check',
    body: new TextEncoder().encode('plan'),
    deadline: types.clock.after(clock.monotonic(), AMPLE_MS),
    ...fields,
  };
}

async function errorOf(
  client: upstream.Upstream,
  fields?: Partial<upstream.UpstreamRequest>,
): Promise<types.stepError.StepError> {
  const answer = await client.execute(makeRequest(fields));
  assert.ok(answer.isErr);
  return answer.error;
}

async function textOf(client: upstream.Upstream): Promise<string> {
  const answer = await client.execute(makeRequest());
  assert.ok(answer.isOk);
  return consumers.text(answer.value.body);
}

nodeTest.test(
  'a silent connection is replaced, the upstream kept',
  async (t) => {
    // The first request is answered. Then the connection goes silent: what is
    // written to it vanishes. That request ends by its deadline, as unknown;
    // the next goes over a new connection and is answered.
    const {server, client} = await start(t, scripted.whole('one'));
    assert.equal(await textOf(client), 'one');
    server.setReply(() => undefined);
    const deadline = types.clock.after(clock.monotonic(), 50);
    const err = await errorOf(client, {deadline});
    assert.deepEqual([err.kind, err.effect], ['timeout', 'unknown']);
    server.setReply(scripted.whole('two'));
    assert.equal(await textOf(client), 'two');
    assert.equal(server.count.made, 2);
  },
);

nodeTest.test('a caller that gives up on a silent one frees it', async (t) => {
  const {server, client} = await start(t, () => undefined);
  const caller = new AbortController();
  const pending = errorOf(client, {signal: caller.signal});
  caller.abort(new DOMException('silent for too long', 'TimeoutError'));
  assert.equal((await pending).kind, 'timeout');
  server.setReply(scripted.whole('two'));
  assert.equal(await textOf(client), 'two');
});

nodeTest.test('a truncated answer is never taken for the whole', async (t) => {
  // The upstream declares ten bytes, sends four and closes. The caller gets
  // the head of the answer and then an error instead of an end.
  const {client} = await start(t, (socket, request) => {
    socket.end(scripted.head(request, ['content-length: 10']) + 'half');
  });
  await assert.rejects(textOf(client));
});

nodeTest.test('an answer without length or end mark is refused', async (t) => {
  const {client} = await start(t, (socket, request) => {
    socket.end(scripted.head(request, ['connection: close']) + 'half');
  });
  const err = await errorOf(client);
  assert.deepEqual([err.kind, err.effect], ['truncated', 'unknown']);
});

nodeTest.test("another request's answer is not handed on", async (t) => {
  const {client} = await start(t, (socket) => {
    const foreign = 'gypsumwall-request-id: other';
    socket.write(scripted.head(foreign, ['content-length: 1']) + 'x');
  });
  const err = await errorOf(client);
  assert.deepEqual([err.kind, err.effect], ['invalid', 'unknown']);
});

nodeTest.test('a reset after the request was written is unknown', async (t) => {
  const {client} = await start(t, (socket) => socket.resetAndDestroy());
  assert.equal((await errorOf(client)).effect, 'unknown');
});

nodeTest.test('a connection that is refused proves not run', async (t) => {
  const {server, client} = await start(t, scripted.whole('one'));
  assert.equal(await textOf(client), 'one');
  await server.close();
  server.close = () => Promise.resolve();
  // The old connection may be found closed only on use; a new one is refused.
  await client.execute(makeRequest());
  assert.equal((await errorOf(client)).effect, 'not_run');
});

nodeTest.test(
  'only the word of the upstream makes a refusal not run',
  async (t) => {
    const refuse = (header: string): scripted.Reply => {
      const head = `HTTP/1.1 503 Busy\r\n${header}content-length: 4\r\n\r\n`;
      return (socket) => socket.write(`${head}full`);
    };
    const {server, client} = await start(t, refuse(''));
    assert.equal((await errorOf(client)).effect, 'unknown');
    server.setReply(refuse('gypsumwall-not-run: true\r\n'));
    assert.equal((await errorOf(client)).effect, 'not_run');
  },
);

nodeTest.test('an expired request is not sent', async (t) => {
  const {server, client} = await start(t, scripted.whole('one'));
  const err = await errorOf(client, {deadline: clock.monotonic()});
  assert.deepEqual([err.kind, err.effect], ['too_late', 'not_run']);
  assert.equal(server.count.made, 0);
});

nodeTest.test(
  'a smaller share closes connections, busy ones after use',
  async (t) => {
    // Two requests are under way on two connections when the share falls to
    // one. Neither is cut off, no third connection is opened, and one of the
    // two is closed when its request has ended.
    const held: Array<() => void> = [];
    const {server, client} = await start(
      t,
      (socket, request) =>
        held.push(() => scripted.whole('done')(socket, request)),
      2,
    );
    const pending = [textOf(client), textOf(client)];
    await waitUntil(() => held.length === 2);
    client.setMaxConnections(1);
    assert.equal((await errorOf(client)).effect, 'not_run');
    held.forEach((answer) => answer());
    assert.deepEqual(await Promise.all(pending), ['done', 'done']);
    await waitUntil(() => server.count.open === 1);
    assert.equal(server.count.most, 2);
  },
);

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
