import * as assert from 'node:assert/strict';
import * as fc from 'fast-check';
import * as nodeTest from 'node:test';
import * as submissionWorld from '../__fixtures__/submission_world.js';

const {test} = nodeTest;
const RUNS = 300;
const SEED = 20_261_203;
const DRAWS = 90;

/** Submits a job in drawn worlds and checks what became of it in each. */
async function checkSubmissions(
  submissions: number,
  check: (outcomes: submissionWorld.SubmissionOutcome[]) => void,
): Promise<void> {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.nat(), {minLength: DRAWS, maxLength: DRAWS}),
      async (numbers) => {
        let next = 0;
        const draw = (bound: number) =>
          numbers[next++ % numbers.length]! % bound;
        check(await submissionWorld.submitJob(draw, submissions));
      },
    ),
    {numRuns: RUNS, seed: SEED},
  );
}

// Guards against a caller who is told that its job never runs although one of
// the attempts to store it has succeeded or still may.
test('a refused job is not in the log, whatever becomes of each attempt', async () => {
  await checkSubmissions(1, ([outcome]) => {
    const {answer, isStored} = outcome!;
    const isOpen = answer === 'ok' || answer === 'unknown';
    assert.ok(isOpen || !isStored, `${answer}, and the job is stored`);
    assert.ok(answer !== 'ok' || isStored, 'accepted, and not stored');
  });
});

// Guards against the same where the caller repeats a call without an answer and
// only the repeat is refused.
test('a repeated submission is not refused while an earlier one may be stored', async () => {
  await checkSubmissions(3, (outcomes) => {
    outcomes.forEach(({answer}, nth) => {
      const isOpen = answer === 'ok' || answer === 'unknown';
      const isStored = outcomes
        .slice(0, nth + 1)
        .some((outcome) => outcome.isStored);
      assert.ok(isOpen || !isStored, `${answer}, and the job is stored`);
    });
  });
});
