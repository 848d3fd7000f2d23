import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as clientLimits from '../client_limits.js';
import * as guardedHttpServer from '../guarded_http_server.js';

const {test} = nodeTest;
const BODY_LIMIT = 262_144;
const LIMITS = clientLimits.deriveClientLimits({
  memoryBytes: 160 * 1_048_576,
  heapBytes: 128 * 1_048_576,
  descriptors: 4_100,
});
/** The answer is larger than the buffers of the kernel. */
const LARGE_ANSWER_PATH = '/large';
const LARGE_FILL = 'a'.repeat(30_000_000);
const HEAD = 'POST / HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n';

/** Serves calls by answering the length of their bodies, after a gate. */
async function serve(
  t: nodeTest.TestContext,
  limits: Partial<clientLimits.ClientLimits> = {},
  gate: () => Promise<void> = () => Promise.resolve(),
) {
  const guarded = guardedHttpServer.createGuardedHttpServer({
    limits: {...LIMITS, ...limits},
    clock: types.clock.createSystemClock(),
    logger: telemetry.logger.createLogger('error', {}, () => undefined),
    bodyLimit: () => BODY_LIMIT,
    keepAliveTimeoutMs: 30_000,
  });
  const {server} = guarded;
  const seen: string[] = [];
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', (req, _stream, done) =>
    done(null, guarded.takeBody(req.raw)),
  );
  server.all('*', (req, res) =>
    guarded.track(req.raw, async () => {
      seen.push(req.url);
      await gate();
      const length = ((req.body as string | undefined) ?? '').length;
      const answer = {path: req.url, length};
      const isLarge = req.url === LARGE_ANSWER_PATH;
      return res.send(isLarge ? {...answer, fill: LARGE_FILL} : answer);
    }),
  );
  await server.listen({host: '127.0.0.1', port: 0});
  t.after(() => {
    server.server.closeAllConnections();
    return server.close();
  });
  const {port} = server.server.address() as net.AddressInfo;
  function connect() {
    const socket = net.connect(port, '127.0.0.1');
    const client = {socket, received: ''};
    socket.on('data', (bytes) => (client.received += bytes.toString()));
    socket.on('error', () => undefined);
    return client;
  }
  return {guarded, seen, connect};
}

type Client = {readonly socket: net.Socket; received: string};

async function untilReceived(client: Client, pattern: RegExp): Promise<void> {
  while (!pattern.test(client.received)) {
    await events.EventEmitter.once(client.socket, 'data');
  }
}

