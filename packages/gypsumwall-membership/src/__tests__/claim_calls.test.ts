import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as peerFixture from '../__fixtures__/peer_fixture.js';
import * as silentProxy from '../__fixtures__/silent_proxy.js';
import * as claimCalls from '../claim_calls.js';

const TIMEOUT_MS = 200;
const holder = types.ids.brand<types.ids.EntryId>('holder');
const taker = types.ids.brand<types.ids.EntryId>('taker');
const promiseRequest = {holder, epoch: 4, seen: 9, promiseMs: 60_000};

nodeTest.test('a promise blocks a release until it expires', async () => {
  const peer = await peerFixture.startPeer('p', peerFixture.createFakeList());
  const calls = claimCalls.createClaimCalls(peer.clients);
  assert.deepEqual(
    await calls.requestPromise(peer, promiseRequest, TIMEOUT_MS),
    {
      type: 'promised',
    },
  );
  const blocked = await calls.requestWitness(
    peer,
    {taker, epoch: 4, seen: 9},
    TIMEOUT_MS,
  );
  assert.equal(blocked.type, 'wait');
  const unblocked = await calls.requestWitness(
    peer,
    {taker, epoch: 2, seen: 3},
    TIMEOUT_MS,
  );
  assert.deepEqual(unblocked, {type: 'released'});
  const afterRelease = await calls.requestPromise(
    peer,
    {...promiseRequest, epoch: 2, seen: 3},
    TIMEOUT_MS,
  );
  assert.equal(afterRelease.type, 'refused');
  await peer.stop();
});

nodeTest.test('only proof of its end makes a peer count as ended', async () => {
  // Another process at the address, or a port that refuses connections, proves
  // that the named process ended. A connection on which calls time out proves
  // nothing: the peer may be alive and may even have promised.
  const list = peerFixture.createFakeList();
  const peer = await peerFixture.startPeer('p', list);
  const port = Number(new URL(peer.address).port);
  const proxy = await silentProxy.startSilentProxy(port);
  const caller = await peerFixture.startPeer('caller', list);
  const calls = claimCalls.createClaimCalls(caller.clients);
  const {address} = peer;
  const former = types.ids.brand<types.ids.EntryId>('former');
  assert.deepEqual(
    await calls.requestPromise(
      {entryId: former, address},
      promiseRequest,
      TIMEOUT_MS,
    ),
    {
      type: 'gone',
    },
  );
  const proxied = {entryId: peer.entryId, address: proxy.address};
  assert.deepEqual(
    await calls.requestPromise(proxied, promiseRequest, TIMEOUT_MS),
    {
      type: 'promised',
    },
  );
  proxy.silenceOpenConnections();
  assert.deepEqual(
    await calls.requestPromise(proxied, promiseRequest, TIMEOUT_MS),
    {
      type: 'silent',
    },
  );
  await peer.stop();
  assert.deepEqual(
    await calls.requestPromise(peer, promiseRequest, TIMEOUT_MS),
    {type: 'gone'},
  );
  await caller.stop();
  await proxy.close();
});
