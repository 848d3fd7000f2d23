import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as routerHarness from '../__fixtures__/router_harness.js';

nodeTest.test(
  'a request gets the whole answer and frees its slot',
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

nodeTest.test('nothing is started on a view older than the lag', async () => {
  // The process pauses for longer than the list's lag and wakes: others may
  // have stopped counting it, so a request it starts could be one too many.
  const harness = await routerHarness.createRouterHarness(1, 1);
  await harness.clock.advance(2 * routerHarness.LAG_MS);
  void harness.router.route(harness.makeRequest());
  await timers.setImmediate();
  assert.equal(harness.fakes.attempts.length, 0);
});

nodeTest.test('a leaving upstream gets nothing new', async () => {
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
