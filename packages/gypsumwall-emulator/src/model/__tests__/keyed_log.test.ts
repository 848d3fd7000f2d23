import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as keyedLog from '../keyed_log.js';

const {test} = nodeTest;
const KEEP_MS = 1_000;

function createFixture() {
  const clock = types.virtualClock.createVirtualClock();
  return {clock, log: keyedLog.createKeyedLog({clock, keepMs: KEEP_MS})};
}

const fence = (epoch: number, sequence: number) => ({
  fence: {producer: 'holder', epoch, sequence},
});
const entry = (key: string, value = 'x') => [{key, value}];

test('an append with an expected end offset fails if the log ends elsewhere', () => {
  const {log} = createFixture();
  log.append(entry('a'), {expectedEndOffset: 0});
  const second = log.append(entry('b'), {expectedEndOffset: 0});
  assert.deepEqual(second, {type: 'moved', endOffset: 1});
});

test('an epoch fences lower ones, and its appends need consecutive sequences', () => {
  const {log} = createFixture();
  assert.equal(log.append(entry('a'), fence(3, 7)).type, 'appended');
  assert.equal(log.append(entry('b'), fence(2, 0)).type, 'fenced');
  const skipped = log.append(entry('b'), fence(3, 9));
  assert.deepEqual(skipped, {type: 'out_of_sequence', expected: 8});
  assert.equal(log.append(entry('b'), fence(4, 0)).type, 'appended');
});

test('a repeated append returns its first outcome and adds no record', () => {
  const {log} = createFixture();
  const first = log.append(entry('a'), fence(1, 0));
  assert.deepEqual(log.append(entry('a'), fence(1, 0)), first);
  assert.equal(log.endOffset(), 1);
});

test('an append without records sets the epoch', () => {
  const {log} = createFixture();
  log.append([], fence(5, 0));
  assert.equal(log.append(entry('a'), fence(4, 0)).type, 'fenced');
  assert.equal(log.endOffset(), 0);
});

test('old records expire, but the newest of each key is kept', async () => {
  const {clock, log} = createFixture();
  log.append(entry('a', 'old'), {});
  log.append(entry('a', 'new'), {});
  log.append(entry('gone'), {});
  log.append(entry('gone', ''), {});
  await clock.runUntil(2 * KEEP_MS);
  assert.deepEqual(log.read(0, 1_000), {type: 'compacted', firstOffset: 4});
  const {records} = log.readNewest('');
  assert.deepEqual(
    records.map(({key, value}) => key + value),
    ['anew'],
  );
});
