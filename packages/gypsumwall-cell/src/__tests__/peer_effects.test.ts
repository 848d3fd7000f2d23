import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as httpClient from '../http_client.js';
import * as peerDirectory from '../peer_directory.js';
import * as peerProtocol from '../peer_protocol.js';
import type * as ports from '../ports.js';

const {test} = nodeTest;
const REQ = {
  type: 'submit',
  id: types.ids.brand<types.ids.JobId>('job'),
  policy: worlds.POLICY,
  request: worlds.request(1),
} as const;
const LIMITS = {
  preferred: undefined,
  peerTimeoutMs: 100,
  totalTimeoutMs: 1_000,
};

/** What a peer makes of a forwarded call. */
type Behavior = 'unsent' | 'lost' | 'unknown' | 'not_run' | 'invalid' | 'busy';

/** Peers that received a forwarded call. */
let relayed: Behavior[] = [];

function createClient(behavior: Behavior): httpClient.HttpClient {
  return {
    address: behavior,
    call({path}): ports.Answer<httpClient.HttpAnswer> {
      if (behavior === 'unsent' || behavior === 'lost') {
        const err: types.stepError.StepError = {
          kind: 'timeout',
          step: 'peer.relay submit',
          peer: behavior,
          effect: behavior === 'lost' ? 'unknown' : 'not_run',
          message: 'injected fault',
        };
        return Promise.resolve(result.err(err));
      }
      const isRelay = path === peerProtocol.RELAY_PATH;
      if (isRelay) relayed.push(behavior);
      const res =
        behavior === 'busy'
          ? {type: 'not_run', isPeerBusy: true}
          : {type: behavior};
      const body = JSON.stringify(isRelay ? res : {});
      return Promise.resolve(result.ok({status: 200, body: Buffer.from(body)}));
    },
    closeIdle: () => {},
    close: () => {},
  };
}

function createPeers(
  ...behaviors: readonly Behavior[]
): peerDirectory.PeerDirectory {
  const peers = peerDirectory.createPeerDirectory({
    self: 'self',
    clock: types.clock.createSystemClock(),
    logger: telemetry.logger.createLogger('silent'),
    openClient: (address) => createClient(address as Behavior),
  });
  for (const address of behaviors) {
    peers.apply(address, {
      entryId: types.ids.brand(`${address}.1`),
      domain: types.ids.brand('d1'),
      address,
    });
  }
  return peers;
}

// Guards against a refusal of a call that one of several peers may have applied.
test('a call may have been applied if one peer does not rule it out', async () => {
  for (const first of ['lost', 'unknown'] as const) {
    for (const second of ['not_run', 'invalid', 'unsent'] as const) {
      const outcome = await createPeers(first, second).relay(REQ, LIMITS);
      assert.equal(outcome.maybeApplied, true, `${first}, then ${second}`);
    }
  }
  for (const second of ['not_run', 'invalid', 'unsent'] as const) {
    const outcome = await createPeers('unsent', second).relay(REQ, LIMITS);
    assert.equal(outcome.maybeApplied, false, `unsent, then ${second}`);
  }
});

// Guards against the same for a call to the holder alone.
test('a call may have been applied unless the holder rules it out', async () => {
  const expected = {
    unsent: false,
    not_run: false,
    invalid: false,
    lost: true,
    unknown: true,
  } as const;
  for (const [behavior, maybeApplied] of Object.entries(expected)) {
    const peers = createPeers(behavior as Behavior);
    const outcome = await peers.relayTo(behavior, REQ, 1_000);
    assert.equal(outcome.maybeApplied, maybeApplied, behavior);
  }
});

// Guards against a busy holder that gets the calls of all entries all the same,
// and is so late with its own work that it is replaced.
test('a peer that says it is busy gets no forwarded calls for now', async () => {
  relayed = [];
  const peers = createPeers('busy');
  for (let call = 0; call < 3; call++) {
    const outcome = await peers.relayTo('busy', REQ, 100);
    assert.equal(outcome.type, 'unanswered');
    assert.equal(outcome.maybeApplied, false);
  }
  assert.deepEqual(relayed, ['busy']);
});
