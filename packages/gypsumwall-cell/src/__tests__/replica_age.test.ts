import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as fakeLogs from '../__fixtures__/fake_log.js';
import type * as cellEntryTypes from '../cell_entry_types.js';
import * as logFollower from '../log_follower.js';
import * as peerServers from '../peer_server.js';
import type * as ports from '../ports.js';
import * as storeHealth from '../store_health.js';

const {test} = nodeTest;
/** Maximum age of a replica that callers may be answered from; milliseconds. */
const MAX_AGE_MS = 2_000;
/** Longer than any suspension that may go undetected; milliseconds. */
const SUSPENDED_MS = 10_000;

const pause = (spanMs: number) =>
  new Promise((resolve) => setTimeout(resolve, spanMs));

async function pending(
  entry: cellEntryTypes.CellEntry,
): Promise<number | string> {
  const answer = await entry.jobService.pendingIn(worlds.POLICY.queue);
  return answer.type === 'ok' ? answer.value : answer.type;
}

function createFollower(
  log: ports.KeyedLog,
  onRecords: (records: readonly ports.KeyedRecord[]) => void = () => {},
): logFollower.LogFollower {
  return logFollower.createLogFollower({
    log,
    clock: types.clock.createSystemClock(),
    logger: telemetry.logger.createLogger('silent'),
    storeHealth: storeHealth.createStoreHealth(),
    onRecords,
    pauseMs: () => 1,
    readWaitMs: 1,
  });
}

// Guards against a count of pending jobs that includes running ones. The store
// refuses the entry's reads of the log with the progress of jobs, and of no
// other log.
test('a replica is as old as the older of its two logs', async () => {
  const world = worlds.createCellWorld();
  try {
    world.addEntry('a');
    const view = {...world.store, cell: worlds.createLogView(world.store.cell)};
    const entry = world.addEntry('b', view);
    await worlds.until(async () => (await pending(entry)) === 0, 'current');
    view.cell.fault = 'down';
    await pause(MAX_AGE_MS);
    assert.ok(entry.status().storeReachable, 'the log of jobs is read');
    assert.equal(await pending(entry), 'not_run');
  } finally {
    world.stop();
  }
});

// The same for an entry that has just started and hasn't loaded that log yet.
test('a replica without one of its logs is not current', async () => {
  const world = worlds.createCellWorld();
  try {
    const view = {...world.store, cell: worlds.createLogView(world.store.cell)};
    view.cell.fault = 'down';
    const entry = world.addEntry('b', view);
    await worlds.until(() => entry.status().storeReachable, 'the store');
    await pause(100);
    assert.equal(await pending(entry), 'not_run');
  } finally {
    world.stop();
  }
});

// Guards against a count of pending jobs from before the instance was
// suspended: the monotonic clock, by which ages are measured, stops during a
// suspension.
test('a replica from before a suspension is not current', async () => {
  const system = types.clock.createSystemClock();
  let suspendedMs = 0;
  const clock = {
    ...system,
    wall: () => types.clock.after(system.wall(), suspendedMs),
  };
  const world = worlds.createCellWorld();
  try {
    const view = {...world.store, jobs: worlds.createLogView(world.store.jobs)};
    const entry = world.addEntry('a', view, 1, clock);
    await worlds.until(async () => (await pending(entry)) === 0, 'current');
    view.jobs.fault = 'down';
    suspendedMs = SUSPENDED_MS;
    assert.equal(await pending(entry), 'not_run');
    view.jobs.fault = 'none';
    await worlds.until(
      async () => (await pending(entry)) === 0,
      'current again',
    );
  } finally {
    world.stop();
  }
});

// Guards against a count that lacks a job which was accepted while the answer
// to a read was in transit, however long that took.
test('the age of a replica counts from the sending of the read', async () => {
  const log = fakeLogs.createFakeLog();
  const follower = createFollower(log);
  await follower.catchUp();
  const read = log.read.bind(log);
  log.read = async (from, waitMs) => {
    const answer = await read(from, waitMs);
    await pause(30);
    return answer;
  };
  const reading = follower.catchUp();
  await pause(10);
  const acceptedAt = performance.now();
  await log.append([{key: 'job', value: '1'}], {timeoutMs: 1});
  await reading;
  assert.ok((follower.completeUntil() ?? Infinity) < acceptedAt);
});

// Guards against an accepted job that is reported as absent: the read that the
// query shared had determined the log's end before the job was stored.
test('a query does not share a read that began before it', async () => {
  const log = fakeLogs.createFakeLog();
  const seen: string[] = [];
  const follower = createFollower(log, (records) => {
    for (const {key} of records) seen.push(key);
  });
  await follower.catchUp();
  const read = log.read.bind(log);
  log.read = async (from, waitMs) => {
    const answer = await read(from, waitMs);
    await pause(30);
    return answer;
  };
  const before = follower.catchUp();
  await pause(10);
  await log.append([{key: 'job', value: '1'}], {timeoutMs: 1});
  assert.equal(await follower.catchUp(), true);
  assert.deepEqual(seen, ['job']);
  await before;
});

// Guards against 410, or 200 without a count, for a query that was forwarded to
// a peer.
test('a peer returns the number of pending jobs, or refuses', async () => {
  const world = worlds.createCellWorld();
  const view = {...world.store, cell: worlds.createLogView(world.store.cell)};
  const entry = world.addEntry('a', view);
  const server = peerServers.createPeerServer({
    adviser: {
      ask: () => Promise.reject(new Error('unexpected advice request')),
    },
    service: entry.localJobService,
    isBusy: () => false,
    findPayload: () => Promise.resolve(undefined),
    isLeaving: () => false,
    clock: types.clock.createSystemClock(),
    connect: () => assert.fail('unexpected call of a worker'),
    logger: telemetry.logger.createLogger('silent'),
  });
  const ask = async () => {
    const payload = {type: 'pending', queue: worlds.POLICY.queue};
    const res = await server.inject({method: 'POST', url: '/relay', payload});
    return res.json<{readonly type: string; readonly value?: number}>();
  };
  try {
    await worlds.until(async () => (await pending(entry)) === 0, 'current');
    assert.deepEqual(await ask(), {type: 'ok', value: 0});
    view.cell.fault = 'down';
    await pause(MAX_AGE_MS);
    assert.equal((await ask()).type, 'not_run');
  } finally {
    await server.close();
    world.stop();
  }
});

// Guards against a job that stays unknown because it was accepted during a
// load: its page had been read already, and the log was read on from the end
// given by a later page.
test('after a load of several pages the log is read on from the first', async () => {
  const log = fakeLogs.createFakeLog();
  await log.append([{key: 'b', value: '1'}], {timeoutMs: 1});
  log.newest = async (after) => {
    const endOffset = log.records.length;
    if (after !== undefined) {
      return result.ok({records: log.records.slice(0, 1), endOffset});
    }
    await log.append([{key: 'a', value: '1'}], {timeoutMs: 1});
    return result.ok({records: [], endOffset, nextAfter: 'a'});
  };
  const seen: string[] = [];
  const follower = createFollower(log, (records) => {
    for (const {key} of records) seen.push(key);
  });
  await follower.catchUp();
  await follower.catchUp();
  assert.deepEqual(seen, ['b', 'a']);
});
