/**
 * Load: a worker whose capacity shrinks to a quarter while it runs two tasks,
 * and more tasks than fit. Only its list entry tells the capacity.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';

const {test} = nodeTest;
const CORES = 8;
const SHRUNK_CORES = 2;
const FIRST_TASKS = 2;
const HEARTBEAT_MS = worlds.LIST_EXPIRY_MS / 3;
/** Time for a cycle and a read of the list; milliseconds. */
const SETTLE_MS = 700;

const pause = (spanMs: number) =>
  new Promise((resolve) => setTimeout(resolve, spanMs));

/** A worker that runs the tasks of one job, listed by a heartbeat just now. */
async function createShrinkingWorld() {
  const world = worlds.createCellWorld(10_000);
  const worker = await world.addWorker('w1', CORES);
  const workersView = worlds.createLogView(world.store.workers);
  const entry = world.addEntry('a', {...world.store, workers: workersView});
  await worlds.until(() => entry.status().storeReachable, 'the store');
  const submit = (name: string, taskCount: number) => {
    const id = types.ids.brand<types.ids.JobId>(name);
    return entry.jobService.submit(
      id,
      worlds.POLICY,
      worlds.request(taskCount),
    );
  };
  const heartbeat = (cores: number) =>
    world.list(worker, cores, worker.clockMs());
  await heartbeat(CORES);
  const listedAt = performance.now();
  await submit('first', FIRST_TASKS);
  await worlds.until(
    () => worker.running.size === FIRST_TASKS,
    'the first tasks',
  );
  return {world, worker, workersView, submit, heartbeat, listedAt};
}

type ShrinkingWorld = Awaited<ReturnType<typeof createShrinkingWorld>>;

/** The worker has shrunk, which its list entry doesn't say yet. */
async function expectNothingStarts({worker}: ShrinkingWorld): Promise<void> {
  await pause(SETTLE_MS);
  const started = worker.started.length - FIRST_TASKS;
  assert.equal(started, 0, `${started} starts beyond the capacity`);
}

/** Tasks start again within the new capacity once the list tells it. */
async function expectStartsWithin({
  worker,
  heartbeat,
}: ShrinkingWorld): Promise<void> {
  await heartbeat(SHRUNK_CORES);
  await pause(SETTLE_MS);
  assert.equal(worker.running.size, FIRST_TASKS);
  for (const taskId of [...worker.running.keys()]) worker.end(taskId, 'done');
  const isFull = () => worker.running.size === SHRUNK_CORES;
  await worlds.until(isFull, 'tasks within the new capacity');
  await pause(SETTLE_MS);
  assert.equal(worker.running.size, SHRUNK_CORES);
}

// Guards against starts beyond a shrunken capacity on a worker whose
// heartbeats don't reach the list, which removes it while it still answers.
test('no task starts on a worker that the list has removed', async () => {
  const shrinking = await createShrinkingWorld();
  const {world, worker, submit} = shrinking;
  try {
    await world.unlist(worker);
    await pause(SETTLE_MS);
    await submit('second', CORES);
    await expectNothingStarts(shrinking);
    await expectStartsWithin(shrinking);
  } finally {
    world.stop();
  }
});

// Guards against the capacity in a list entry that was delayed on its way to
// the store, so that the list keeps it long after its expiry.
test('no task starts by a list entry that arrived late', async () => {
  const shrinking = await createShrinkingWorld();
  const {world, worker, submit, heartbeat} = shrinking;
  try {
    await heartbeat(CORES);
    const writtenAtMs = worker.clockMs();
    await pause(worlds.LIST_EXPIRY_MS - HEARTBEAT_MS / 2);
    await world.list(worker, CORES, writtenAtMs);
    await pause(HEARTBEAT_MS);
    await submit('second', CORES);
    await expectNothingStarts(shrinking);
    await expectStartsWithin(shrinking);
  } finally {
    world.stop();
  }
});

// Guards against starts by old capacities during an outage of the list and
// right after it, until the workers have written their entries again.
test('no task starts by a list entry that has expired while the list was unavailable', async () => {
  const shrinking = await createShrinkingWorld();
  const {world, workersView, submit} = shrinking;
  try {
    workersView.fault = 'down';
    await pause(worlds.LIST_EXPIRY_MS);
    await submit('second', CORES);
    await expectNothingStarts(shrinking);
    workersView.fault = 'none';
    await expectNothingStarts(shrinking);
    await expectStartsWithin(shrinking);
  } finally {
    world.stop();
  }
});

// Guards against a worker that is left idle because one heartbeat was lost.
test('tasks start on a worker whose list entry is recent', async () => {
  const shrinking = await createShrinkingWorld();
  const {world, worker, submit, listedAt} = shrinking;
  try {
    await pause(listedAt + 2 * HEARTBEAT_MS - performance.now());
    await submit('second', CORES);
    const isFull = () => worker.running.size === CORES;
    await worlds.until(isFull, 'tasks within the capacity', SETTLE_MS);
  } finally {
    world.stop();
  }
});
