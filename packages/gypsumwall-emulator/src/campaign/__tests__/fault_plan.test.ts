import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as faultPlan from '../fault_plan.js';

const {test} = nodeTest;
const OPTIONS = {
  entries: 4,
  machines: 8,
  organisations: 2,
  durationMs: 20_000,
};
const SEEDS = Array.from({length: 30}, (_, nth) => nth);

test('a seed always gives the same faults', () => {
  const draw = (seed: number) => faultPlan.drawFaultPlan({...OPTIONS, seed});
  assert.deepEqual(draw(3), draw(3));
  assert.notDeepEqual(draw(3), draw(4));
});

// Guards against a campaign in which workers hardly ever crash beside losses of
// the holder, and against seeds that no longer give the plan they gave.
test('workers often crash beside losses of the holder if that is asked for', () => {
  for (const seed of SEEDS) {
    const usual = faultPlan.drawFaultPlan({...OPTIONS, seed});
    const plan = faultPlan.drawFaultPlan({
      ...OPTIONS,
      seed,
      crashesBesideKills: true,
    });
    const isAdded = ({fault}: faultPlan.PlannedFault) =>
      fault.type === 'crash_beside_kill';
    assert.ok(plan.filter(isAdded).length >= 5);
    assert.deepEqual(
      plan.filter((one) => !isAdded(one)),
      usual,
    );
  }
});

test('faults of every type are drawn, several of them at a time', () => {
  const plans = SEEDS.map((seed) =>
    faultPlan.drawFaultPlan({...OPTIONS, seed}),
  );
  const types = new Set(plans.flat().map(({fault}) => fault.type));
  assert.deepEqual([...types].sort(), [
    'burst',
    'freeze',
    'kill',
    'new_key',
    'small_workers',
    'store_fault',
    'store_slow',
    'terminate',
    'worker_crash',
  ]);
  for (const plan of plans) {
    const peak = Math.max(
      ...plan.map(
        ({startMs}) =>
          plan.filter((one) => one.startMs <= startMs && startMs < one.endMs)
            .length,
      ),
    );
    assert.ok(peak >= 3, `at most ${peak} faults at a time`);
    assert.ok(plan.every(({endMs}) => endMs <= OPTIONS.durationMs));
  }
});
