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

nodeTest.test('one fault does not make an upstream suspect, three do', () => {
  const health = makeHealth();
  health.recordFault('failing', START);
  assert.equal(health.mode(START), 'open');
  health.recordFault('failing', START);
  health.recordFault('failing', START);
  assert.equal(health.mode(START), 'suspect');
});

nodeTest.test('probes of a dead upstream become rarer until it answers', () => {
  const health = makeHealth();
  const probeDelays: number[] = [];
  let now = START;
  for (let probe = 0; probe < 8; probe += 1) {
    health.recordFault('unreachable', now);
    assert.equal(health.mode(now), 'dead');
    const due = health.nextProbeAt() ?? now;
    probeDelays.push(due - now);
    now = due;
    assert.equal(health.mode(now), 'probe');
  }
  assert.ok((probeDelays.at(-1) ?? 0) > 10 * (probeDelays[0] ?? 0));
  health.recordAnswer(1, now);
  assert.equal(health.mode(now), 'open');
});

nodeTest.test(
  'many slow answers make an upstream suspect, one does not',
  () => {
    const health = makeHealth();
    health.recordAnswer(10, START);
    assert.equal(health.mode(START), 'open');
    for (let count = 0; count < 5; count += 1) health.recordAnswer(10, START);
    assert.equal(health.mode(START), 'suspect');
  },
);

nodeTest.test('a slow probe does not clear a suspect upstream', () => {
  const health = makeHealth();
  for (let count = 0; count < 3; count += 1)
    health.recordFault('failing', START);
  const due = health.nextProbeAt() ?? START;
  health.onProbeSent(due);
  health.recordAnswer(10, due);
  assert.equal(health.mode(due), 'suspect');
});

nodeTest.test(
  'a request that is not idempotent is not sent as a probe',
  async () => {
    // One of two upstreams keeps closing connections. When a probe is due, a
    // request arrives that isn't idempotent. As a probe it could end with an
    // unknown outcome, so it is sent to the other upstream.
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
