import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import type * as requestRecords from '../request_records.js';
import * as requestFold from '../request_fold.js';

const clock = types.clock.createSystemClock();
const NOW = clock.monotonic();
const team = types.ids.brand<types.ids.TeamId>('web');
const key = types.ids.brand<types.ids.IdempotencyKey>('k1');

function intent(requestId: string): requestRecords.RequestRecord {
  return {
    type: 'intent',
    team,
    key,
    requestId,
    entryId: types.ids.brand<types.ids.EntryId>('e1'),
    operation: 'file-plan',
    bodyHash: '',
    windowMs: 1_000,
    acceptedAt: clock.wall(),
  };
}

function outcome(
  requestId: string,
  value: types.outcome.Outcome,
): requestRecords.RequestRecord {
  return {type: 'outcome', team, key, requestId, outcome: value};
}

nodeTest.test('only the first intent for a key may run', () => {
  const fold = requestFold.createRequestFold(clock);
  fold.apply(3, intent('first'), NOW);
  fold.apply(4, intent('second'), NOW);
  assert.equal(fold.key(team, key)?.offset, 3);
});

nodeTest.test('the outcome not_run frees the key', () => {
  const fold = requestFold.createRequestFold(clock);
  fold.apply(3, intent('first'), NOW);
  const refused = {
    type: 'not_run',
    reason: 'overloaded',
    message: '',
  } as const;
  fold.apply(4, outcome('first', refused), NOW);
  fold.apply(5, intent('second'), NOW);
  assert.equal(fold.key(team, key)?.offset, 5);
});

nodeTest.test('the outcome unknown never frees the key', () => {
  // The first attempt may have run, so a second one could bill a pilot twice.
  const fold = requestFold.createRequestFold(clock);
  fold.apply(3, intent('first'), NOW);
  fold.apply(4, outcome('first', {type: 'unknown', message: ''}), NOW);
  fold.apply(5, intent('second'), NOW);
  assert.equal(fold.key(team, key)?.offset, 3);
});

nodeTest.test('the outcome of another intent does not settle the key', () => {
  // A second intent that is withdrawn must not free the key of the first.
  const fold = requestFold.createRequestFold(clock);
  fold.apply(3, intent('first'), NOW);
  fold.apply(4, intent('second'), NOW);
  const withdrawn = {
    type: 'not_run',
    reason: 'log_unavailable',
    message: '',
  } as const;
  fold.apply(5, outcome('second', withdrawn), NOW);
  assert.equal(fold.key(team, key)?.outcome, undefined);
});

nodeTest.test('a restored fold decides like the original', () => {
  const fold = requestFold.createRequestFold(clock);
  fold.apply(3, intent('first'), NOW);
  fold.apply(4, outcome('first', {type: 'done'}), NOW);
  const restored = requestFold.createRequestFold(clock);
  restored.restore(fold.snapshot(), NOW);
  restored.apply(5, intent('second'), NOW);
  assert.equal(restored.key(team, key)?.offset, 3);
  assert.equal(restored.key(team, key)?.outcome?.outcome.type, 'done');
});

nodeTest.test('old answers are dropped, but their keys are kept', () => {
  // Large answers must not exhaust the entry's memory, but dropping an answer
  // must not let its request run a second time.
  const fold = requestFold.createRequestFold(clock);
  const answer = 'x'.repeat(requestFold.MAX_STORED_ANSWER_CHARS / 4);
  const keyOf = (n: number) =>
    types.ids.brand<types.ids.IdempotencyKey>(`large-${n}`);
  for (let n = 0; n < 6; n += 1) {
    const id = `request-${n}`;
    fold.apply(2 * n, {...intent(id), key: keyOf(n)}, NOW);
    const done = {...outcome(id, {type: 'done'}), key: keyOf(n), answer};
    fold.apply(2 * n + 1, done, NOW);
  }
  const kept = [0, 1, 2, 3, 4, 5].map(
    (n) => fold.key(team, keyOf(n))?.outcome?.answer !== undefined,
  );
  assert.deepEqual(kept, [false, false, true, true, true, true]);
  fold.apply(20, {...intent('again'), key: keyOf(0)}, NOW);
  assert.equal(fold.key(team, keyOf(0))?.offset, 0);
});
