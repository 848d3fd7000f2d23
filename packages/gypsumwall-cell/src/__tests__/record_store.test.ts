import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as fakeLogs from '../__fixtures__/fake_log.js';
import type * as logFollower from '../log_follower.js';
import type * as ports from '../ports.js';
import * as recordStore from '../record_store.js';
import * as storeHealth from '../store_health.js';

const {test} = nodeTest;

function createRecordStore(
  outcome: ports.AppendOutcome,
  onApplied: () => void = () => {},
) {
  const log = fakeLogs.createFakeLog();
  log.append = () => Promise.resolve(result.ok(outcome));
  const follower = {
    reachableSince: () => 0,
    applyAppended: onApplied,
    catchUp: () => Promise.resolve(true),
  } as unknown as logFollower.LogFollower;
  return recordStore.createRecordStore({
    log,
    follower,
    storeHealth: storeHealth.createStoreHealth(),
    canForward: () => false,
    clock: types.clock.createSystemClock(),
    logger: telemetry.logger.createLogger('silent'),
  });
}

// Guards against a job that is accepted and lost: the store answered the append
// that nothing was appended.
test('a record counts as stored only if it was appended', async () => {
  const jobId = types.ids.brand<types.ids.JobId>('job');
  const record = {kind: 'cancel', jobId, dropped: false} as const;
  const outcomes: ports.AppendOutcome[] = [
    {type: 'moved'},
    {type: 'fenced'},
    {type: 'out_of_sequence', expected: 3},
  ];
  for (const outcome of outcomes) {
    const stored = await createRecordStore(outcome).store(record);
    assert.equal(stored, 'unknown', outcome.type);
  }
  const appended = createRecordStore({type: 'appended', firstOffset: 0});
  assert.equal(await appended.store(record), 'stored');
});

// Guards against a job that this entry alone knows: it applied records that the
// store had not appended.
test('only records that were appended are applied without a read', async () => {
  const jobId = types.ids.brand<types.ids.JobId>('job');
  const record = {kind: 'cancel', jobId, dropped: false} as const;
  let applied = 0;
  const onApplied = () => void applied++;
  await createRecordStore({type: 'moved'}, onApplied).store(record);
  assert.equal(applied, 0);
  const appended = {type: 'appended', firstOffset: 0} as const;
  await createRecordStore(appended, onApplied).store(record);
  assert.equal(applied, 1);
});
