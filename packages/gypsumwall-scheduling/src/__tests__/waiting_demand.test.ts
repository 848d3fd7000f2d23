import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';

const {test} = nodeTest;

// Guards against refusals after a takeover because of work that runs already on
// workers that haven't reported yet.
test('work that may run already does not wait for workers', () => {
  const world = worlds.createSchedulerWorld();
  const silent = types.ids.brand<types.ids.WorkerId>('silent');
  world.unreconciled.add(silent);
  const progress = {
    phase: 'running',
    workers: [silent],
    occurrences: {},
    finished: [],
  } as const;
  world.submit('before', [worlds.step()], {inherited: true, progress});
  world.decide();
  assert.deepEqual(world.scheduler.waitingDemand(), []);
  world.unreconciled.clear();
  world.scheduler.onWorkerReconciled();
  world.decide();
  const [row, ...others] = world.scheduler.waitingDemand();
  assert.ok(row !== undefined && row.onTimeCoreMs > 0);
  assert.deepEqual(others, []);
});

// Guards against refusals of all jobs because of work that no worker can run.
test('work that needs a label does not count as waiting before other work', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 4);
  world.submit('never', [worlds.step({requiredLabel: 'gone', taskCount: 999})]);
  world.decide();
  assert.deepEqual(world.scheduler.waitingDemand(), []);
});
