import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as peerDirectories from '../peer_directory.js';
import type * as peerProtocol from '../peer_protocol.js';

const {test} = nodeTest;
const SHED: peerProtocol.RelayRes = {
  type: 'not_run',
  retryAfterMs: 4_000,
  isCellOverloaded: true,
};
const REQ: peerProtocol.RelayReq = {
  type: 'submit',
  id: types.ids.brand('job'),
  policy: worlds.POLICY,
  request: worlds.request(1),
};

/** Two peers that refuse each submission; returns how often they were asked. */
async function withSheddingPeers(
  use: (peers: peerDirectories.PeerDirectory) => Promise<void>,
): Promise<number> {
  let asked = 0;
  const server = http.createServer((_req, res) => {
    asked++;
    res.end(JSON.stringify(SHED));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const peers = peerDirectories.createPeerDirectory({
    self: 'self',
    clock: types.clock.createSystemClock(),
    logger: telemetry.logger.createLogger('silent'),
  });
  for (const name of ['p1', 'p2']) {
    peers.apply(name, {
      entryId: types.ids.brand(`${name}.1`),
      domain: types.ids.brand('d1'),
      address: `127.0.0.1:${port}`,
    });
  }
  try {
    await use(peers);
  } finally {
    peers.close();
    server.closeAllConnections();
    server.close();
  }
  return asked;
}

// Guards against a refused job that is taken from peer to peer until one with
// an old view of the load accepts it.
test('a job that the cell cannot take on is offered to no other peer', async () => {
  const answered = {type: 'answered', res: SHED, maybeApplied: false};
  const asked = await withSheddingPeers(async (peers) => {
    const limits = {
      preferred: undefined,
      peerTimeoutMs: 1_000,
      totalTimeoutMs: 2_000,
    };
    assert.deepEqual(await peers.relay(REQ, limits), answered);
    assert.deepEqual(await peers.relayTo('p1', REQ, 1_000), answered);
  });
  assert.equal(asked, 2);
});
