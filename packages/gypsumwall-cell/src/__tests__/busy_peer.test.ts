import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as peerDirectory from '../peer_directory.js';

const {test} = nodeTest;

const BUSY = {type: 'not_run', retryAfterMs: 1_000, isPeerBusy: true};
const CALL_INTERVAL_MS = 100;

// Guards against a holder whose processor goes into telling its peers that it
// is busy.
test('a peer that stays busy is called less and less often', async () => {
  let now = 0 as types.clock.MonotonicMs;
  let answer: object = BUSY;
  const calledAt: number[] = [];
  const peers = peerDirectory.createPeerDirectory({
    self: 'self',
    clock: {...types.clock.createSystemClock(), monotonic: () => now},
    logger: telemetry.logger.createLogger('silent'),
    openClient: (address) => ({
      address,
      call() {
        calledAt.push(now);
        const body = Buffer.from(JSON.stringify(answer));
        return Promise.resolve(result.ok({status: 200, body}));
      },
      closeIdle: () => {},
      close: () => {},
    }),
  });
  peers.apply('holder', {
    entryId: types.ids.brand('holder.1'),
    domain: types.ids.brand('d1'),
    address: '127.0.0.1:1',
  });
  const callFor = async (spanMs: number) => {
    const until = now + spanMs;
    for (; now < until; now = types.clock.after(now, CALL_INTERVAL_MS))
      await peers.relayTo('holder', {type: 'pending', queue: 'plans'}, 100);
  };
  await callFor(15_000);
  assert.deepEqual(calledAt, [0, 1_000, 3_000, 7_000, 11_000]);
  answer = {type: 'ok', value: 1};
  await callFor(1_000);
  assert.equal(calledAt.length, 15, 'called as usual once it answers');
  answer = BUSY;
  calledAt.length = 0;
  await callFor(1_500);
  assert.deepEqual(calledAt, [16_000, 17_000]);
});
