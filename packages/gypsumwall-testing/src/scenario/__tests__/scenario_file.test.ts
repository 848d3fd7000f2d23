import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as jsoncFile from '../../jsonc_file.js';
import * as randomScenario from '../random_scenario.js';
import * as scenarioFile from '../scenario_file.js';
import * as scenarioSchema from '../scenario_schema.js';

nodeTest.test('every scenario in the repository is well formed', () => {
  for (const name of scenarioFile.scenarioNames()) {
    const read = scenarioFile.readScenario(name);
    if (read.isErr) assert.fail(read.error);
  }
});

nodeTest.test('a bad scenario is refused with line and remedy', () => {
  const text = [
    '{',
    '  "promise": "p",',
    '  "story": ["a", "b"],',
    '  "steps": [',
    '    {"do": "freeze", "entry": "e1", "forMs": 5},',
    '    {"do": "explode"},',
    '  ],',
    '}',
  ].join('\n');
  const schema = scenarioSchema.scenarioSchema;
  const parsed = jsoncFile.parseJsonc('bad.jsonc', text, schema);
  assert.ok(parsed.isErr);
  assert.match(parsed.error, /bad\.jsonc:5: steps\.0: remove forMs or mend/);
  assert.match(parsed.error, /bad\.jsonc:6: steps\.1\.do: /);
});

nodeTest.test('a missing scenario is refused by its name', () => {
  const read = scenarioFile.readScenario('no-such');
  assert.ok(read.isErr);
  assert.match(
    read.error,
    /scenarios\/no-such\.jsonc: no such file; there are /,
  );
});

nodeTest.test('a seed draws the same scenarios again', () => {
  const draw = () => randomScenario.randomScenarios(20, 7);
  assert.deepEqual(draw(), draw());
  const stories = new Set(draw().map(({story}) => story.join()));
  assert.ok(stories.size > 15, `${stories.size} different ones`);
});
