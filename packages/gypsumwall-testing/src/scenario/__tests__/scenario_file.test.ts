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

nodeTest.test('errors of a bad scenario name line and correction', () => {
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

nodeTest.test('the error of a missing scenario names its file', () => {
  const read = scenarioFile.readScenario('no-such');
  assert.ok(read.isErr);
  assert.match(
    read.error,
    /scenarios\/no-such\.jsonc: no such file; there are /,
  );
});

nodeTest.test('a seed always generates the same scenarios', () => {
  const generate = () => randomScenario.randomScenarios(20, 7);
  assert.deepEqual(generate(), generate());
  const stories = new Set(generate().map(({story}) => story.join()));
  assert.ok(stories.size > 15, `${stories.size} different stories`);
});
