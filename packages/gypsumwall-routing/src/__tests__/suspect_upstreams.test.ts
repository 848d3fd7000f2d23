import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as types from '@gypsumwall/types';
import * as routerHarness from '../__fixtures__/router_harness.js';
import * as upstreamHealth from '../upstream_health.js';

const SEED = 3;
const START = 0 as types.clock.MonotonicMs;

function makeHealth(): upstreamHealth.UpstreamHealth {
  return upstreamHealth.createUpstreamHealth(types.random.createRandom(SEED));
}

nodeTest.test('one silent connection does not make it suspect', () => {
  const health = makeHealth();
  health.failed('failing', START);
  assert.equal(health.mode(START), 'open');
  health.failed('failing', START);
  health.failed('failing', START);
  assert.equal(health.mode(START), 'suspect');
});

nodeTest.test('a dead one gets rarer probes until it answers', () => {
  const health = makeHealth();
  const pauses: number[] = [];
  let now = START;
  for (let probe = 0; probe < 8; probe += 1) {
    health.failed('unreachable', now);
    assert.equal(health.mode(now), 'dead');
    const due = health.probeAt() ?? now;
    pauses.push(due - now);
    now = due;
    assert.equal(health.mode(now), 'probe');
  }
  assert.ok((pauses.at(-1) ?? 0) > 10 * (pauses[0] ?? 0));
  health.answered(1, now);
  assert.equal(health.mode(now), 'open');
});

nodeTest.test('many slow answers make it suspect, one does not', () => {
  const health = makeHealth();
  health.answered(10, START);
  assert.equal(health.mode(START), 'open');
  for (let count = 0; count < 5; count += 1) health.answered(10, START);
  assert.equal(health.mode(START), 'suspect');
});

nodeTest.test('a slow probe does not clear it', () => {
  const health = makeHealth();
  for (let count = 0; count < 3; count += 1) health.failed('failing', START);
  const due = health.probeAt() ?? START;
  health.probing(due);
  health.answered(10, due);
  assert.equal(health.mode(due), 'suspect');
});

nodeTest.test(
  'no request that may not be repeated is sent as a probe',
  async () => {
    // One of two upstreams keeps breaking connections. Once a probe is due, a
    // request to file a plan comes: as a probe it could well end unknown, so
    // it goes to the other upstream.
    const harness = await routerHarness.createRouterHarness(2, 8);
    const {attempts} = harness.fakes;
    for (let sent = 0; sent < 60; sent += 1) {
      void harness.send();
      await timers.setImmediate();
      const attempt = attempts.at(-1);
      if (attempt?.upstream === 'u0') attempt.fail('closed', 'unknown');
      await harness.clock.advance(1);
      attempts.at(-1)?.done();
      await harness.clock.advance(20);
      harness.router.setView(harness.view);
    }
    const state = () =>
      harness.router.status().upstreams.find((one) => one.id === 'u0')?.state;
    assert.equal(state(), 'suspect');
    for (let step = 0; step < 100; step += 1) {
      await harness.clock.advance(50);
      harness.router.setView(harness.view);
    }
    for (let sent = 0; sent < 4; sent += 1) {
      void harness.send({idempotent: false});
      await timers.setImmediate();
      assert.equal(attempts.at(-1)?.upstream, 'u1');
    }
    void harness.send();
    await timers.setImmediate();
    assert.equal(attempts.at(-1)?.upstream, 'u0');
  },
);
