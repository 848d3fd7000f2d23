/**
 * Patches that remove a safeguard have to follow the code: if one no longer
 * applies, nothing proves any more that its scenario depends on the safeguard.
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as exampleCell from '../../example_cell.js';
import * as scenarioFile from '../scenario_file.js';
import * as buildWithoutSafeguard from '../build_without_safeguard.js';

nodeTest.test('every patch applies and is named by a scenario', () => {
  const named = scenarioFile.scenarioNames().flatMap((name) => {
    const read = scenarioFile.readScenario(name);
    return read.isOk ? read.value.scenario.without : [];
  });
  const safeguards = buildWithoutSafeguard.safeguardNames();
  assert.deepEqual([...new Set(named)].sort(), safeguards);
  for (const safeguard of safeguards) {
    const patch = path.join('scenarios', 'without', `${safeguard}.patch`);
    const ran = childProcess.spawnSync('git', ['apply', '--check', patch], {
      cwd: exampleCell.REPOSITORY,
      encoding: 'utf8',
    });
    assert.equal(ran.status, 0, ran.stderr);
  }
});
