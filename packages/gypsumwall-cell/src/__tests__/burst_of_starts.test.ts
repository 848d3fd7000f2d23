import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as slowUplink from '../__fixtures__/slow_uplink.js';

const {test} = nodeTest;

/** Time of one start order on the link; milliseconds. */
const ORDER_MS = 6;
const TASKS = 120;

// Guards against a burst of orders that times out in the queue of a slow link,
// after which the tasks are stopped and started again.
test('a burst of starts on a slow link starts each task once', async () => {
  const world = worlds.createCellWorld(4_000);
  const uplink = slowUplink.createSlowUplink(ORDER_MS);
  try {
    const workers = await Promise.all(
      ['w1', 'w2', 'w3', 'w4'].map((name) => world.addWorker(name, 32)),
    );
    for (const worker of workers) worker.uplink = uplink;
    const entry = world.addEntry('a');
    await worlds.until(() => entry.status().holdsCell, 'the cell is held');
    const id = types.ids.brand<types.ids.JobId>('job');
    await entry.jobService.submit(id, worlds.POLICY, worlds.request(TASKS));
    const running = () => workers.flatMap(({running: own}) => [...own.keys()]);
    await worlds.until(
      () => running().length === TASKS,
      'all tasks run',
      TASKS * ORDER_MS * 3,
    );
    const started = workers.flatMap((worker) => worker.started);
    assert.equal(started.length, TASKS, 'no task is started again');
  } finally {
    world.stop();
  }
});
