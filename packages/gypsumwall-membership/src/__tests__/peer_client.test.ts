import * as assert from 'node:assert/strict';
import * as http2 from 'node:http2';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as peerClient from '../peer_client.js';

/** A peer that runs the call and then answers with the given bytes. */
async function startOddPeer(status: number, body: Buffer) {
  const sessions = new Set<http2.ServerHttp2Session>();
  const server = http2.createServer((req, res) => {
    req.resume();
    req.on('end', () => {
      res.writeHead(status, {'content-type': 'application/proto'});
      res.end(body);
    });
  });
  server.on('session', (session) => sessions.add(session));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as net.AddressInfo;
  const close = () => {
    for (const session of sessions) session.destroy();
    server.close();
  };
  return {address: `http://127.0.0.1:${port}`, close};
}

/** Length-delimited field 3 that promises more bytes than come. */
const TRUNCATED = Buffer.from([0x1a, 0x20, 0x01]);

for (const [what, status, body] of [
  ['a truncated answer', 200, TRUNCATED],
  ['a refusal without a reason', 403, Buffer.alloc(0)],
  ['an answer of no such route', 404, Buffer.alloc(0)],
] as const) {
  nodeTest.test(`${what} is no proof that nothing ran`, async () => {
    // The peer took a call that was handed on and ran it, but its answer
    // can't be read. Told `not_run`, the caller would have it run twice.
    const peer = await startOddPeer(status, body);
    const client = peerClient.createPeerClient({
      address: peer.address,
      timeoutMs: 1_000,
    });
    const answer = await client.forward({method: 'POST', path: '/'}, 1_000);
    client.close();
    peer.close();
    assert.ok(answer.isErr);
    assert.equal(answer.error.effect, 'unknown');
  });
}
