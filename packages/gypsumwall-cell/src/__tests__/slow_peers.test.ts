import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as peerDirectories from '../peer_directory.js';
import * as peerProtocol from '../peer_protocol.js';

const {test} = nodeTest;

/** A peer that accepts calls, never answers them, and may answer a ping. */
async function openPeer(answersPing: boolean) {
  const server = http.createServer((req, res) => {
    if (answersPing && req.url === peerProtocol.PING_PATH) res.end('{}');
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const clock = types.clock.createSystemClock();
  const peers = peerDirectories.createPeerDirectory({
    self: 'self',
    clock,
    logger: telemetry.logger.createLogger('silent'),
  });
  const record = {
    entryId: types.ids.brand<types.ids.EntryId>('peer.1'),
    domain: types.ids.brand<types.ids.FailureDomain>('d1'),
    address: `127.0.0.1:${port}`,
    cores: 1,
  };
  peers.apply('peer', record);
  const close = () => {
    server.closeAllConnections();
    server.close();
    peers.close();
  };
  return {peers, server, record, close};
}

// Load: 45 entries and a slow store. The holder received a call and waited for
// its append. Its peers avoided it for that, sent it no more calls and appended
// one by one, which lengthened the store's queue.
test('a call waits for a peer that is slow, and not for one that is lost', async () => {
  for (const answersPing of [true, false]) {
    const {peers, close} = await openPeer(answersPing);
    const outcome = await peers.relayTo(
      'peer',
      {type: 'cancel', id: types.ids.brand('job'), queue: 'plans'},
      1_000,
    );
    assert.deepEqual(outcome, {
      type: 'unanswered',
      maybeApplied: true,
      isSlow: answersPing,
    });
    assert.equal(peers.advisers().size, answersPing ? 1 : 0);
    close();
  }
});

// Guards against callers who wait for a peer that was killed: its connections
// are reset, which shows that it is lost.
test('a call to a peer that is killed does not count as slow', async () => {
  const {peers, server, close} = await openPeer(true);
  server.once('request', close);
  const outcome = peers.relayTo(
    'peer',
    {type: 'cancel', id: types.ids.brand('job'), queue: 'plans'},
    5_000,
  );
  assert.deepEqual(await outcome, {
    type: 'unanswered',
    maybeApplied: true,
    isSlow: false,
  });
});

// Guards against advice that is lost after a restart of all entries: their
// records are read seconds after the first calls to them, and each record ended
// the calls in progress.
test('a call goes on when the record of its peer is read again', async () => {
  const {peers, server, record, close} = await openPeer(true);
  server.on('request', (req, res) => {
    if (req.url !== peerProtocol.ADVISE_PATH) return;
    peers.apply('peer', {...record, entryId: types.ids.brand('peer.2')});
    res.end(JSON.stringify({approved: [['w1', 'ticket']]}));
  });
  const adviser = peers.advisers().get('peer')!;
  const answer = await adviser.ask('job.0.0', [], 1_000);
  const isAlive = await peers.ping('peer', 1_000);
  close();
  assert.ok(result.isOk(answer), 'the advice was lost');
  assert.equal(isAlive, true);
});
