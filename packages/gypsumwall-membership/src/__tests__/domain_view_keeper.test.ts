import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as peerFixture from '../__fixtures__/peer_fixture.js';
import * as silentProxy from '../__fixtures__/silent_proxy.js';

/** The peer at an address, in the view of `from`. */
function peerAt(from: peerFixture.PeerFixture, address: string) {
  return from.view.current().peers.find((peer) => peer.address === address);
}

nodeTest.test('peers find each other even if one is unlisted', async () => {
  // The list shows only one of two entries. That one finds the other by the
  // heartbeat that it receives.
  const list = peerFixture.createFakeList();
  const shown = await peerFixture.startPeer('shown', list);
  const hidden = await peerFixture.startPeer('hidden', list);
  list.instances = [peerFixture.listedEntry(shown.address)];
  await peerFixture.waitUntil('both live', () =>
    [peerAt(shown, hidden.address), peerAt(hidden, shown.address)].every(
      (peer) => peer?.state === 'live' && peer.configOffset === 3,
    ),
  );
  assert.equal(peerAt(shown, hidden.address)?.entryId, 'hidden');
  await Promise.all([shown.stop(), hidden.stop()]);
});

nodeTest.test('a new process at an old address has a new id', async () => {
  // A peer ends and another process starts at its address, both within one list
  // lag. The list doesn't show the change; the next heartbeat's answer does.
  const list = peerFixture.createFakeList();
  const watcher = await peerFixture.startPeer('watcher', list);
  const first = await peerFixture.startPeer('first', list);
  list.instances = [peerFixture.listedEntry(first.address)];
  await peerFixture.waitUntil(
    'the first process answers',
    () => peerAt(watcher, first.address)?.entryId === 'first',
  );
  await first.stop();
  await peerFixture.waitUntil(
    'the first process is silent',
    () => peerAt(watcher, first.address)?.state === 'silent',
  );
  const port = Number(new URL(first.address).port);
  const second = await peerFixture.startPeer('second', list, port);
  await peerFixture.waitUntil('the second process answers', () => {
    const peer = peerAt(watcher, first.address);
    return peer?.entryId === 'second' && peer.state === 'live';
  });
  await Promise.all([watcher.stop(), second.stop()]);
});

nodeTest.test(
  'a peer that reports leaving overrides a list that is down',
  async () => {
    // The list shows the peer as live and then becomes unavailable; after that the
    // peer reports that it leaves.
    const list = peerFixture.createFakeList();
    const watcher = await peerFixture.startPeer('watcher', list);
    const leaver = await peerFixture.startPeer('leaver', list);
    list.instances = [peerFixture.listedEntry(leaver.address)];
    await peerFixture.waitUntil(
      'the peer is live',
      () => peerAt(watcher, leaver.address)?.state === 'live',
    );
    list.isDown = true;
    leaver.leaving = true;
    await peerFixture.waitUntil(
      'the peer is leaving',
      () => peerAt(watcher, leaver.address)?.state === 'leaving',
    );
    await Promise.all([watcher.stop(), leaver.stop()]);
  },
);

nodeTest.test('a silent connection is replaced and its peer kept', async () => {
  // A device between the two ends loses the state of the open connection, which
  // stays open but forwards nothing. The next heartbeat times out, the client
  // opens a new connection, and the peer is live again without the list.
  const list = peerFixture.createFakeList();
  const peer = await peerFixture.startPeer('peer', list);
  const port = Number(new URL(peer.address).port);
  const proxy = await silentProxy.startSilentProxy(port);
  const watcher = await peerFixture.startPeer('watcher', list);
  list.instances = [peerFixture.listedEntry(proxy.address)];
  const isLive = () => peerAt(watcher, proxy.address)?.state === 'live';
  await peerFixture.waitUntil('live', isLive);
  const before = proxy.connections();
  proxy.silenceOpenConnections();
  await peerFixture.waitUntil(
    'a new connection',
    () => proxy.connections() > before && isLive(),
  );
  await Promise.all([watcher.stop(), peer.stop()]);
  await proxy.close();
});

nodeTest.test(
  'a peer reports leaving instances to one cut off from the list',
  async () => {
    // A leaving upstream must get no new work, even from an entry that can no
    // longer read the list. The entry's list fails, then a peer's list shows the
    // upstream as leaving, and the answer to the next heartbeat reports it.
    const cutList = peerFixture.createFakeList();
    const list = peerFixture.createFakeList();
    const cut = await peerFixture.startPeer('cut', cutList);
    const peer = await peerFixture.startPeer('peer', list);
    const upstream = {
      kind: 'upstream' as const,
      id: types.ids.brand<types.ids.UpstreamId>('u1'),
      failureDomain: types.ids.brand<types.ids.FailureDomain>('bkk-a'),
      address: 'http://127.0.0.1:9',
      slots: 8,
      connections: 64,
      state: 'live' as 'live' | 'leaving',
    };
    list.instances = [peerFixture.listedEntry(cut.address), upstream];
    cutList.instances = [peerFixture.listedEntry(peer.address), upstream];
    const stateAtCut = () => cut.view.current().upstreams[0]?.state;
    await peerFixture.waitUntil(
      'the upstream is live',
      () => stateAtCut() === 'live',
    );
    cutList.isDown = true;
    list.instances = [
      peerFixture.listedEntry(cut.address),
      {...upstream, state: 'leaving'},
    ];
    await peerFixture.waitUntil(
      'the upstream is leaving',
      () => stateAtCut() === 'leaving',
    );
    await Promise.all([cut.stop(), peer.stop()]);
  },
);
