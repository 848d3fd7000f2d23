import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';

const {test} = nodeTest;
const LEASE_MS = 10_000;
/**
 * Six seconds without a running attempt, and three more until that is noticed;
 * milliseconds.
 */
const MAX_ABSENCE_MS = 9_000;

function longRunningRequest() {
  const request = worlds.request(1);
  const steps = request.steps.map((step) => ({...step, longRunning: true}));
  return {...request, steps};
}

// Guards against a long-running task that is interrupted for a whole lease
// after its worker was lost for good.
test('a long-running task runs again soon after its worker is lost', async () => {
  const world = worlds.createCellWorld(LEASE_MS);
  try {
    const lost = await world.addWorker('w1', 1);
    const entry = world.addEntry('a');
    await worlds.until(() => entry.status().storeReachable, 'the store');
    const jobId = types.ids.brand<types.ids.JobId>('job');
    await entry.jobService.submit(jobId, worlds.POLICY, longRunningRequest());
    await worlds.until(() => lost.running.size === 1, 'the task');
    const other = await world.addWorker('w2', 1);
    // By now the lease that came with the start has been renewed.
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    lost.cut = true;
    const lostAt = performance.now();
    const isBack = () => other.running.size === 1;
    await worlds.until(isBack, 'it runs elsewhere', 2 * LEASE_MS);
    const tookMs = Math.round(performance.now() - lostAt);
    assert.ok(tookMs < MAX_ABSENCE_MS, `${tookMs} ms`);
  } finally {
    world.stop();
  }
});
