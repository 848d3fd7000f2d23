import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as soakScenario from '../soak_scenario.js';
import type * as scenarioSchema from '../scenario_schema.js';

const SEEDS = Array.from({length: 50}, (_, nth) => nth + 1);
const TERMINAL_STEPS: readonly scenarioSchema.Step['do'][] = [
  'kill',
  'stop',
  'leave',
];

function stepsOf(seed: number): readonly scenarioSchema.Step[] {
  return soakScenario.soakScenario(seed).steps;
}

nodeTest.test('a seed always generates the same scenario', () => {
  for (const seed of SEEDS) assert.deepEqual(stepsOf(seed), stepsOf(seed));
  const texts = SEEDS.map((seed) => JSON.stringify(stepsOf(seed)));
  assert.equal(new Set(texts).size, SEEDS.length);
});

// A fault of an entry that was already killed would make the scenario's step
// fail, so that no guarantee would be checked.
nodeTest.test('no fault follows one that ends its entry or upstream', () => {
  for (const seed of SEEDS) {
    const steps = stepsOf(seed);
    const targetOf = (step: scenarioSchema.Step) =>
      'entry' in step
        ? JSON.stringify(step.entry)
        : 'upstream' in step
          ? step.upstream
          : undefined;
    steps.forEach((step, index) => {
      if (!TERMINAL_STEPS.includes(step.do)) return;
      const later = steps.slice(index + 1).map(targetOf);
      assert.ok(!later.includes(targetOf(step)), `seed ${seed}`);
    });
  }
});

nodeTest.test('fifty seeds contain every kind of fault', () => {
  const kinds = new Set(SEEDS.flatMap(stepsOf).map((step) => step.do));
  const wanted: readonly scenarioSchema.Step['do'][] = [
    ...TERMINAL_STEPS,
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
