import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as applyRecords from '../apply_records.js';
import * as storeRecords from '../store_records.js';

const {test} = nodeTest;

// Guards against a record of another version that ends every entry that reads
// it, so that callers find no entry at all.
test('a record that can not be applied does not block later ones', () => {
  const job = storeRecords.encode({
    kind: 'job',
    jobId: types.ids.brand('job'),
    job: {
      request: worlds.request(1),
      policy: worlds.POLICY,
      acceptedAt: 0 as types.clock.WallMs,
    },
  });
  const records = [
    {key: 'claim', value: '{"v":99}', offset: 0},
    {key: 'beat', value: '{"v":1}', offset: 1},
    {...job, offset: 2},
    {key: 'cjob', value: '{"v":1}', offset: 3},
  ];
  const applied: string[] = [];
  const logged: string[] = [];
  const logger = telemetry.logger.createLogger('warn', {}, (line) =>
    logged.push(line),
  );
  applyRecords.applyRecords(records, logger, (record) => {
    if (record.kind === 'job') throw new Error('a job of no queue');
    applied.push(record.kind);
  });
  assert.deepEqual(applied, ['heartbeat', 'cancel']);
  assert.equal(logged.length, 2);
  assert.match(logged[1]!, /offset=2.*a job of no queue/);
});
