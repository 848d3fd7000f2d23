import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as nodeTest from 'node:test';
import * as emulatorConfig from '../config/emulator_config.js';

const {test} = nodeTest;
const DEMO = 'packages/gypsumwall-emulator/examples/demo.jsonc';
const text = fs.readFileSync(DEMO, 'utf8');

function parseError(changedText: string): string {
  const parsed = emulatorConfig.parseEmulatorConfig(
    'platform.jsonc',
    changedText,
  );
  assert.ok(parsed.isErr);
  return parsed.error;
}

test("the demo's file is valid and gets default values", () => {
  const config = emulatorConfig.readEmulatorConfig(DEMO);
  assert.equal(config.zones.length, 3);
  assert.equal(config.workers.slowestClock, 0.98);
  assert.equal(config.store.writesPerS, 600);
});

test('an unknown key is rejected with its position', () => {
  const error = parseError(text.replace('"stopMs"', '"stopsMs"'));
  assert.match(error, /platform\.jsonc:\d+: workers: remove stopsMs or mend/);
});

test('an invalid value is reported with the allowed ones', () => {
  const error = parseError(text.replace('0.3', '1.3'));
  assert.match(
    error,
    /:\d+: adviserRefusedShare: give a share from 0 to 1; it is 1\.3/,
  );
});

test('a queue of an unknown pool is rejected', () => {
  const error = parseError(text.replace('"pool": "general"', '"pool": "fast"'));
  assert.match(error, /queues\.0\.pool: name one of the pools: general; it is/);
});
