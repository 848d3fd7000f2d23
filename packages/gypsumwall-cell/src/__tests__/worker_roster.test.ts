import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as fakeWorkers from '../__fixtures__/fake_worker.js';
import type * as ports from '../ports.js';
import type * as workerSession from '../worker_session.js';
import * as workerRosters from '../worker_roster.js';

const {test} = nodeTest;

function createRoster() {
  const opened: string[] = [];
  const warned: string[] = [];
  const calls: string[] = [];
  const roster = workerRosters.createWorkerRoster({
    clock: types.clock.createSystemClock(),
    logger: telemetry.logger.createLogger('warn', {}, (line) =>
      warned.push(line),
    ),
    scheduler: {
      putWorker: () => {},
      removeWorker: (_id: string, cause: string) => calls.push(cause),
    } as unknown as scheduling.schedulerTypes.Scheduler,
    decode: (_key, value): result.Result<ports.ListedWorker, string> =>
      value === 'bad'
        ? result.err('addr = 7: give host:port')
        : result.ok({
            info: JSON.parse(value) as scheduling.workerRegistry.WorkerInfo,
          }),
    isUsedPool: (pool) => pool === 'pool',
    openSession: (info) => {
      opened.push(info.id);
      const session: Partial<workerSession.WorkerSession> = {
        run: () => Promise.resolve(),
        close: () => {},
      };
      return session as workerSession.WorkerSession;
    },
    write(records) {
      for (const {kind} of records) calls.push(`write ${kind}`);
      return Promise.resolve();
    },
    longestStopMs: 400,
    listExpiryMs: undefined,
    onLeft: () => {},
    flush() {
      calls.push('flush');
      return Promise.resolve();
    },
    onChange: () => {},
  });
  return {roster, opened, warned, calls};
}

const listed = (name: string, pool: string) => {
  const {info} = fakeWorkers.createFakeWorker(name, 1);
  return {key: name, value: JSON.stringify({...info, pool}), offset: 0};
};

// Another program writes to the list of workers. The workers of its entries
// must not be called, valid entries beside them are used, and each fault is
// logged once, although the entry is rewritten every second.
test('invalid and foreign list entries are skipped and logged once', () => {
  const {roster, opened, warned} = createRoster();
  for (let beat = 0; beat < 3; beat++) {
    const bad = {key: 'x', value: 'bad', offset: beat};
    const records = [bad, listed('other', 'theirs'), listed('w1', 'pool')];
    roster.applyList(records, false);
  }
  assert.deepEqual(opened, ['w1']);
  assert.equal(warned.length, 2);
  assert.match(warned[0]!, /addr = 7/);
  assert.match(warned[1]!, /pool = theirs/);
});

// Guards against a successor that finds neither a crashed worker among the used
// ones nor its crash in the progress of the jobs.
test('progress is stored before a crashed worker is removed from the used workers', () => {
  const {roster, calls} = createRoster();
  roster.applyList([listed('w1', 'pool')], false);
  calls.length = 0;
  roster.onGone(types.ids.brand('w1'));
  assert.deepEqual(calls, ['crashed', 'flush', 'write used_worker']);
});
