import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as peerFixture from '../__fixtures__/peer_fixture.js';

// The settings give a heartbeat 2000 / 3 ms. Connect sends that as a header,
// and its peer refuses a part of a millisecond as malformed: every peer looked
// silent, calls were not handed on, and claims could not outlive the log.
nodeTest.test(
  'a timeout with a part of a millisecond is no fault',
  async () => {
    const list = peerFixture.createFakeList();
    const peer = await peerFixture.startPeer('bkk-a-1', list);
    try {
      const client = peer.clients.at(peer.address);
      const own = {
        entryId: 'bkk-a-2',
        failureDomain: 'bkk-a',
        address: 'http://127.0.0.1:1',
      };
      const answer = await client.heartbeat(own, 2_000 / 3);
      assert.ok(answer.isOk, answer.isErr ? answer.error.message : '');
    } finally {
      await peer.stop();
    }
  },
);
