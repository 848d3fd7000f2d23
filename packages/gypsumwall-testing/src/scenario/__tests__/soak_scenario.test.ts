import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as soakScenario from '../soak_scenario.js';
import type * as scenarioSchema from '../scenario_schema.js';

const SEEDS = Array.from({length: 50}, (_, nth) => nth + 1);
const ENDING: readonly scenarioSchema.Step['do'][] = ['kill', 'stop', 'leave'];

function stepsOf(seed: number): readonly scenarioSchema.Step[] {
  return soakScenario.soakScenario(seed).steps;
}

nodeTest.test('a seed gives the same scenario again', () => {
  for (const seed of SEEDS) assert.deepEqual(stepsOf(seed), stepsOf(seed));
  const texts = SEEDS.map((seed) => JSON.stringify(stepsOf(seed)));
  assert.equal(new Set(texts).size, SEEDS.length);
});

// A fault of an entry that was killed before would fail the scenario's step,
// and no promise would be judged.
nodeTest.test('nothing strikes an entry or upstream that has ended', () => {
  for (const seed of SEEDS) {
    const steps = stepsOf(seed);
    const struck = (step: scenarioSchema.Step) =>
      'entry' in step
        ? JSON.stringify(step.entry)
        : 'upstream' in step
          ? step.upstream
          : undefined;
    steps.forEach((step, index) => {
      if (!ENDING.includes(step.do)) return;
      const later = steps.slice(index + 1).map(struck);
      assert.ok(!later.includes(struck(step)), `seed ${seed}`);
    });
  }
});

nodeTest.test('among fifty seeds each kind of fault strikes', () => {
  const kinds = new Set(SEEDS.flatMap(stepsOf).map((step) => step.do));
  const wanted: readonly scenarioSchema.Step['do'][] = [
    ...ENDING,
    'freeze',
    'cut',
    'cut_one_way',
    'delay',
    'reset',
    'silence',
    'log',
    'worker',
    'restart_worker',
    'upstream',
  ];
  for (const kind of wanted) assert.ok(kinds.has(kind), kind);
});
