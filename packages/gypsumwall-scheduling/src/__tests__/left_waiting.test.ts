import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as worlds from '../__fixtures__/scheduler_world.js';

const {test} = nodeTest;

// Guards against a gang that is stopped for a member of an earlier attempt.
test('a late failure of an earlier attempt leaves the gang running', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 1);
  const w2 = world.addWorker('w2', 1);
  world.submit('job', [worlds.step({taskCount: 2, gang: true})]);
  const first = world.startAll();
  const lost = first.find((run) => run.workerId === w2)!;
  const stopped = first.find((run) => run.workerId === w1)!;
  world.scheduler.setUsable(w2, false);
  world.scheduler.leasePassed(w2, world.now);
  world.end(stopped, 'stopped');
  world.scheduler.takeStops();
  world.addWorker('w3', 1);
  assert.equal(world.startAll().length, 2);
  // It failed while nobody could hear of it.
  world.end(lost, 'failed');
  assert.deepEqual(world.scheduler.takeStops(), []);
});

// Guards against a gang that is stopped by the end of a run that was found
// beside it and that nobody wanted.
test('the end of an unwanted run leaves the gang running', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 1);
  world.addWorker('w2', 1);
  const w3 = world.addWorker('w3', 1);
  world.scheduler.setUsable(w3, false);
  world.submit('job', [worlds.step({taskCount: 2, gang: true})]);
  const first = world.startAll();
  for (const run of first) world.end(run, 'broken');
  world.scheduler.takeStops();
  const second = world.startAll();
  assert.equal(second.length, 2);
  // An answer that was under way when the first attempt ended.
  const stale = first.find((run) => run.workerId === w1)!;
  const rows = second.filter((run) => run.workerId === w1);
  world.report(w1, [
    worlds.row(stale.taskId, stale.attempt),
    ...rows.map((run) => worlds.row(run.taskId, run.attempt)),
  ]);
  const [unwanted, ...others] = world.scheduler.takeStops();
  assert.equal(unwanted?.attempt, stale.attempt);
  assert.deepEqual(others, []);
  world.end(unwanted, 'stopped');
  assert.deepEqual(world.scheduler.takeStops(), []);
});
