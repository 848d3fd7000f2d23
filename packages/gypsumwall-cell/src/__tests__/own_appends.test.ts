import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as logFollowers from '../log_follower.js';
import type * as ports from '../ports.js';
import * as storeHealth from '../store_health.js';

const {test} = nodeTest;
const MAX_AGE_MS = 120;
const clock = types.clock.createSystemClock();

/** Follows an empty log with its own appends; counts the reads. */
function followOwnAppends() {
  let reads = 0;
  let endOffset = 0;
  const log = {
    name: 'cell',
    newest: () => Promise.resolve(result.ok({records: [], endOffset: 0})),
    async read() {
      reads++;
      await types.clock.sleepFor(clock, 1);
      return result.ok({type: 'records' as const, records: [], endOffset});
    },
  } as Partial<ports.KeyedLog> as ports.KeyedLog;
  const follower = logFollowers.createLogFollower({
    log,
    clock,
    logger: telemetry.logger.createLogger('silent'),
    storeHealth: storeHealth.createStoreHealth(),
    onRecords: () => {},
    pauseMs: () => 1,
    readWaitMs: 0,
    maxAgeMs: () => MAX_AGE_MS,
  });
  return {
    follower,
    reads: () => reads,
    append() {
      const sentAt = clock.monotonic();
      const offset = endOffset++;
      follower.applyAppended([{key: 'beat', value: ''}], offset, sentAt);
    },
  };
}

// Guards against a holder whose link is filled with the records that it has
// written itself.
test('a log is not read while own appends keep the replica current', async () => {
  const own = followOwnAppends();
  const {follower} = own;
  await follower.catchUp();
  void follower.run();
  const before = own.reads();
  for (let nth = 0; nth < 20; nth++) {
    own.append();
    await types.clock.sleepFor(clock, 10);
  }
  const during = own.reads() - before;
  const ageMs = clock.monotonic() - follower.completeUntil()!;
  // Guards against a replica that stays old once the appends have ended.
  await types.clock.sleepFor(clock, 3 * MAX_AGE_MS);
  follower.stop();
  assert.ok(during <= 1, `${during} reads`);
  assert.ok(ageMs < MAX_AGE_MS, `the replica is ${ageMs} ms old`);
  assert.ok(own.reads() > before + 1, 'it is read again');
});
