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

const ASKED_AT = 5_000 as types.clock.MonotonicMs;

function createRoster() {
  const opened: string[] = [];
  const warned: string[] = [];
  const calls: string[] = [];
  const reachable = new Set<string>();
  const stored = {now: Promise.resolve()};
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
        hasReported: () => true,
        unansweredStarts: () => [],
        run: () => Promise.resolve(),
        close: () => {},
        isReachable: () => reachable.has(info.id),
        lastAskedAt: () => ASKED_AT,
      };
      return session as workerSession.WorkerSession;
    },
    write(records) {
      for (const {kind} of records) calls.push(`write ${kind}`);
      return stored.now;
    },
    longestStopMs: 400,
    listExpiryMs: undefined,
    listReadUntil: () => types.clock.createSystemClock().monotonic(),
    onLeft: () => {},
    flush() {
      calls.push('flush');
      return Promise.resolve();
    },
    onChange: () => {},
  });
  return {roster, opened, warned, calls, reachable, stored};
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

// Guards against a holder that counts fewer workers than its successor, so that
// each of them has a majority.
test('unlisted workers and unstored removals count as unreachable', async () => {
  const {roster, reachable, stored} = createRoster();
  const names = ['w1', 'w2', 'w3'];
  roster.applyList(
    names.map((name) => listed(name, 'pool')),
    false,
  );
  reachable.add('w1');
  const later = types.clock.after(ASKED_AT, 1);
  assert.equal(roster.reachableShare(later), 0, 'its answer is too old');
  const removed = ['w2', 'w3'].map((key) => ({key, value: '', offset: 1}));
  roster.applyList(removed, false);
  assert.equal(roster.reachableShare(ASKED_AT), 1 / 3);
  let store = () => {};
  stored.now = new Promise((resolve) => (store = resolve));
  roster.onGone(types.ids.brand('w3'));
  assert.equal(roster.reachableShare(ASKED_AT), 1 / 3);
  store();
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(roster.reachableShare(ASKED_AT), 1 / 2);
});
