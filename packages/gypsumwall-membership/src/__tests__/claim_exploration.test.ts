import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import * as claimExploration from '../__fixtures__/claim_exploration.js';
import * as claimScripts from '../__fixtures__/claim_scripts.js';

/** Enough to find most removed safeguards; longer runs are made by hand. */
const RUNS = 150;
const SEED = 20_261_202;
const MOST_STEPS = 8;

for (const {name, script} of claimScripts.FIXED_SCRIPTS) {
  nodeTest.test(`one holder at a time: ${name}`, async () => {
    const outcome = await claimExploration.play(script);
    assert.deepEqual(outcome.violations, []);
  });
}

nodeTest.test('random faults never make two holders', async () => {
  // Up to eight faults in quick succession: pauses, log outages, lost and
  // late appends, cuts, deaths, restarts, releases. At every event at most
  // one process may find its claim held, and no worker may accept a start of
  // a replaced holder beside the new one.
  await fastCheck.assert(
    fastCheck.asyncProperty(
      claimExploration.scripts(MOST_STEPS),
      async (script) => {
        const outcome = await claimExploration.play(script);
        assert.deepEqual(outcome.violations, []);
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
});
