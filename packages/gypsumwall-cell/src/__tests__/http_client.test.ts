import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
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
