import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as routerHarness from '../__fixtures__/router_harness.js';

nodeTest.test(
  'a request gets the whole answer and releases its slot',
  async () => {
    const harness = await routerHarness.createRouterHarness(1, 1);
    const routed = harness.router.route(harness.makeRequest());
    await timers.setImmediate();
    harness.fakes.attempts[0]?.done();
    const answer = (await routed).unwrapOrElse((failure) =>
      assert.fail(JSON.stringify(failure)),
    );
    assert.equal(harness.router.status().inFlight, 1);
    assert.equal(String(answer.body.read()), 'whole');
    answer.body.resume();
    await harness.clock.advance(1);
    assert.equal(harness.router.status().inFlight, 0);
  },
);

nodeTest.test('no request is sent on a view older than the lag', async () => {
  // The process pauses for longer than the list's lag. Other entries may no
  // longer count it, so a request that it sends could exceed the slots.
  const harness = await routerHarness.createRouterHarness(1, 1);
  await harness.clock.advance(2 * routerHarness.LIST_LAG_MS);
  void harness.router.route(harness.makeRequest());
  await timers.setImmediate();
  assert.equal(harness.fakes.attempts.length, 0);
});

nodeTest.test('a leaving upstream gets no new requests', async () => {
  const harness = await routerHarness.createRouterHarness(2, 1);
  const upstreams = harness.view.upstreams.map((listed, index) =>
    index === 0 ? {...listed, state: 'leaving' as const} : listed,
  );
  harness.router.setView({...harness.view, upstreams});
  void harness.router.route(harness.makeRequest());
  void harness.router.route(harness.makeRequest());
  await timers.setImmediate();
  assert.deepEqual(
    harness.fakes.attempts.map((attempt) => attempt.upstream),
    ['u1'],
  );
});
