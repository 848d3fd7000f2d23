import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as cellEntryTypes from '../cell_entry_types.js';

const {test} = nodeTest;

/** Submits jobs, which stay queued because the world has no workers. */
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

/** Number of pending jobs, or how the query was refused. */
async function pending(
  entry: cellEntryTypes.CellEntry,
): Promise<number | string> {
  const answer = await entry.jobService.pendingIn(worlds.POLICY.queue);
  return answer.type === 'ok' ? answer.value : answer.type;
}

const names = (prefix: string, count: number) =>
  Array.from({length: count}, (_none, number) => `${prefix}${number}`);

// Guards against a count of 4 pending jobs where 20 have been pending for five
// seconds. The store refuses one entry for seconds while others accept jobs;
// then it answers again, and the entry reads its long backlog. All that time
// the entry counted in its own replica, which lacks the jobs accepted by
// others: it once returned 17 from a replica that was 8.9 s old.
test('an entry with a stale replica returns no number of pending jobs', async () => {
  const world = worlds.createCellWorld();
  try {
    const view = {...world.store, jobs: worlds.createLogView(world.store.jobs)};
    const first = world.addEntry('a');
    const second = world.addEntry('b', view);
    await submit(first, names('early', 4));
    await worlds.until(
      async () => (await pending(second)) === 4,
      'four pending jobs',
    );

    view.jobs.fault = 'down';
    await submit(first, names('late', 16));
    await worlds.until(
      async () => (await pending(first)) === 20,
      'all pending jobs',
    );
    const end = performance.now() + 2_500;
    let reported: number | string = 4;
    while (reported === 4 && performance.now() < end) {
      await new Promise((resolve) => setTimeout(resolve, 50));
      reported = await pending(second);
    }
    assert.equal(reported, 'not_run', 'while the store refuses it');

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
