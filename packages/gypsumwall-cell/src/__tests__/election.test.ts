import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as worlds from '../__fixtures__/cell_world.js';

const {test} = nodeTest;
/** Longer than any entry waits before it claims a free cell; milliseconds. */
const LONGEST_WAIT_MS = 2_000;

// Guards against a holder that starts nothing for seconds: it had just been
// restarted, and the log of jobs was too slow to be read.
test('an entry that has not read the jobs does not take the cell', async () => {
  const world = worlds.createCellWorld();
  const jobs = worlds.viewOf(world.store.jobs);
  jobs.trouble = 'down';
  const entry = world.addEntry('a', {...world.store, jobs});
  await new Promise((resolve) => setTimeout(resolve, LONGEST_WAIT_MS));
  const claims = () => world.store.cell.records.length;
  assert.equal(claims(), 0);
  jobs.trouble = 'none';
  await worlds.until(() => entry.status().holdsCell, 'the cell is held');
  world.stop();
});
