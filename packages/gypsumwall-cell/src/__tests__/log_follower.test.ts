import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as fakeLogs from '../__fixtures__/fake_log.js';
import * as logFollower from '../log_follower.js';
import * as storeHealth from '../store_health.js';

const {test} = nodeTest;
const logger = telemetry.logger.createLogger('silent');
const clock = types.clock.createSystemClock();

// Guards against a job that is reported as absent two seconds after it was
// accepted. The entry was further behind than one read returns and took that
// part for the whole log; a new holder would have missed jobs the same way.
test('an entry that is far behind reads to the end of the log', async () => {
  const log = fakeLogs.createFakeLog();
  const seen: string[] = [];
  const follower = logFollower.createLogFollower({
    log,
    clock,
    logger,
    storeHealth: storeHealth.createStoreHealth(),
    onRecords: (records) => records.forEach((record) => seen.push(record.key)),
    pauseMs: () => 1,
    readWaitMs: 10,
  });
  await follower.catchUp();
  const keys = ['a', 'b', 'c', 'd', 'e'];
  for (const key of keys) await log.append([{key, value: '1'}], {timeoutMs: 1});
  log.maxReadRecords = 2;
  assert.equal(await follower.catchUp(), true);
  assert.deepEqual(seen, keys);
});

// Guards against callers who have to retry for seconds after the store has
// recovered. Each query about a job that the entry hadn't read yet read the
// whole backlog by itself. On a link of 10 Mbit/s, which transfers one read in
// 0.1 s, ten parallel reads exceeded their timeouts, and none made progress.
test('queries share one read of the backlog', async () => {
  const log = fakeLogs.createFakeLog();
  let sent = 0;
  const read = log.read.bind(log);
  log.read = async (from, waitMs) => {
    await new Promise((resolve) => setTimeout(resolve, 1));
    const answer = await read(from, waitMs);
    if (result.isOk(answer) && answer.value.type === 'records') {
      sent += answer.value.records.length;
    }
    return answer;
  };
  let seen = 0;
  const follower = logFollower.createLogFollower({
    log,
    clock,
    logger,
    storeHealth: storeHealth.createStoreHealth(),
    onRecords: (records) => void (seen += records.length),
    pauseMs: () => 1,
    readWaitMs: 10,
  });
  await follower.catchUp();
  log.maxReadRecords = 2;
  for (let number = 0; number < 40; number++) {
    await log.append([{key: `a${number}`, value: '1'}], {timeoutMs: 1});
  }
  void follower.run();
  const asked = Array.from({length: 10}, () => follower.catchUp());
  // A record that was stored before a query must be known to its answer.
  await log.append([{key: 'last', value: '1'}], {timeoutMs: 1});
  assert.equal(await follower.catchUp(), true);
  follower.stop();
  assert.equal(seen, 41);
  assert.deepEqual(new Set(await Promise.all(asked)), new Set([true]));
  assert.ok(sent <= 2 * seen, `${sent} records for ${seen}`);
});

// Guards against a job that is reported as absent four seconds after it was
// accepted. The entry had restarted and was still loading a large log over a
// slow link; the query shared that load, which had begun before the job was
// stored, and took it for the whole log.
test('a load that began before a query is not sufficient for it', async () => {
  const log = fakeLogs.createFakeLog();
  await log.append([{key: 'a', value: '1'}], {timeoutMs: 1});
  const newest = log.newest.bind(log);
  log.newest = async (after) => {
    const page = await newest(after);
    await new Promise((resolve) => setTimeout(resolve, 30));
    return page;
  };
  const seen: string[] = [];
  const follower = logFollower.createLogFollower({
    log,
    clock,
    logger,
    storeHealth: storeHealth.createStoreHealth(),
    onRecords: (records) => records.forEach((record) => seen.push(record.key)),
    pauseMs: () => 1_000,
    readWaitMs: 10,
  });
  void follower.run();
  await new Promise((resolve) => setTimeout(resolve, 5));
  await log.append([{key: 'job', value: '1'}], {timeoutMs: 1});
  const current = await follower.catchUp();
  follower.stop();
  assert.equal(current, true);
  assert.deepEqual(seen, ['a', 'job']);
});

test('after a compaction the log is loaded again, each key once', async () => {
  const log = fakeLogs.createFakeLog();
  const seen: string[] = [];
  const append = (key: string, value: string) =>
    log.append([{key, value}], {timeoutMs: 1});
  await append('a', '1');
  const follower = logFollower.createLogFollower({
    log,
    clock,
    logger,
    storeHealth: storeHealth.createStoreHealth(),
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
