import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as recordPauses from '../record_pauses.js';

const {test} = nodeTest;

test('the longest recent pause is remembered and then forgotten', () => {
  let now = 0;
  const pauses = recordPauses.createRecordPauses({
    ...types.clock.createSystemClock(),
    monotonic: () => now as types.clock.MonotonicMs,
  });
  assert.equal(pauses.longestMs(), 0);
  pauses.add(500);
  pauses.add(200);
  assert.equal(pauses.longestMs(), 500);
  now = 10_000;
  pauses.add(300);
  assert.equal(pauses.longestMs(), 500);
  now = 19_000;
  assert.equal(pauses.longestMs(), 300);
  pauses.add(400);
  now = 60_000;
  assert.equal(pauses.longestMs(), 0);
});

// Guards against holders that are replaced in turn under a load which makes
// each of them write seldom.
test('a new holder may pause like its predecessor, not like a lost one', () => {
  let now = 0;
  const pauses = recordPauses.createRecordPauses({
    ...types.clock.createSystemClock(),
    monotonic: () => now as types.clock.MonotonicMs,
  });
  pauses.add(500);
  pauses.add(900);
  pauses.reset(100);
  assert.equal(pauses.longestMs(), 500);
  pauses.reset(600);
  assert.equal(pauses.longestMs(), 600);
  now = 60_000;
  pauses.reset(0);
  assert.equal(pauses.longestMs(), 0);
});
