import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as fakeLogs from '../__fixtures__/fake_log.js';
import * as logFollower from '../log_follower.js';
import * as storePulse from '../store_pulse.js';

const {test} = nodeTest;
const logger = telemetry.logger.createLogger('silent');
const clock = types.clock.createSystemClock();

// The caller is told that there is no such job, of one that was accepted two
// seconds before. The entry was further behind than one read brings, and took
// that part for the whole log; a new holder would have missed jobs the same way.
test('an entry that is far behind reads to the end of the log', async () => {
  const log = fakeLogs.createFakeLog();
  const seen: string[] = [];
  const follower = logFollower.createLogFollower({
    log,
    clock,
    logger,
    pulse: storePulse.createStorePulse(),
    onRecords: (records) => records.forEach((record) => seen.push(record.key)),
    pauseMs: () => 1,
    readWaitMs: 10,
  });
  await follower.catchUp();
  const keys = ['a', 'b', 'c', 'd', 'e'];
  for (const key of keys) await log.append([{key, value: '1'}], {timeoutMs: 1});
  log.mostInRead = 2;
  assert.equal(await follower.catchUp(), true);
  assert.deepEqual(seen, keys);
});

test('records that were compacted away are loaded anew, each key once', async () => {
  const log = fakeLogs.createFakeLog();
  const seen: string[] = [];
  const append = (key: string, value: string) =>
    log.append([{key, value}], {timeoutMs: 1});
  await append('a', '1');
  const follower = logFollower.createLogFollower({
    log,
    clock,
    logger,
    pulse: storePulse.createStorePulse(),
    onRecords: (records) =>
      records.forEach((record) => seen.push(record.key + record.value)),
    pauseMs: () => 1,
    readWaitMs: 10,
  });
  await follower.catchUp();
  await append('a', '2');
  await append('b', '1');
  await append('a', '3');
  log.compact();
  await follower.catchUp();
  assert.deepEqual(seen, ['a1', 'b1', 'a3']);
  await append('c', '1');
  await Promise.all([follower.catchUp(), follower.catchUp()]);
  assert.deepEqual(seen, ['a1', 'b1', 'a3', 'c1']);
});
