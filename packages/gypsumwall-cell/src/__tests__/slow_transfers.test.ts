import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as logFollowers from '../log_follower.js';
import type * as ports from '../ports.js';
import * as storeHealth from '../store_health.js';

const {test} = nodeTest;
const clock = types.clock.createSystemClock();
const TRANSFER_MS = 150;
const END_OFFSET = 3;

/** A log of three records, each of which takes long on the link. */
function createLogBehindSlowLink(readTimes: number[]): ports.KeyedLog {
  return {
    name: 'jobs',
    newest: () => Promise.resolve(result.ok({records: [], endOffset: 0})),
    async read(from: number) {
      readTimes.push(clock.monotonic());
      await types.clock.sleepFor(clock, TRANSFER_MS);
      return result.ok({
        type: 'records' as const,
        records: [{key: 'k', value: '', offset: from}],
        endOffset: END_OFFSET,
        transferMs: TRANSFER_MS,
      });
    },
  } as Partial<ports.KeyedLog> as ports.KeyedLog;
}

async function readBacklog() {
  const readTimes: number[] = [];
  const health = storeHealth.createStoreHealth();
  const follower = logFollowers.createLogFollower({
    log: createLogBehindSlowLink(readTimes),
    clock,
    logger: telemetry.logger.createLogger('silent'),
    storeHealth: health,
    onRecords: () => {},
    pauseMs: () => 1,
    readWaitMs: 0,
  });
  // The first call loads the log, which is empty then.
  await follower.catchUp();
  while (follower.position() !== END_OFFSET) await follower.catchUp();
  return {readTimes, health};
}

// Guards against orders to workers that time out behind the reads of a backlog
// on a slow link.
test('a backlog is read with pauses on a slow link', async () => {
  const {readTimes} = await readBacklog();
  const [first = 0, second = 0] = readTimes;
  const pauseMs = second - first - TRANSFER_MS;
  assert.ok(pauseMs >= TRANSFER_MS / 3, `pause of ${pauseMs} ms`);
});

// Guards against entries that treat a quick store as slow because their own
// link is: all of them then send their submissions through the holder.
test('a store is quick although its answers take long on the link', async () => {
  const {health} = await readBacklog();
  assert.equal(health.isQuick(), true);
});
