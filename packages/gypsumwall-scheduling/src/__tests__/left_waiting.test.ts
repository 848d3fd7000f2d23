import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as worlds from '../__fixtures__/scheduler_world.js';
import * as jobProgress from '../job_progress.js';

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

// Guards against part of a gang that runs on alone: its step was not open yet
// where the scheduler took it over, and one of its members ended.
test('a gang found before its step is open is stopped without a member', () => {
  const world = worlds.createSchedulerWorld();
  const [w1, w2, w3] = ['w1', 'w2', 'w3'].map((name) =>
    world.addWorker(name, 1),
  );
  const gang = worlds.step({taskCount: 2, gang: true, after: [0]});
  const progress = {...jobProgress.NO_PROGRESS, phase: 'running'} as const;
  world.submit('job', [worlds.step(), gang], {inherited: true, progress});
  world.report(w2!, [worlds.row('job.0.1.0', 1)]);
  world.report(w3!, [worlds.row('job.0.1.1', 1)]);
  world.report(w1!, []);
  world.scheduler.leasePassed(w3!, world.now);
  const [member] = world.scheduler.takeStops();
  assert.equal(member?.taskId, 'job.0.1.0');
  // The end of the first step is lost, so its task runs again.
  const [first] = world.startAll();
  world.end(first!, 'done');
  world.end(member, 'stopped');
  assert.equal(world.startAll().length, 2);
});
