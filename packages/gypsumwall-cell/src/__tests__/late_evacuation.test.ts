import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';

const {test} = nodeTest;
const LEASE_MS = 8_000;
const TASKS = 4;
/** The worker is to be evacuated as soon as this is read; milliseconds. */
const ANNOUNCED_MS = 500;
const SILENT_MS = 1_500;

function gangRequest() {
  const request = worlds.request(TASKS);
  const steps = request.steps.map((step) => ({...step, gang: true}));
  return {...request, steps};
}

// Guards against attempts that remain on a leaving worker because a new holder
// learns of them only after it has evacuated that worker.
test('attempts found after the evacuation of their worker are stopped', async () => {
  const world = worlds.createCellWorld(LEASE_MS);
  try {
    const leaving = await world.addWorker('w1', TASKS);
    const first = world.addEntry('a');
    await worlds.until(() => first.status().storeReachable, 'the store');
    const jobId = types.ids.brand<types.ids.JobId>('job');
    await first.jobService.submit(jobId, worlds.POLICY, gangRequest());
    await worlds.until(() => leaving.running.size === TASKS, 'the gang');
    const other = await world.addWorker('w2', TASKS);
    leaving.cut = true;
    const second = world.addEntry('b');
    first.stop();
    await worlds.until(() => second.status().holdsCell, 'the takeover');
    await world.drain(leaving, ANNOUNCED_MS);
    await new Promise((resolve) => setTimeout(resolve, SILENT_MS));
    leaving.cut = false;
    const isBack = () => other.running.size === TASKS;
    await worlds.until(isBack, 'the gang on the other worker', 2_000);
    assert.equal(leaving.running.size, 0);
  } finally {
    world.stop();
  }
});
