import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as peerDirectory from '../peer_directory.js';

const {test} = nodeTest;

function createPeers(body: string): peerDirectory.PeerDirectory {
  const peers = peerDirectory.createPeerDirectory({
    self: 'self',
    clock: types.clock.createSystemClock(),
    logger: telemetry.logger.createLogger('silent'),
    openClient: (address) => ({
      address,
      call: () =>
        Promise.resolve(result.ok({status: 200, body: Buffer.from(body)})),
      closeIdle: () => {},
      close: () => {},
    }),
  });
  peers.apply('newer', {
    entryId: types.ids.brand('newer.1'),
    domain: types.ids.brand('d1'),
    address: '127.0.0.1:1',
  });
  return peers;
}

// Guards against a job that runs after its refusal: a peer of another version
// has carried the call out and says so in a way that is unknown here.
test('a peer whose answer is not understood may have applied the call', async () => {
  const req = {
    type: 'submit',
    id: types.ids.brand<types.ids.JobId>('job'),
    policy: worlds.POLICY,
    request: worlds.request(1),
  } as const;
  const limits = {
    preferred: undefined,
    peerTimeoutMs: 100,
    totalTimeoutMs: 200,
  };
  for (const body of ['{}', '{"type":"stored_twice"}', 'null']) {
    const byAny = await createPeers(body).relay(req, limits);
    assert.equal(byAny.maybeApplied, true, `any peer, ${body}`);
    const byHolder = await createPeers(body).relayTo('newer', req, 100);
    assert.equal(byHolder.maybeApplied, true, `holder, ${body}`);
  }
});
