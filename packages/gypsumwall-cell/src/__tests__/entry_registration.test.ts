import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as fakeLogs from '../__fixtures__/fake_log.js';
import * as entryRegistration from '../entry_registration.js';

const {test} = nodeTest;

// Guards against an entry that no peer ever calls: the store answered that its
// record was not appended.
test('an entry registers again if its record was not appended', async () => {
  const jobsLog = fakeLogs.createFakeLog();
  const append = jobsLog.append.bind(jobsLog);
  let appends = 0;
  jobsLog.append = (...call) =>
    ++appends === 1
      ? Promise.resolve(result.ok({type: 'moved'}))
      : append(...call);
  await entryRegistration.registerEntry(
    {
      self: {
        entryId: types.ids.brand('a.1'),
        instance: 'a',
        domain: types.ids.brand('d1'),
        peerAddress: '127.0.0.1:1',
        cores: 1,
      },
      jobsLog,
      clock: types.clock.createSystemClock(),
      logger: telemetry.logger.createLogger('silent'),
    },
    new AbortController().signal,
  );
  assert.equal(jobsLog.records.length, 1);
});
