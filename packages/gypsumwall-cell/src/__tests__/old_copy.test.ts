import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as cellEntryTypes from '../cell_entry_types.js';

const {test} = nodeTest;

/** Hands jobs in that wait, as the world has no workers. */
async function submit(
  entry: cellEntryTypes.CellEntry,
  names: readonly string[],
): Promise<void> {
  await worlds.until(() => entry.status().storeReachable, 'the store');
  for (const name of names) {
    const answer = await entry.jobService.submit(
      types.ids.brand<types.ids.JobId>(name),
      worlds.POLICY,
      worlds.request(1),
    );
    assert.equal(answer.type, 'ok');
  }
}

/** How many jobs wait, or how the question was refused. */
async function pending(
  entry: cellEntryTypes.CellEntry,
): Promise<number | string> {
  const answer = await entry.jobService.pendingIn(worlds.POLICY.queue);
  return answer.type === 'ok' ? answer.value : answer.type;
}

const names = (prefix: string, count: number) =>
  Array.from({length: count}, (_none, number) => `${prefix}${number}`);

// The caller is told that 4 jobs wait while 20 have waited for five seconds.
// The store turns one entry away for seconds while others accept jobs; then it
// answers again, and the entry is far behind and reads on. All the while it
// counts in its own copy of the logs, which lacks what the others accepted.
// Shown by the age of the copy beside each answer: 17 told at an age of 8.9 s.
test('an entry with an old copy tells no number of waiting jobs', async () => {
  const world = worlds.createCellWorld();
  try {
    const view = {...world.store, jobs: worlds.createLogView(world.store.jobs)};
    const first = world.addEntry('a');
    const second = world.addEntry('b', view);
    await submit(first, names('early', 4));
    await worlds.until(async () => (await pending(second)) === 4, 'four wait');

    view.jobs.fault = 'down';
    await submit(first, names('late', 16));
    await worlds.until(async () => (await pending(first)) === 20, 'all wait');
    const end = performance.now() + 2_500;
    let reported: number | string = 4;
    while (reported === 4 && performance.now() < end) {
      await new Promise((resolve) => setTimeout(resolve, 50));
      reported = await pending(second);
    }
    assert.equal(reported, 'not_run', 'while the store turns it away');

    world.store.jobs.maxReadRecords = 1;
    view.jobs.fault = 'none';
    while (reported === 'not_run') {
      reported = await pending(second);
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
    assert.equal(reported, 20, 'the first number after that');
  } finally {
    world.stop();
  }
});
