/**
 * How a worker has ended whose address answers for another one: what is counted
 * as a crash under its tasks, and what isn't.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as fakeLogs from '../__fixtures__/fake_log.js';
import type * as fakeWorkers from '../__fixtures__/fake_worker.js';
import type * as storeRecords from '../store_records.js';
import * as decodeRecord from '../decode_record.js';

const {test} = nodeTest;
const JOB = types.ids.brand<types.ids.JobId>('job');
const LEASE_MS = 4_000;
/** The list is read within this time; milliseconds. */
const LIST_READ_MS = 600;
/** Long enough that nothing is evacuated; milliseconds. */
const LEAVES_IN_MS = 60_000;

const pause = (spanMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, spanMs));

type StepProgress = scheduling.jobProgress.StepProgress;

/** The newest stored progress of the step of the job. */
async function storedStep(
  world: worlds.CellWorld,
): Promise<StepProgress | undefined> {
  const page = await world.store.cell.newest(undefined);
  if (result.isErr(page)) return undefined;
  for (const {key, value} of page.value.records) {
    const record: result.Result<storeRecords.StoreRecord, string> =
      decodeRecord.decodeRecord(key, value);
    if (result.isErr(record) || record.value.kind !== 'progress') continue;
    if (record.value.jobId === JOB)
      return record.value.progress?.occurrences['0']?.[0];
  }
  return undefined;
}

const crashedUnder = (step: StepProgress | undefined) =>
  Object.keys(step?.crashes?.['0'] ?? {});

/** The log, whose reads wait for a record as long as they are asked to. */
function waitAsAsked(shared: fakeLogs.FakeLog): fakeLogs.FakeLog {
  const view = worlds.createLogView(shared);
  view.read = async (from, waitMs) => {
    const end = performance.now() + waitMs;
    const hasNext = () => shared.records.length > from;
    while (!hasNext() && performance.now() < end) await pause(5);
    return shared.read(from, 0);
  };
  return view;
}

/** A job of one task that runs on `w0`, and the entry that holds the cell. */
async function createBusyWorld() {
  const world = worlds.createCellWorld(LEASE_MS);
  const worker = await world.addWorker('w0', 4);
  const workers = waitAsAsked(world.store.workers);
  const first = world.addEntry('a', {...world.store, workers});
  await worlds.until(() => first.status().storeReachable, 'the store');
  await first.jobService.submit(JOB, worlds.POLICY, worlds.request(1));
  await worlds.until(() => worker.running.size === 1, 'the task runs');
  return {world, first, worker};
}

async function crashInto(
  world: worlds.CellWorld,
  crashed: fakeWorkers.FakeWorker,
  name: string,
): Promise<fakeWorkers.FakeWorker> {
  crashed.isReplaced = true;
  const next = await world.addWorker(name, 4, crashed.info.address);
  await worlds.until(() => next.running.size === 1, 'on the next', 15_000);
  return next;
}

// Guards against a crash counted as known for a worker that left as announced:
// a holder before had stored that a suspect ran there, and had read that it
// leaves, which the record of the worker doesn't say.
test('a suspect is not blamed for a worker that left between two holders', async () => {
  const {world, first, worker} = await createBusyWorld();
  try {
    const leaving = await crashInto(world, worker, 'w1');
    await worlds.until(async () => {
      const step = await storedStep(world);
      return step?.suspects?.['0']?.workers.includes(leaving.info.id) === true;
    }, 'the suspect is stored');
    assert.deepEqual(crashedUnder(await storedStep(world)), ['w0']);
    await world.drain(leaving, LEAVES_IN_MS);
    await pause(LIST_READ_MS);
    first.stop();
    leaving.isReplaced = true;
    await world.unlist(leaving);
    const next = await world.addWorker('w2', 4, leaving.info.address);
    world.addEntry('b');
    await worlds.until(() => next.running.size === 1, 'on the next', 15_000);
    assert.deepEqual(crashedUnder(await storedStep(world)), ['w0']);
  } finally {
    world.stop();
  }
});

/** Crashes that are recorded if the worker crashes so long after its list was read. */
async function crashesAfter(spanMs: number): Promise<readonly string[]> {
  const {world, worker} = await createBusyWorld();
  try {
    await pause(spanMs);
    worker.isReplaced = true;
    await pause(500);
    return crashedUnder(await storedStep(world));
  } finally {
    world.stop();
  }
}

// Guards against crashes that count for nothing although the list is read: while
// nothing changes there, each read waits for a change, and the copy is older
// than the shortest notice just before its end.
test('a crash counts while the list is quiet, at whichever moment it comes', async () => {
  const spans = Array.from({length: 24}, (_none, nth) => 2_000 + nth * 50);
  const found = await Promise.all(spans.map(crashesAfter));
  const missed = spans.filter((_span, nth) => found[nth]?.length !== 1);
  assert.deepEqual(missed, []);
});

// Guards against a task that crashes every worker that starts it while the list
// can't be read: the crashes count for nothing then.
test('a task that crashes its workers is not started on all while the list is away', async () => {
  const world = worlds.createCellWorld(LEASE_MS);
  const listView = worlds.createLogView(world.store.workers);
  const workers = await Promise.all(
    Array.from({length: 12}, (_none, nth) => world.addWorker(`w${nth}`, 4)),
  );
  const starts = () =>
    workers.reduce((sum, {started}) => sum + started.length, 0);
  let isCrashing = false;
  const crashing = setInterval(() => {
    if (!isCrashing) return;
    for (const worker of workers)
      if (worker.running.size > 0) worker.isReplaced = true;
  }, 20);
  try {
    const entry = world.addEntry('a', {...world.store, workers: listView});
    await worlds.until(() => entry.status().storeReachable, 'the store');
    await entry.jobService.submit(JOB, worlds.POLICY, worlds.request(1));
    await worlds.until(() => starts() === 1, 'the task runs');
    listView.fault = 'down';
    await pause(3_500);
    isCrashing = true;
    await pause(6_000);
    assert.ok(starts() <= 6, `${starts()} starts`);
  } finally {
    clearInterval(crashing);
    world.stop();
  }
});
