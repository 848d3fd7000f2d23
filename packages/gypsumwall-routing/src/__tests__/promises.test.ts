import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as faultScript from '../__fixtures__/fault_script.js';

const SEED = 17;
const RUNS = 150;
/**
 * The maximum delay of an outcome: the timer resolution and the test's steps.
 */
const MAX_DELAY_MS = 2 * faultScript.STEP_MS;

nodeTest.test('outcomes are true under any mix of faults', async () => {
  // Upstreams answer, refuse, reset, stop answering and leave at random while
  // callers send and cancel requests. "Not run" must always mean that no
  // attempt may have run, and a request that isn't idempotent may run only
  // once.
  await fastCheck.assert(
    fastCheck.asyncProperty(faultScript.arbitraryScript, async (script) =>
      checkHistory(await faultScript.runScript(script)),
    ),
    {seed: SEED, numRuns: RUNS},
  );
});

function checkHistory(history: faultScript.History): void {
  for (const [id, arrival] of history.sent) {
    const outcome = history.outcomes.get(id);
    assert.ok(outcome, `${id} has an outcome`);
    const mayHaveRun = history.attempts.filter(
      (one) =>
        one.req.requestId === id && canHaveRun(history.behaviourOf.get(one)),
    ).length;
    if (outcome.type === 'not_run') assert.equal(mayHaveRun, 0);
    if (outcome.type === 'done') assert.ok(mayHaveRun > 0);
    if (!arrival.idempotent) assert.ok(mayHaveRun <= 1, `${id} ran twice`);
    assert.ok(
      (history.delayMsOf.get(id) ?? 0) <= MAX_DELAY_MS,
      `${id} is late`,
    );
  }
  assert.equal(history.attemptsAfterLeaving, 0);
  assert.ok(history.maxInFlight <= faultScript.UPSTREAMS * faultScript.SLOTS);
}

function canHaveRun(behaviour: faultScript.Behaviour | undefined): boolean {
  switch (behaviour?.type) {
    case 'done':
    case 'reset':
    case 'silent':
      return true;
    case 'refuse':
    case 'unreachable':
    case undefined:
      return false;
  }
}
