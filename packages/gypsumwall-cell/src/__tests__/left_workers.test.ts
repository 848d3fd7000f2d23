/**
 * Workers that leave as they have announced, while another one takes their
 * address. Nothing has crashed.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as fakeWorkers from '../__fixtures__/fake_worker.js';
import type * as storeRecords from '../store_records.js';
import * as decodeRecord from '../decode_record.js';
import * as workerRosters from '../worker_roster.js';
import type * as workerSession from '../worker_session.js';

const {test} = nodeTest;
const JOB = types.ids.brand<types.ids.JobId>('job');
const LEASE_MS = 4_000;
/** The list is read within this time; milliseconds. */
const LIST_READ_MS = 600;
/**
 * From the announcement of a worker until another one has its address;
 * milliseconds.
 */
const NOTICE_MS = 4_000;
/** How long a read of the list waits for a change; milliseconds. */
const LIST_READ_WAIT_MS = 1_200;
/** Long enough that nothing is evacuated; milliseconds. */
const LEAVES_IN_MS = 60_000;

const pause = (spanMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, spanMs));

/** The newest stored progress of the job. */
async function storedProgress(
  world: worlds.CellWorld,
): Promise<scheduling.jobProgress.JobProgress | undefined> {
  const page = await world.store.cell.newest(undefined);
  if (result.isErr(page)) return undefined;
  for (const {key, value} of page.value.records) {
    const record: result.Result<storeRecords.StoreRecord, string> =
      decodeRecord.decodeRecord(key, value);
    if (result.isErr(record) || record.value.kind !== 'progress') continue;
    if (record.value.jobId === JOB) return record.value.progress;
  }
  return undefined;
}

async function assertNoCrash(world: worlds.CellWorld): Promise<void> {
  const progress = await storedProgress(world);
  assert.ok(progress !== undefined);
  assert.equal(progress.occurrences['0']?.[0]?.crashes, undefined);
}

/** A job of one task that runs on `w1`, and the entry that holds the cell. */
async function createBusyWorld() {
  const world = worlds.createCellWorld(LEASE_MS);
  const leaving = await world.addWorker('w1', 4);
  const listView = worlds.createLogView(world.store.workers);
  const first = world.addEntry('a', {...world.store, workers: listView});
  await worlds.until(() => first.status().storeReachable, 'the store');
  await first.jobService.submit(JOB, worlds.POLICY, worlds.request(1));
  await worlds.until(() => leaving.running.size === 1, 'the task runs');
  return {world, first, leaving, listView};
}

/** The worker leaves, and another one takes its address. */
async function replace(
  world: worlds.CellWorld,
  leaving: fakeWorkers.FakeWorker,
): Promise<fakeWorkers.FakeWorker> {
  leaving.isReplaced = true;
  await world.unlist(leaving);
  return world.addWorker('w2', 4, leaving.info.address);
}

// Guards against a crash that a successor counts for a worker whose departure
// the holder before had read: the record of the worker doesn't say it.
test('a successor knows that a worker has announced that it leaves', async () => {
  const {world, first, leaving} = await createBusyWorld();
  try {
    await world.drain(leaving, LEAVES_IN_MS);
    await pause(LIST_READ_MS);
    first.stop();
    const next = await replace(world, leaving);
    world.addEntry('b');
    await worlds.until(() => next.running.size === 1, 'on the next', 15_000);
    await assertNoCrash(world);
  } finally {
    world.stop();
  }
});

// Guards against a crash that counts as known before the announcement is read:
// the address answers for another worker while the list can't be read.
test('a worker that has left while the list was not readable is not known to have crashed', async () => {
  const {world, leaving, listView} = await createBusyWorld();
  try {
    listView.fault = 'down';
    // A read in progress is still answered.
    await pause(LIST_READ_WAIT_MS);
    await world.drain(leaving, LEAVES_IN_MS);
    await pause(NOTICE_MS);
    const next = await replace(world, leaving);
    await pause(1_000);
    listView.fault = 'none';
    await worlds.until(() => next.running.size === 1, 'on the next', 15_000);
    const progress = await storedProgress(world);
    const evidence = progress?.occurrences['0']?.[0]?.evidence;
    assert.deepEqual(evidence, {'0': {w1: 'departed'}});
  } finally {
    world.stop();
  }
});

function createRoster() {
  const removals: string[] = [];
  const roster = workerRosters.createWorkerRoster({
    clock: types.clock.createSystemClock(),
    logger: telemetry.logger.createLogger('silent'),
    scheduler: {
      putWorker: () => {},
      removeWorker: (id: string, cause: string) =>
        removals.push(`${id} ${cause}`),
    } as unknown as scheduling.schedulerTypes.Scheduler,
    decode: (_key, value) =>
      result.ok({
        info: JSON.parse(value) as scheduling.workerRegistry.WorkerInfo,
      }),
    isUsedPool: () => true,
    openSession: () => {
      const session: Partial<workerSession.WorkerSession> = {
        hasReported: () => true,
        unansweredStarts: () => [],
        run: () => Promise.resolve(),
        close: () => {},
      };
      return session as workerSession.WorkerSession;
    },
    write: () => Promise.resolve(),
    longestStopMs: 400,
    listExpiryMs: undefined,
    listReadUntil: () => types.clock.createSystemClock().monotonic(),
    onLeft: () => {},
    flush: () => Promise.resolve(),
    onChange: () => {},
  });
  return {roster, removals};
}

// Guards against a crash that is counted for a worker that had announced that
// it leaves, and was silent until its lease had expired.
test('a worker that was removed as silent after its announcement has left', () => {
  const {roster, removals} = createRoster();
  const entryOf = (name: string, draining: boolean) => {
    const {info} = fakeWorkers.createFakeWorker(name, 1, 'host:1');
    return {key: name, value: JSON.stringify({...info, draining}), offset: 0};
  };
  roster.applyList([entryOf('w1', false)], false);
  roster.applyList([entryOf('w1', true)], false);
  roster.applyList([{key: 'w1', value: '', offset: 1}], false);
  roster.onLeaseExpired(types.ids.brand('w1'));
  roster.applyList([entryOf('w2', false)], false);
  assert.deepEqual(removals, ['w1 silent']);
});
