import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as workerThreads from 'node:worker_threads';
import * as result from 'true-myth/result';
import * as httpClient from '../http_client.js';

const {test} = nodeTest;

/** Serves from a thread of its own, because the test blocks the main thread. */
const SERVER = `
  const http = require('node:http');
  const {parentPort} = require('node:worker_threads');
  const server = http.createServer((req, res) => res.end('done'));
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

async function withServer(use: (port: number) => Promise<void>): Promise<void> {
  const server = new workerThreads.Worker(SERVER, {eval: true});
  try {
    const port = await new Promise<number>((resolve) =>
      server.once('message', resolve),
    );
    await use(port);
  } finally {
    await server.terminate();
  }
}

function block(spanMs: number): void {
  const end = performance.now() + spanMs;
  while (performance.now() < end);
}

// Guards against a gang that is stopped and started again elsewhere although
// all its workers accepted it at once. The process that sent the starts was
// busy for longer than the timeout of an answer; the answers had arrived, but
// the timeouts fired before they were read.
test('an answer that has arrived is read before its call times out', async () => {
  await withServer(async (port) => {
    const client = httpClient.createHttpClient(`127.0.0.1:${port}`, 1);
    const call = {
      step: 'test',
      method: 'GET',
      path: '/',
      timeoutMs: 100,
    } as const;
    await client.call(call);
    const answer = client.call(call);
    // After this a turn of the event loop begins with the due timers.
    await new Promise((resolve) => setImmediate(resolve));
    block(200);
    const {isOk} = await answer;
    client.close();
    assert.ok(isOk);
  });
});

test('a call without an answer times out', async () => {
  const server = http.createServer(() => {});
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const client = httpClient.createHttpClient(`127.0.0.1:${port}`, 1);
  const startedAt = performance.now();
  const answer = await client.call({
    step: 'test',
    method: 'GET',
    path: '/',
    timeoutMs: 50,
  });
  client.close();
  server.closeAllConnections();
  server.close();
  assert.ok(result.isErr(answer));
  assert.equal(answer.error.kind, 'timeout');
  assert.ok(performance.now() - startedAt < 1_000);
});

const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n';

/** Serves raw bytes; `onCall` gets each part of a request and its socket. */
async function withRawServer(
  onCall: (socket: net.Socket, nthSocket: number) => void,
  use: (client: httpClient.HttpClient, port: number) => Promise<void>,
  maxConnections = 2,
): Promise<void> {
  const sockets: net.Socket[] = [];
  const server = net.createServer((socket) => {
    const nth = sockets.push(socket) - 1;
    socket.on('error', () => {});
    socket.on('data', () => onCall(socket, nth));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const address = `127.0.0.1:${port}`;
  const client = httpClient.createHttpClient(address, maxConnections);
  await use(client, port);
  client.close();
  for (const socket of sockets) socket.destroy();
  server.close();
}

const CALL = {
  step: 'test',
  method: 'POST',
  path: '/',
  body: '{}',
  timeoutMs: 2_000,
} as const;

test('calls share connections up to the maximum, and the others wait', async () => {
  const used = new Set<number>();
  const onCall = (socket: net.Socket, nth: number) => {
    used.add(nth);
    setImmediate(() => socket.write(`${ANSWER}{}`));
  };
  await withRawServer(onCall, async (client) => {
    const calls = Array.from({length: 9}, () => client.call(CALL));
    const answers = await Promise.all(calls);
    assert.ok(answers.every((answer) => answer.isOk));
    assert.equal(used.size, 2);
  });
});

// Guards against a task that counts as started, or as never sent, although
// nobody knows: an answer was lost on its way.
test('a call whose answer is cut off or malformed may have had an effect', async () => {
  for (const sent of ['', `${ANSWER}{`, 'nonsense\r\n\r\n']) {
    const onCall = (socket: net.Socket) => void socket.end(sent);
    await withRawServer(onCall, async (client) => {
      const answer = await client.call(CALL);
      assert.ok(result.isErr(answer), sent);
      assert.equal(answer.error.effect, 'unknown', sent);
    });
  }
});

// Guards against calls that count as open although they never left.
test('a call that waited for a connection until its timeout had no effect', async () => {
  await withRawServer(
    () => {},
    async (client) => {
      const first = client.call({...CALL, timeoutMs: 200});
      const waiting = await client.call({...CALL, timeoutMs: 50});
      assert.ok(result.isErr(waiting) && waiting.error.effect === 'not_run');
      const answer = await first;
      assert.ok(result.isErr(answer) && answer.error.effect === 'unknown');
    },
    1,
  );
});

test('a call that is refused a connection had no effect', async () => {
  let address = '';
  await withRawServer(
    () => {},
    (_client, port) => {
      address = `127.0.0.1:${port}`;
      return Promise.resolve();
    },
  );
  const answer = await httpClient.createHttpClient(address, 1).call(CALL);
  assert.ok(result.isErr(answer));
  assert.equal(answer.error.kind, 'unreachable');
  assert.equal(answer.error.effect, 'not_run');
});

// Guards against calls that fail because an idle connection was closed, or its
// server announced that it closes it.
test('a connection that its server has closed is not used again', async () => {
  const closing: net.Socket[] = [];
  let closed: Promise<unknown> = Promise.resolve();
  const onCall = (socket: net.Socket) => {
    const isAnnounced = closing.push(socket) % 2 === 0;
    const hint = isAnnounced ? 'keep-alive: timeout=1\r\n' : '';
    socket.write(ANSWER.replace('\r\n', `\r\n${hint}`) + '{}');
    if (isAnnounced) return;
    closed = new Promise((resolve) => socket.once('close', resolve));
    socket.end();
  };
  await withRawServer(onCall, async (client) => {
    for (let nth = 0; nth < 6; nth++) {
      const answer = await client.call(CALL);
      assert.ok(answer.isOk, `call ${nth}`);
      await closed;
    }
    assert.equal(new Set(closing).size, 6);
  });
});

// Guards against a slow link on which a long answer never completes, and one
// that stops and blocks its connection.
test('a long answer may take longer than its timeout while bytes arrive', async () => {
  const onCall = (socket: net.Socket) => {
    socket.write(ANSWER);
    setTimeout(() => socket.write('{'), 60);
    setTimeout(() => socket.write('}'), 240);
  };
  await withRawServer(onCall, async (client) => {
    const long = await client.call({
      ...CALL,
      timeoutMs: 200,
      chunkTimeoutMs: 400,
    });
    assert.ok(result.isOk(long));
    assert.ok(long.value.transferMs! >= 150);
    const whole = await client.call({...CALL, timeoutMs: 200});
    assert.ok(result.isErr(whole) && whole.error.kind === 'timeout');
  });
});

// Guards against a read that waits for records and fails because the store has
// sent the head of its answer first.
test('a head that comes before its body does not shorten the timeout', async () => {
  const onCall = (socket: net.Socket) => {
    socket.write(ANSWER);
    setTimeout(() => socket.write('{}'), 200);
  };
  await withRawServer(onCall, async (client) => {
    const timeouts = {timeoutMs: 2_000, chunkTimeoutMs: 100};
    const answer = await client.call({...CALL, ...timeouts});
    assert.ok(result.isOk(answer));
    assert.ok(answer.value.transferMs! < 150);
  });
});

// Guards against a header of another writer's record that ends the head.
test('a call is not sent with a line end in a header or path', async () => {
  let calls = 0;
  await withRawServer(
    () => void calls++,
    async (client) => {
      const headers = {'expect-instance': 'a\r\nx: y'};
      assert.ok(result.isErr(await client.call({...CALL, headers})));
      assert.ok(result.isErr(await client.call({...CALL, path: '/a b'})));
      assert.equal(calls, 0);
    },
  );
});

// Guards against a record with a bad address that ends every process that calls
// it.
test('a call to an invalid address fails, also after its timeout', async () => {
  for (const address of ['nowhere', '127.0.0.1:99999']) {
    const client = httpClient.createHttpClient(address, 1);
    const answer = await client.call({...CALL, timeoutMs: 20});
    assert.ok(result.isErr(answer), address);
  }
  // A timer that was left behind would throw now.
  await new Promise((resolve) => setTimeout(resolve, 60));
});

// Guards against calls that wait behind a large body that an overloaded server
// refused without reading it.
test('a connection whose call was answered early is not used again', async () => {
  const used = new Set<number>();
  const onCall = (socket: net.Socket, nth: number) => {
    if (used.has(nth)) return;
    used.add(nth);
    if (nth === 0) socket.pause();
    socket.write(`${ANSWER}{}`);
  };
  await withRawServer(onCall, async (client) => {
    const body = Buffer.alloc(32 << 20);
    assert.ok(result.isOk(await client.call({...CALL, body})));
    assert.ok(result.isOk(await client.call(CALL)));
    assert.equal(used.size, 2);
  });
});
