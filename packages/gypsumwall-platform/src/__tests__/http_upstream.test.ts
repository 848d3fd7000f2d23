import * as assert from 'node:assert/strict';
import * as consumers from 'node:stream/consumers';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as scripted from '../__fixtures__/scripted_upstream.js';
import * as httpUpstream from '../http_upstream.js';
import type * as upstream from '../upstream.js';

const clock = types.clock.createSystemClock();
/** Deadline that no test reaches. */
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
  'a connection that stops answering is replaced by a new one to the same upstream',
  async (t) => {
    // The first request is answered. Then nothing written to the connection
    // gets an answer: the second request ends at its deadline as unknown, and
    // the third goes over a new connection and is answered.
    const {server, client} = await start(t, scripted.replyWith('one'));
    assert.equal(await textOf(client), 'one');
    server.setReply(() => undefined);
    const deadline = types.clock.after(clock.monotonic(), 50);
    const err = await errorOf(client, {deadline});
    assert.deepEqual([err.kind, err.effect], ['timeout', 'unknown']);
    server.setReply(scripted.replyWith('two'));
    assert.equal(await textOf(client), 'two');
    assert.equal(server.connectionCounts.opened, 2);
  },
);

nodeTest.test(
  'a request that its caller aborts frees its connection slot',
  async (t) => {
    const {server, client} = await start(t, () => undefined);
    const caller = new AbortController();
    const pending = errorOf(client, {signal: caller.signal});
    caller.abort(new DOMException('no answer for too long', 'TimeoutError'));
    assert.equal((await pending).kind, 'timeout');
    server.setReply(scripted.replyWith('two'));
    assert.equal(await textOf(client), 'two');
  },
);

nodeTest.test(
  'a truncated answer is never taken for a complete one',
  async (t) => {
    // The upstream declares ten bytes, sends four and closes the connection.
    // The caller gets the headers of the answer, and its body ends with an
    // error.
    const {client} = await start(t, (socket, request) => {
      socket.end(scripted.formatHead(request, ['content-length: 10']) + 'half');
    });
    await assert.rejects(textOf(client));
  },
);

nodeTest.test(
  'an answer without content length or chunked encoding is refused',
  async (t) => {
    const {client} = await start(t, (socket, request) => {
      socket.end(scripted.formatHead(request, ['connection: close']) + 'half');
    });
    const err = await errorOf(client);
    assert.deepEqual([err.kind, err.effect], ['truncated', 'unknown']);
  },
);

nodeTest.test('an answer to another request is not returned', async (t) => {
  const {client} = await start(t, (socket) => {
    const foreign = 'gypsumwall-request-id: other';
    socket.write(scripted.formatHead(foreign, ['content-length: 1']) + 'x');
  });
  const err = await errorOf(client);
  assert.deepEqual([err.kind, err.effect], ['invalid', 'unknown']);
});

nodeTest.test(
  'a reset after the request was written has an unknown effect',
  async (t) => {
    const {client} = await start(t, (socket) => socket.resetAndDestroy());
    assert.equal((await errorOf(client)).effect, 'unknown');
  },
);

nodeTest.test(
  'a refused connection proves that the request did not run',
  async (t) => {
    const {server, client} = await start(t, scripted.replyWith('one'));
    assert.equal(await textOf(client), 'one');
    await server.close();
    server.close = () => Promise.resolve();
    // The client may notice only on this use that the old connection is closed;
    // the next request needs a new connection, which is refused.
    await client.execute(makeRequest());
    assert.equal((await errorOf(client)).effect, 'not_run');
  },
);

nodeTest.test(
  'a refusal counts as not run only if the upstream says so',
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
  const {server, client} = await start(t, scripted.replyWith('one'));
  const err = await errorOf(client, {deadline: clock.monotonic()});
  assert.deepEqual([err.kind, err.effect], ['too_late', 'not_run']);
  assert.equal(server.connectionCounts.opened, 0);
});

nodeTest.test(
  'a lower limit closes connections, those in use after their request',
  async (t) => {
    // Two requests are in progress on two connections when the limit falls to
    // one. Neither is interrupted, no third connection is opened, and one of
    // the two is closed when its request has ended.
    const held: Array<() => void> = [];
    const {server, client} = await start(
      t,
      (socket, request) =>
        held.push(() => scripted.replyWith('done')(socket, request)),
      2,
    );
    const pending = [textOf(client), textOf(client)];
    await waitUntil(() => held.length === 2);
    client.setMaxConnections(1);
    assert.equal((await errorOf(client)).effect, 'not_run');
    held.forEach((answer) => answer());
    assert.deepEqual(await Promise.all(pending), ['done', 'done']);
    await waitUntil(() => server.connectionCounts.open === 1);
    assert.equal(server.connectionCounts.maxOpen, 2);
  },
);

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
