import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as types from '@gypsumwall/types';
import * as routerHarness from '../__fixtures__/router_harness.js';

const DISTANT_DEADLINE = types.clock.after(
  0 as types.clock.MonotonicMs,
  1_000_000,
);
const OTHER_TEAM = types.ids.brand<types.ids.TeamId>('tesfaye');
const BOUND_MS = 100_000;

/**
 * Creates a router whose only slot is in use, so that further requests wait.
 */
async function createBusyHarness(maxQueuedRequests: number) {
  const harness = await routerHarness.createRouterHarness(1, 1, {
    requestBoundMs: BOUND_MS,
    listLagMs: BOUND_MS,
    defaults: {weight: 1, maxQueuedRequests, retryBudget: 0.1},
  });
  void harness.send({deadline: DISTANT_DEADLINE, idempotent: false});
  await timers.setImmediate();
  return harness;
}

/** Answers the requests in flight, one after the other. */
async function answerInFlight(
  harness: routerHarness.RouterHarness,
  count: number,
) {
  for (let served = 0; served < count; served += 1) {
    harness.fakes.attempts.at(-1)?.done();
    await harness.clock.advance(1);
  }
}

/** Asserts that the outcome is a refusal. */
function refusalOf(outcome: types.outcome.Outcome) {
  assert.ok(outcome.type === 'not_run', outcome.type);
  return outcome;
}

nodeTest.test(
  'the most urgent request is served first, then the earliest latest start',
  async () => {
    const harness = await createBusyHarness(10);
    const later = types.clock.after(DISTANT_DEADLINE, 1);
    void harness.send({
      requestId: 'third',
      urgency: 'normal',
      deadline: DISTANT_DEADLINE,
    });
    void harness.send({requestId: 'second', deadline: later});
    void harness.send({requestId: 'first', deadline: DISTANT_DEADLINE});
    await answerInFlight(harness, 4);
    assert.deepEqual(
      harness.fakes.attempts.slice(1).map((attempt) => attempt.req.requestId),
      ['first', 'second', 'third'],
    );
  },
);

nodeTest.test(
  'a full queue refuses the least urgent request first',
  async () => {
    const harness = await createBusyHarness(1);
    const overnight = harness.send({
      urgency: 'overnight',
      deadline: DISTANT_DEADLINE,
    });
    void harness.send({deadline: DISTANT_DEADLINE});
    const refusedOvernight = refusalOf(await overnight);
    assert.equal(refusedOvernight.reason, 'overloaded');
    assert.ok((refusedOvernight.retryAfterMs ?? 0) > 0);
    const refused = refusalOf(await harness.send({deadline: DISTANT_DEADLINE}));
    assert.equal(refused.reason, 'overloaded');
  },
);

nodeTest.test(
  'a request that cannot meet its deadline is refused at once',
  async () => {
    // The queue holds 50 s of work for one slot. A request with a deadline in
    // 10 s is refused immediately and not after 10 s.
    const harness = await createBusyHarness(10);
    for (let sent = 0; sent < 5; sent += 1) {
      void harness.send({estimateMs: 10_000, deadline: DISTANT_DEADLINE});
    }
    const before = harness.clock.monotonic();
    const deadline = types.clock.after(before, 10_000);
    const refused = refusalOf(await harness.send({deadline}));
    assert.equal(refused.reason, 'deadline_unreachable');
    assert.ok((refused.retryAfterMs ?? 0) >= 40_000);
    assert.equal(harness.clock.monotonic(), before);
  },
);

nodeTest.test('a waiting request is refused at its latest start', async () => {
  const harness = await createBusyHarness(10);
  const deadline = types.clock.after(harness.clock.monotonic(), 1_000);
  const waiting = harness.send({estimateMs: 100, deadline});
  await harness.clock.advance(900);
  assert.equal(harness.router.status().queued, 0);
  assert.equal(refusalOf(await waiting).reason, 'deadline_unreachable');
});

nodeTest.test(
  'many requests of one team do not delay another team',
  async () => {
    // 10 requests of one team wait when one of another team arrives. It is
    // served first or second, not eleventh.
    const harness = await createBusyHarness(10);
    for (let sent = 0; sent < 10; sent += 1)
      void harness.send({deadline: DISTANT_DEADLINE});
    void harness.send({deadline: DISTANT_DEADLINE, team: OTHER_TEAM});
    await answerInFlight(harness, 2);
    const teams = harness.fakes.attempts.map((attempt) => attempt.req.team);
    assert.ok(teams.includes(OTHER_TEAM));
  },
);

nodeTest.test(
  'drain lets admitted requests finish and refuses new ones',
  async () => {
    const harness = await createBusyHarness(10);
    const waiting = harness.router.route(
      harness.makeRequest({deadline: DISTANT_DEADLINE}),
    );
    let drained = false;
    void harness.router.drain().then(() => (drained = true));
    assert.equal(refusalOf(await harness.send()).reason, 'leaving');
    await answerInFlight(harness, 2);
    const answer = await waiting;
    assert.ok(answer.isOk);
    assert.equal(drained, false);
    answer.value.body.resume();
    await harness.clock.advance(1);
    assert.equal(drained, true);
  },
);

nodeTest.test('many teams with one request each are not refused', async () => {
  // 9 other teams have one request of 10 s each in the queue, and so has the
  // team under test. Its next request waits for 100 s at most. Its fair share
  // of the slot alone would predict a longer wait and get the request refused.
  const harness = await createBusyHarness(10);
  for (let team = 0; team < 9; team += 1) {
    const id = types.ids.brand<types.ids.TeamId>(`team-${team}`);
    void harness.send({
      team: id,
      estimateMs: 10_000,
      deadline: DISTANT_DEADLINE,
    });
  }
  void harness.send({estimateMs: 10_000, deadline: DISTANT_DEADLINE});
  const now = harness.clock.monotonic();
  const deadline = types.clock.after(now, 101_000);
  void harness.send({estimateMs: 10, deadline});
  await timers.setImmediate();
  assert.equal(harness.router.status().queued, 11);
});

nodeTest.test(
  'all waiting requests are refused at once when the share is lost',
  async () => {
    const harness = await createBusyHarness(10);
    const waiting = harness.send({deadline: DISTANT_DEADLINE});
    await timers.setImmediate();
    harness.router.setView({...harness.view, entries: []});
    assert.equal(refusalOf(await waiting).reason, 'no_upstream');
  },
);

nodeTest.test(
  'closing refuses all waiting requests and leaves no timer',
  async () => {
    const harness = await createBusyHarness(10);
    const waiting = harness.send({deadline: DISTANT_DEADLINE});
    await timers.setImmediate();
    await harness.router.close();
    assert.equal(refusalOf(await waiting).reason, 'deadline_unreachable');
    await timers.setImmediate();
    assert.equal(harness.clock.pendingSleeps(), 0);
  },
);
