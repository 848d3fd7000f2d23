import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as leaseLengths from '../lease_length.js';

const {test} = nodeTest;
const LONGEST_MS = 10_000;
/** A cut of a failure domain that running work has to ride out. */
const CUT_MS = 6_000;
/** What a lasting task may be away, less the adviser's call and the start. */
const LASTING_AWAY_MS = 9_000 - 1_500;

const lengthOf = (fields: Partial<leaseLengths.LeaseView>) =>
  leaseLengths.leaseLength({
    longestMs: LONGEST_MS,
    runsLasting: false,
    isLeaving: false,
    ...fields,
  });

// Guards against work that is lost in a cut, and lasting tasks that wait for a
// lease for too long.
test('a lease is as long as what it protects asks for', () => {
  assert.equal(lengthOf({}), LONGEST_MS);
  const lasting = lengthOf({runsLasting: true});
  assert.ok(lasting > CUT_MS && lasting < LASTING_AWAY_MS);
  assert.ok(lengthOf({isLeaving: true}) < lasting);
  assert.ok(lengthOf({isLeaving: true, runsLasting: true}) < lasting);
});

test('a lease is never longer than a worker grants', () => {
  const longestMs = 1_000;
  for (const isLeaving of [true, false]) {
    for (const runsLasting of [true, false]) {
      assert.equal(lengthOf({longestMs, isLeaving, runsLasting}), longestMs);
    }
  }
});
