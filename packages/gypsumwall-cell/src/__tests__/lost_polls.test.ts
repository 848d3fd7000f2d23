import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';

const {test} = nodeTest;
const job = (name: string) => types.ids.brand<types.ids.JobId>(name);

// Load: workers that leave one call in twenty unanswered. A task has ended, and
// the poll that should report it is lost. The end was reported 1.2 s later, and
// no new tasks were sent to the worker meanwhile, because it counted as
// unreachable.
test('an end is reported soon although a poll was lost', async () => {
  const world = worlds.createCellWorld(4_000);
  try {
    const worker = await world.addWorker('w1', 4);
    const entry = world.addEntry('a');
    await worlds.until(() => entry.status().holdsCell, 'the cell is held');
    await entry.jobService.submit(job('job'), worlds.POLICY, worlds.request(1));
    await worlds.until(() => worker.running.size === 1, 'the task runs');
    worker.pollsToLose = 1;
    await worlds.until(() => worker.pollsToLose === 0, 'a poll is lost');
    const [task] = [...worker.running.keys()];
    worker.end(task!, 'done');
    await worlds.until(
      () => entry.status().scheduler?.jobs === 0,
      'the end is reported',
      // The poll's wait of 0.7 s, and then a second poll at once.
      1_000,
    );
    assert.equal(worker.started.length, 1);
  } finally {
    world.stop();
  }
});
