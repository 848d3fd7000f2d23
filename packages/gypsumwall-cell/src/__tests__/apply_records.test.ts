import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as telemetry from '@gypsumwall/telemetry';
import * as applyRecords from '../apply_records.js';

const {test} = nodeTest;

// Callers find no entry any more, and none stays up: one record was written by
// another version, and each entry that reads it ends.
test('a record that can not be taken in keeps none after it back', () => {
  const records = [
    {key: 'claim', value: '{"v":99}', offset: 0},
    {key: 'beat', value: '{"v":1}', offset: 1},
    {key: 'jjob', value: '{"v":1}', offset: 2},
    {key: 'cjob', value: '{"v":1}', offset: 3},
  ];
  const taken: string[] = [];
  const told: string[] = [];
  const logger = telemetry.logger.createLogger('warn', {}, (line) =>
    told.push(line),
  );
  applyRecords.applyRecords(records, logger, (record) => {
    if (record.kind === 'job') throw new Error('a job without a request');
    taken.push(record.kind);
  });
  assert.deepEqual(taken, ['heartbeat', 'cancel']);
  assert.equal(told.length, 2);
  assert.match(told[1]!, /offset=2.*a job without a request/);
});
