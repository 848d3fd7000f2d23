/** A short campaign of overlapping faults against the deployed program. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as builtProgram from '../__fixtures__/built_program.js';
import * as runCampaign from '../campaign/run_campaign.js';

const {test} = nodeTest;
const builtInto = builtProgram.buildProgramForTests();

// Guards against refused jobs that run all the same, and against broken
// promises while the store, the entries and the workers fail at the same time.
test('promises hold while faults of the platform and its machines overlap', async () => {
  const result = await runCampaign.runCampaign({
    seed: 6,
    entries: 4,
    organisations: 2,
    durationMs: 8_000,
    deployFile: 'deploy/system.toml',
    builtInto,
  });
  assert.deepEqual(result.findings, []);
  assert.ok(result.counts.accepted > 0 && result.counts.refused > 0);
});

// Guards against work that is lost or runs twice when the peers that call the
// workers for the holder are killed, frozen or cut off.
test('promises hold while peers that call the workers fail', async () => {
  const result = await runCampaign.runCampaign({
    seed: 7,
    entries: 4,
    organisations: 2,
    cpuShare: 0.01,
    durationMs: 8_000,
    deployFile: 'deploy/system.toml',
    builtInto,
  });
  assert.deepEqual(result.findings, []);
  assert.ok(result.counts.accepted > 0);
});
