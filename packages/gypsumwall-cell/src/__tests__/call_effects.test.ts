import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as httpClient from '../http_client.js';

const {test} = nodeTest;

/** Answers the paths in `answered`, and breaks or holds all other calls. */
async function withServer(
  answered: ReadonlySet<string>,
  other: 'breaks' | 'holds',
  use: (client: httpClient.HttpClient, received: string[]) => Promise<void>,
): Promise<void> {
  const received: string[] = [];
  const server = http.createServer((req, res) => {
    received.push(req.url ?? '');
    if (answered.has(req.url ?? '')) res.end('done');
    else if (other === 'breaks') req.socket.destroy();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const client = httpClient.createHttpClient(`127.0.0.1:${port}`, 1);
  try {
    await use(client, received);
  } finally {
    client.close();
    server.closeAllConnections();
    server.close();
  }
}

async function effectOf(
  client: httpClient.HttpClient,
  path: string,
  timeoutMs: number,
): Promise<string> {
  const answer = await client.call({
    step: 'test',
    method: 'POST',
    path,
    body: '{}',
    timeoutMs,
  });
  return result.isOk(answer) ? 'answered' : answer.error.effect;
}

// Guards against a refusal of a call that was received: the connection broke
// after the request, on a new connection and on one that was used before.
test('a call on a connection that breaks may have had an effect', async () => {
  await withServer(new Set(['/first']), 'breaks', async (client, received) => {
    assert.equal(await effectOf(client, '/new', 1_000), 'unknown');
    assert.equal(await effectOf(client, '/first', 1_000), 'answered');
    assert.equal(await effectOf(client, '/reused', 1_000), 'unknown');
    assert.deepEqual(received, ['/new', '/first', '/reused']);
  });
});

// Guards against a call that is sent after it was reported as not sent: it
// waited for a connection until its timeout.
test('a call that times out before it has a connection is never sent', async () => {
  await withServer(new Set(['/last']), 'holds', async (client, received) => {
    const held = effectOf(client, '/held', 120);
    assert.equal(await effectOf(client, '/queued', 40), 'not_run');
    assert.equal(await held, 'unknown');
    assert.equal(await effectOf(client, '/last', 1_000), 'answered');
    assert.deepEqual(received, ['/held', '/last']);
  });
});

test('a call to a closed port has no effect', async () => {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const client = httpClient.createHttpClient(`127.0.0.1:${port}`, 1);
  assert.equal(await effectOf(client, '/', 1_000), 'not_run');
  client.close();
});
