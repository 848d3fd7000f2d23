import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as spreadCell from '../spread_cell.js';

const {test} = nodeTest;
const WORKERS = 64;
const ONE = {name: 'one', hasHelpers: false, hasCoordinator: false};
const WAYS: readonly spreadCell.SpreadVariant[] = [
  ONE,
  {...ONE, name: 'helpers', hasHelpers: true},
  {...ONE, name: 'shards', shardSize: 16},
  {...ONE, name: 'coordinator', shardSize: 16, hasCoordinator: true},
];

function run(way: spreadCell.SpreadVariant, load: number) {
  return spreadCell.runSpreadCell({
    variant: way,
    workers: WORKERS,
    seconds: 12,
    seed: 5,
    load: (load * WORKERS) / 246,
  });
}

for (const way of WAYS) {
  // Guards against a way that loses jobs, splits gangs or books room twice.
  test(`${way.name}: work is done, gangs whole, no worker overbooked`, () => {
    const result = run(way, 0.5);
    assert.ok(result.starts > 200, `${result.starts} starts`);
    assert.ok(result.onTime.get('wide-small')! > 0.9);
    assert.equal(result.gangsPartial, 0);
    assert.equal(result.overbooked, 0);
  });
}

test('shards are no larger than asked for and none spans two domains', () => {
  assert.equal(spreadCell.countShards(ONE, WORKERS), 1);
  assert.equal(spreadCell.countShards({...ONE, shardSize: 64}, 33), 4);
  assert.equal(spreadCell.countShards({...ONE, shardSize: 64}, 1_000), 16);
});

test('a crowded shard hands jobs on', () => {
  const result = run({...ONE, shardSize: 16}, 1);
  assert.ok(result.moves > 0);
  assert.equal(result.overbooked, 0);
});

// Guards against gangs placed by an old copy of the workers' rooms.
test('a coordinator in a full cell has no room booked twice', () => {
  const result = run({...ONE, shardSize: 16, hasCoordinator: true}, 1.2);
  assert.ok(result.conflicts > 0);
  assert.equal(result.overbooked, 0);
  assert.equal(result.gangsPartial, 0);
});
