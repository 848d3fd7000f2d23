import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';

const {test} = nodeTest;
const clock = types.clock.createSystemClock();
/** Longer than a holder may usually be silent; milliseconds. */
const LOAD_MS = 1_000;

function delayLoads(view: worlds.FakeStore): void {
  for (const log of [view.cell, view.jobs]) {
    const newest = log.newest.bind(log);
    log.newest = async (after) => {
      await types.clock.sleepFor(clock, LOAD_MS);
      return newest(after);
    };
  }
}

function createView(store: worlds.FakeStore): worlds.FakeStore {
  return {
    ...store,
    cell: worlds.createLogView(store.cell),
    jobs: worlds.createLogView(store.jobs),
  };
}

// Guards against a restart of all entries on slow links after which none ever
// starts a task: each new holder was replaced while it read and called workers.
test('a new holder may be silent for as long as the logs take to load', async () => {
  let isBusy = true;
  const world = worlds.createCellWorld();
  const {cell} = world.store;
  const claims = () => cell.records.filter(({key}) => key === 'claim').length;
  try {
    const busy = createView(world.store);
    const append = busy.cell.append.bind(busy.cell);
    busy.cell.append = async (entries, options) => {
      while (isBusy && claims() > 0) await types.clock.sleepFor(clock, 10);
      return append(entries, options);
    };
    const waiting = createView(world.store);
    delayLoads(waiting);
    world.addEntry('a', busy);
    const other = world.addEntry('b', waiting);
    await worlds.until(() => other.status().storeReachable, 'the loads');
    await types.clock.sleepFor(clock, LOAD_MS);
    assert.equal(claims(), 1, 'the holder was replaced');
  } finally {
    isBusy = false;
    world.stop();
  }
});
