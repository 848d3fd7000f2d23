import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as fakeLogs from '../__fixtures__/fake_log.js';

const {test} = nodeTest;
const job = (name: string) => types.ids.brand<types.ids.JobId>(name);

function setFault(world: worlds.CellWorld, fault: fakeLogs.Fault): void {
  world.store.jobs.fault = fault;
  world.store.cell.fault = fault;
}

async function openWorld() {
  const world = worlds.createCellWorld();
  await world.addWorker('w1', 4);
  const entry = world.addEntry('a');
  await worlds.until(() => entry.status().holdsCell, 'the cell is held');
  return {world, entry};
}

// Load: 13 jobs a second, and a store that didn't answer for 6.6 s. Callers try
// five times within 3 s, so each tenth of a second until the first job is
// stored again loses a job. Entries had probed every 1.2 s, and accepted the
// first job 0.8 s after the store had recovered.
test('a store that did not answer is used again within 0.3 s of its recovery', async () => {
  const {world, entry} = await openWorld();
  // These durations end at different points between two tries of a single read.
  for (const silentMs of [1_000, 1_225, 1_450, 1_675]) {
    setFault(world, 'silent');
    await worlds.until(
      () => !entry.status().storeReachable,
      'the outage is detected',
    );
    await new Promise((resolve) => setTimeout(resolve, silentMs));
    setFault(world, 'none');
    await worlds.until(
      () => entry.status().storeReachable,
      'the recovery is detected',
      300,
    );
  }
  const before = world.store.cell.records.length;
  const answer = await entry.jobService.submit(
    job('a'),
    worlds.POLICY,
    worlds.request(1),
  );
  assert.equal(answer.type, 'ok');
  await worlds.until(
    () => world.store.cell.records.length > before,
    'the holder stores again',
    300,
  );
  world.stop();
});

// Guards against a caller who waits 2.4 s for an answer although the entry
// knows long before that none will come, so that no time is left for a retry.
// The append was sent just before the store stopped answering; then the reads
// fail as well.
test('a call with an unknown effect is answered once the store is known to be unavailable', async () => {
  const {world, entry} = await openWorld();
  setFault(world, 'silent');
  const sentAt = performance.now();
  const answer = await entry.jobService.submit(
    job('a'),
    worlds.POLICY,
    worlds.request(1),
  );
  assert.equal(answer.type, 'unknown');
  assert.ok(performance.now() - sentAt < 1_000, 'it is answered in time');
  world.stop();
});
