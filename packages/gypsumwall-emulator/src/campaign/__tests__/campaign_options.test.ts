import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as campaignOptions from '../campaign_options.js';

const {test} = nodeTest;
const RANDOM_SEED = 77;

const parse = (...args: string[]) =>
  campaignOptions.parseCampaignCommand(args, RANDOM_SEED);

test('the seeds are consecutive and start at a random one by default', () => {
  assert.deepEqual(parse('--seeds', '3', '--from', '5').seeds, [5, 6, 7]);
  assert.equal(parse().seeds[0], RANDOM_SEED);
});

test('durations are converted to milliseconds', () => {
  assert.equal(parse('--seconds', '8').durationMs, 8_000);
});

test('workers crash beside losses of the holder only if that is asked for', () => {
  assert.equal(parse().crashesBesideKills, false);
  assert.equal(parse('--crashes').crashesBesideKills, true);
});

test('an invalid value is reported with the allowed ones', () => {
  assert.throws(() => parse('--entries', '9'), {
    message: '--entries=9: give a whole number from 1 to 6',
  });
  assert.throws(() => parse('--seeds', 'many'), /--seeds=many: give a whole/);
});
