import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as spreadCell from '../spread_cell.js';

const {test} = nodeTest;
const WORKERS = 64;
const SINGLE_DECIDER = {name: 'one', hasHelpers: false, hasCoordinator: false};
const VARIANTS: readonly spreadCell.SpreadVariant[] = [
  SINGLE_DECIDER,
  {...SINGLE_DECIDER, name: 'helpers', hasHelpers: true},
  {...SINGLE_DECIDER, name: 'shards', shardSize: 16},
  {...SINGLE_DECIDER, name: 'coordinator', shardSize: 16, hasCoordinator: true},
];

function run(variant: spreadCell.SpreadVariant, load: number) {
  return spreadCell.runSpreadCell({
    variant,
    workers: WORKERS,
    seconds: 12,
    seed: 5,
    load: (load * WORKERS) / 246,
  });
}

for (const variant of VARIANTS) {
  // Guards against a variant that loses jobs, splits gangs or reserves the same
  // capacity twice.
  test(`${variant.name}: work is done, gangs whole, no worker overbooked`, () => {
    const result = run(variant, 0.5);
    assert.ok(result.starts > 200, `${result.starts} starts`);
    assert.ok(result.onTime.get('wide-small')! > 0.9);
    assert.equal(result.gangsPartial, 0);
    assert.equal(result.overbooked, 0);
  });
}

test('no shard exceeds the requested size or spans two domains', () => {
  assert.equal(spreadCell.countShards(SINGLE_DECIDER, WORKERS), 1);
  assert.equal(
    spreadCell.countShards({...SINGLE_DECIDER, shardSize: 64}, 33),
    4,
  );
  assert.equal(
    spreadCell.countShards({...SINGLE_DECIDER, shardSize: 64}, 1_000),
    16,
  );
});

test('a shard without free capacity moves jobs to other shards', () => {
  const result = run({...SINGLE_DECIDER, shardSize: 16}, 1);
  assert.ok(result.moves > 0);
  assert.equal(result.overbooked, 0);
});

// Guards against gangs that are placed by outdated free capacities of workers.
test('a coordinator in a full cell never reserves the same capacity twice', () => {
  const result = run(
    {...SINGLE_DECIDER, shardSize: 16, hasCoordinator: true},
    1.2,
  );
  assert.ok(result.conflicts > 0);
  assert.equal(result.overbooked, 0);
  assert.equal(result.gangsPartial, 0);
});
