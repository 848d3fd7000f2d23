import * as assert from 'node:assert/strict';
import * as http2 from 'node:http2';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as peerFixture from '../__fixtures__/peer_fixture.js';
import * as peerClient from '../peer_client.js';

// The settings result in a heartbeat timeout of 2000 / 3 ms. Connect sends the
// timeout in a header, and a peer refuses a fraction of a millisecond as
// malformed. Every peer then looked silent, calls were not forwarded, and
// claims could not be renewed while the log was down.
nodeTest.test(
  'a timeout with a fraction of a millisecond is accepted',
  async () => {
    const list = peerFixture.createFakeList();
    const peer = await peerFixture.startPeer('bkk-a-1', list);
    try {
      const client = peer.clients.clientFor(peer.address);
      const own = {
        entryId: 'bkk-a-2',
        failureDomain: 'bkk-a',
        address: 'http://127.0.0.1:1',
      };
      // Long enough for the first call of a process on a busy machine.
      const answer = await client.heartbeat(own, 20_000 / 3);
      assert.ok(answer.isOk, answer.isErr ? answer.error.message : '');
    } finally {
      await peer.stop();
    }
  },
);

/** Starts a peer that takes the call, then answers with the given bytes. */
async function startPeerAnswering(status: number, body: Buffer) {
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

/** Length-delimited field 3 whose length exceeds the bytes that follow. */
const TRUNCATED = Buffer.from([0x1a, 0x20, 0x01]);

for (const [what, status, body] of [
  ['a truncated answer', 200, TRUNCATED],
  ['a refusal without a reason', 403, Buffer.alloc(0)],
  ['an answer that the route is unknown', 404, Buffer.alloc(0)],
] as const) {
  nodeTest.test(`${what} is no proof that nothing ran`, async () => {
    // The peer received a forwarded call and ran it, but its answer can't be
    // parsed. If the effect were `not_run`, the caller would run it twice.
    const peer = await startPeerAnswering(status, body);
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
