/**
 * Load: tasks on a worker that leaves exactly when it has announced, and whose
 * stops take 900 ms. The list is read 200 ms late.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';

const {test} = nodeTest;
const STOP_MS = 900;
const ANNOUNCED_MS = 2_000;
const LIST_LAG_MS = 200;
const LEASE_MS = 4_000;
const TASKS = 4;
/** Much shorter than the time until a lease expires; milliseconds. */
const MAX_DELAY_MS = LEASE_MS / 2;

const pause = (spanMs: number) =>
  new Promise((resolve) => setTimeout(resolve, spanMs));

/** A job whose tasks all run on one worker, and a second, idle worker. */
async function createBusyWorld(longRunning: boolean, leaseMs = LEASE_MS) {
  const world = worlds.createCellWorld(leaseMs);
  const leaving = await world.addWorker('w1', TASKS);
  const entry = world.addEntry('a');
  await worlds.until(() => entry.status().storeReachable, 'the store');
  const jobId = types.ids.brand<types.ids.JobId>('job');
  const request = worlds.request(TASKS);
  const steps = request.steps.map((step) => ({...step, longRunning}));
  await entry.jobService.submit(jobId, worlds.POLICY, {...request, steps});
  await worlds.until(() => leaving.running.size === TASKS, 'all tasks');
  const other = await world.addWorker('w2', TASKS);
  const isBack = () => other.running.size === TASKS;
  return {world, entry, leaving, other, isBack};
}

// Guards against long-running tasks that are interrupted for a lease because
// the worker left before their stops were completed, so that nobody received
// their ends.
test('a leaving worker is evacuated while it can report the ends', async () => {
  const {world, leaving, isBack} = await createBusyWorld(true);
  try {
    leaving.stopMs = STOP_MS;
    await world.drain(leaving, ANNOUNCED_MS);
    const leavesInMs = ANNOUNCED_MS - LIST_LAG_MS;
    setTimeout(() => (leaving.cut = true), leavesInMs);
    const leftAt = performance.now() + leavesInMs;
    await worlds.until(isBack, 'all tasks on the other worker', 2 * LEASE_MS);
    const lateMs = performance.now() - leftAt;
    assert.ok(lateMs < MAX_DELAY_MS, `${Math.round(lateMs)} ms after it left`);
  } finally {
    world.stop();
  }
});

// Guards against tasks that wait for a lease to expire although the list shows
// that their worker has left, when the stops were lost.
test('tasks of a worker that has left run again without waiting for its lease', async () => {
  const {world, leaving, isBack} = await createBusyWorld(false);
  try {
    await world.drain(leaving, 2 * LEASE_MS);
    await pause(700);
    leaving.cut = true;
    await world.unlist(leaving);
    await worlds.until(isBack, 'all tasks on the other worker', MAX_DELAY_MS);
  } finally {
    world.stop();
  }
});

// Guards against two attempts of a task at once: the list also removes a worker
// that it has lost contact with, and whose tasks may still run.
test('a worker that was silent before its removal may still run tasks', async () => {
  const {world, leaving, other} = await createBusyWorld(false);
  try {
    await world.drain(leaving, 4 * LEASE_MS);
    await pause(2_800);
    leaving.cut = true;
    await world.unlist(leaving);
    await pause(1_000);
    assert.equal(other.started.length, 0);
  } finally {
    world.stop();
  }
});

// Guards against jobs that a successor delays because of a worker that has
// left.
test('a successor does not wait for a worker that has left', async () => {
  const longLeaseMs = 4 * LEASE_MS;
  const busy = await createBusyWorld(false, longLeaseMs);
  const {world, entry, leaving, other, isBack} = busy;
  try {
    entry.stop();
    leaving.cut = true;
    const successor = world.addEntry('b');
    await worlds.until(() => successor.status().holdsCell, 'the successor');
    await pause(500);
    assert.equal(other.started.length, 0);
    await world.drain(leaving, longLeaseMs);
    await pause(500);
    await world.unlist(leaving);
    await worlds.until(isBack, 'all tasks on the other worker', MAX_DELAY_MS);
  } finally {
    world.stop();
  }
});
