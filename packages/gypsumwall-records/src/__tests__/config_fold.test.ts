import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as types from '@gypsumwall/types';
import * as configFold from '../config_fold.js';

const NOW = 0 as types.clock.MonotonicMs;
const quota = {cpuMillis: 1, memoryMb: 1, accelerators: 0};
const team = (weight: number) => ({
  tokenHashes: ['a'.repeat(64)],
  quota,
  weight,
});
const publish = (base: number, weight: number) => ({
  type: 'publish',
  path: 'teams/web',
  base,
  value: team(weight),
  operator: 'root',
});

nodeTest.test('of two concurrent publishes, the first wins', () => {
  // Both operators have read revision -1. The publish that is first in the log
  // takes effect, and the other operator is told of the conflict.
  const fold = configFold.createConfigFold();
  fold.apply(7, publish(configFold.NO_REVISION, 2), NOW);
  fold.apply(8, publish(configFold.NO_REVISION, 3), NOW);
  assert.equal(fold.team('web')?.weight, 2);
  assert.deepEqual(fold.verdict(7), {type: 'in_force'});
  assert.deepEqual(fold.verdict(8), {type: 'conflict', newest: 7});
});

nodeTest.test('an older snapshot does not revert a subtree', () => {
  const fold = configFold.createConfigFold();
  fold.apply(1, publish(configFold.NO_REVISION, 2), NOW);
  const old = fold.snapshot();
  fold.apply(2, publish(1, 5), NOW);
  fold.restore(old, NOW);
  assert.equal(fold.team('web')?.weight, 5);
});

nodeTest.test('an invalid value changes nothing', () => {
  const fold = configFold.createConfigFold();
  fold.apply(1, publish(configFold.NO_REVISION, 2), NOW);
  fold.apply(2, publish(1, -5), NOW);
  assert.equal(fold.team('web')?.weight, 2);
  assert.equal(fold.verdict(2)?.type, 'invalid');
});

// An operator of team `desk` copies the token hash of team `web` into their own
// subtree. If it were accepted, callers of `web` could be taken for `desk`,
// which could then read and cancel their jobs. The publish is refused; `web`
// keeps the hash and can still be published.
nodeTest.test('a token hash of another subtree is refused', () => {
  const fold = configFold.createConfigFold();
  fold.apply(1, publish(configFold.NO_REVISION, 2), NOW);
  const stolen = {...publish(configFold.NO_REVISION, 9), path: 'teams/desk'};
  fold.apply(2, stolen, NOW);
  assert.equal(fold.verdict(2)?.type, 'invalid');
  assert.equal(fold.team('desk'), undefined);
  fold.apply(3, publish(1, 4), NOW);
  assert.deepEqual(fold.verdict(3), {type: 'in_force'});
});

nodeTest.test('a subtree of a newer version is kept in snapshots', () => {
  // A newer release has set a key that this one does not know. This one
  // restores that release's snapshot and writes one itself: the setting must
  // not be lost.
  const newer = {revision: 4, value: {...team(2), keyOfLater: true}};
  const fold = configFold.createConfigFold();
  fold.restore(JSON.stringify([['teams/web', newer]]), NOW);
  assert.equal(fold.team('web'), undefined);
  assert.deepEqual(JSON.parse(fold.snapshot()), [['teams/web', newer]]);
});
