import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import * as activeJob from '../active_job.js';
import * as jobOrder from '../job_order.js';
import * as waitingOrder from '../waiting_order.js';

const {test} = nodeTest;

const STEPS = 60;
const CYCLES = 200;

// Guards against an order that is out of date after steps have come, gone or
// become late.
test('the order is that of all waiting steps sorted anew', () => {
  const random = types.random.createRandom(11);
  const world = worlds.createSchedulerWorld();
  for (let nth = 0; nth < STEPS; nth++) {
    const expectedMs = random.integer(10, 3_000);
    world.submit(`j${nth}`, [worlds.step({expectedMs})]);
  }
  const all = [...world.scheduler.jobs.values()].flatMap((job) =>
    [...job.openOccurrences.values()].flatMap(({steps}) => steps),
  );
  assert.equal(all.length, STEPS);
  const order = waitingOrder.createWaitingOrder();
  const waiting = new Set<activeJob.StepRun>();
  let {now} = world;
  for (let cycle = 0; cycle < CYCLES; cycle++) {
    now = types.clock.after(now, random.integer(0, 100));
    for (const stepRun of all) {
      if (random.next() < 0.1) waiting.add(stepRun);
      else if (random.next() < 0.05) waiting.delete(stepRun);
    }
    const commitMs = random.integer(0, 200);
    const {steps} = order.sort(waiting, now, commitMs);
    const startAt = types.clock.after(now, 2 * commitMs);
    const expected = all
      .filter((stepRun) => waiting.has(stepRun))
      .sort((a, b) =>
        jobOrder.compare(
          activeJob.claimantOf(a),
          activeJob.claimantOf(b),
          startAt,
        ),
      );
    assert.deepEqual(
      steps.map(({id}) => id),
      expected.map(({id}) => id),
    );
  }
});
