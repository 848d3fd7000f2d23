import * as assert from 'node:assert/strict';
import * as fc from 'fast-check';
import * as nodeTest from 'node:test';
import * as submissionWorld from '../__fixtures__/submission_world.js';

const {test} = nodeTest;
const RUNS = 300;
const SEED = 20_261_203;

// Guards against a caller who is told that its job never runs although one of
// the attempts to store it has succeeded or still may.
test('a refused job is not in the log, whatever becomes of each attempt', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.nat(), {minLength: 60, maxLength: 60}),
      async (numbers) => {
        let next = 0;
        const {answer, isStored} = await submissionWorld.submitOnce(
          (bound) => numbers[next++ % numbers.length]! % bound,
        );
        const isOpen = answer === 'ok' || answer === 'unknown';
        assert.ok(isOpen || !isStored, `${answer}, and the job is stored`);
        assert.ok(answer !== 'ok' || isStored, 'accepted, and not stored');
      },
    ),
    {numRuns: RUNS, seed: SEED},
  );
});