/** Waits for the end of the only connection. */
async function untilClosed(
  guarded: guardedHttpServer.GuardedHttpServer,
): Promise<void> {
  const count = () => guarded.status().connections;
  while (count() === 0) await new Promise(setImmediate);
  while (count() > 0) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

function encodeGets(paths: readonly number[]): string {
  return paths.map((n) => `GET /${n} HTTP/1.1\r\nHost: h\r\n\r\n`).join('');
}

// Guards against a bound that an ordinary single request meets.
for (const chunkBytes of [1, 4_000, BODY_LIMIT]) {
  test(`a body at the limit is served in chunks of ${chunkBytes}`, async (t) => {
    const {connect} = await serve(t);
    const client = connect();
    client.socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`);
    for (let sent = 0; sent < BODY_LIMIT; sent += chunkBytes) {
      const length = Math.min(chunkBytes, BODY_LIMIT - sent);
      client.socket.write(
        `${length.toString(16)}\r\n${'a'.repeat(length)}\r\n`,
      );
    }
    client.socket.write('0\r\n\r\n');
    await untilReceived(client, /"length":262144/);
  });
}

test('requests sent ahead are answered in order', async (t) => {
  const {connect} = await serve(t);
  const client = connect();
  const paths = Array.from({length: 90}, (_, nth) => nth);
  client.socket.write(encodeGets(paths));
  await untilReceived(client, /"\/89"/);
  const answered = [...client.received.matchAll(/"path":"\/(\d+)"/g)];
  assert.deepEqual(
    answered.map(([, path]) => Number(path)),
    paths,
  );
});

// Guards against beginning all requests that a connection has sent ahead.
test('few requests of a connection are carried out at a time', async (t) => {
  let open: () => void = () => undefined;
  const gate = new Promise<void>((resolve) => (open = resolve));
  const {connect, seen} = await serve(t, {}, () => gate);
  const client = connect();
  client.socket.write(encodeGets([1, 2, 3, 4, 5, 6]));
  while (seen.length < 4) await new Promise(setImmediate);
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.deepEqual(seen, ['/1', '/2', '/3', '/4']);
  open();
  await untilReceived(client, /"\/6"/);
});

// Guards against a refusal that doesn't say that the call had no effect.
test('a single request that may not be held is refused and not begun', async (t) => {
  const {connect, seen, guarded} = await serve(t, {maxHeldBytes: 20_000});
  const client = connect();
  client.socket.write(`${HEAD}Content-Length: 30000\r\n\r\n`);
  client.socket.write('a'.repeat(29_000));
  await untilReceived(client, /^HTTP\/1\.1 503[^]*retry-after: 1\r\n/i);
  assert.deepEqual(seen, []);
  assert.equal(guarded.status().shed.too_much_held, 1);
});

// Guards against a refusal that a client takes for the answer to a request whose
// outcome is open.
test('no refusal is sent behind a request that is carried out', async (t) => {
  const {connect, seen} = await serve(
    t,
    {maxHeldBytes: 20_000},
    () => new Promise(() => undefined),
  );
  const client = connect();
  client.socket.write(encodeGets([1]));
  while (seen.length === 0) await new Promise(setImmediate);
  client.socket.write(`${HEAD}Content-Length: 30000\r\n\r\n`);
  client.socket.write('a'.repeat(29_000));
  await events.EventEmitter.once(client.socket, 'close');
  assert.equal(client.received, '');
});

// Guards against limits that ordinary callers meet when many come at once, as
// after the end of an entry.
test('a burst of ordinary callers is served', async (t) => {
  const {connect, guarded} = await serve(t);
  const body = 'a'.repeat(3_000);
  const clients = Array.from({length: 600}, connect);
  for (const {socket} of clients) {
    socket.write(`${HEAD}Content-Length: ${body.length}\r\n\r\n${body}`);
  }
  await Promise.all(
    clients.map((client) => untilReceived(client, /"length":3000/)),
  );
  const {shed} = guarded.status();
  assert.deepEqual(
    Object.values(shed).filter((count) => count > 0),
    [],
  );
});

// Guards against a sum that a few clients use up for all others.
test('an ordinary caller is served while others hold all that they may', async (t) => {
  const {connect, guarded} = await serve(t);
  for (let nth = 0; nth < 100; nth++) {
    const {socket} = connect();
    socket.write(`${HEAD}Content-Length: 200000\r\n\r\n`);
    socket.write('a'.repeat(199_999));
  }
  const hasShed = () => guarded.status().shed.too_much_held > 0;
  while (!hasShed()) await new Promise(setImmediate);
  const caller = connect();
  caller.socket.write(`${HEAD}Content-Length: 3000\r\n\r\n`);
  caller.socket.write('a'.repeat(3_000));
  await untilReceived(caller, /"length":3000/);
});

// Guards against reads that wait for their body and that nothing counts.
test('a read that waits for its body is charged', async (t) => {
  const {connect, guarded} = await serve(t);
  const client = connect();
  client.socket.write(`${HEAD}Content-Length: 200000\r\n\r\n`);
  client.socket.write('a'.repeat(100_000));
  const isCharged = () => guarded.status().heldBytes > 100_000 + 65_536;
  for (let tries = 0; !isCharged() && tries < 100; tries++) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  assert.ok(isCharged(), `${guarded.status().heldBytes} bytes`);
});

// Guards against reading on after a body has exceeded the limit.
test('a body that exceeds the limit unannounced is refused', async (t) => {
  const {connect, seen} = await serve(t);
  const client = connect();
  client.socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`);
  const chunk = `4000\r\n${'a'.repeat(0x4000)}\r\n`;
  client.socket.write(chunk.repeat(17));
  await untilReceived(client, /^HTTP\/1\.1 413/);
  await events.EventEmitter.once(client.socket, 'close');
  assert.deepEqual(seen, []);
});

// Guards against clients that hold every connection without a request.
test('a connection that sends nothing gives way to a new one', async (t) => {
  const {connect} = await serve(t, {maxConnections: 1});
  const silent = connect();
  await events.EventEmitter.once(silent.socket, 'connect');
  await new Promise((resolve) => setTimeout(resolve, 1_100));
  const caller = connect();
  caller.socket.write(encodeGets([1]));
  await untilReceived(caller, /"\/1"/);
  assert.ok(silent.socket.destroyed || silent.socket.readableEnded);
});

// Guards against requests that never arrive as a whole.
test('a request that does not arrive in time is given up', async (t) => {
  const {connect, guarded} = await serve(t, {requestTimeoutMs: 200});
  const headless = connect();
  headless.socket.write('GET / HTTP/1.1\r\n');
  const bodiless = connect();
  bodiless.socket.write(`${HEAD}Content-Length: 10\r\n\r\n`);
  await Promise.all(
    [headless, bodiless].map(({socket}) =>
      events.EventEmitter.once(socket, 'close'),
    ),
  );
  assert.match(headless.received, /^HTTP\/1\.1 408/);
  assert.equal(bodiless.received, '');
  assert.equal(guarded.status().shed.timed_out, 2);
});

// Guards against clients that send on and never read their answers.
test('a connection whose answers are not read is given up', async (t) => {
  const {connect, guarded} = await serve(t, {
    maxRequestsPerConnection: 1_000_000,
    maxHeldBytes: 1e9,
  });
  const client = connect();
  client.socket.pause();
  const get = `GET /${'a'.repeat(8_000)} HTTP/1.1\r\nHost: h\r\n\r\n`;
  const send = () => {
    while (!client.socket.destroyed && client.socket.write(get));
  };
  client.socket.on('drain', send);
  send();
  await untilClosed(guarded);
  assert.equal(guarded.status().shed.answers_unread, 1);
});

// Guards against clients that stop reading in the middle of an answer.
test('a connection on which nothing moves is given up', async (t) => {
  const {connect, guarded} = await serve(t, {stallTimeoutMs: 200});
  const client = connect();
  client.socket.pause();
  client.socket.write(`GET ${LARGE_ANSWER_PATH} HTTP/1.1\r\nHost: h\r\n\r\n`);
  await untilClosed(guarded);
  assert.equal(guarded.status().shed.timed_out, 1);
});

// Guards against closing an ordinary caller's connection between two calls, or
// during a call that takes long.
test('a call in progress and a pause outlast the timeouts', async (t) => {
  let open: () => void = () => undefined;
  const gate = new Promise<void>((resolve) => (open = resolve));
  const limits = {requestTimeoutMs: 150, stallTimeoutMs: 150};
  const {connect} = await serve(t, limits, () => gate);
  const client = connect();
  client.socket.write(encodeGets([1]));
  setTimeout(open, 500);
  await untilReceived(client, /"\/1"/);
  await new Promise((resolve) => setTimeout(resolve, 500));
  client.socket.write(encodeGets([2]));
  await untilReceived(client, /"\/2"/);
});
