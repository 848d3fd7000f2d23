/**
 * Load: jobs of several short tasks on workers of which a few take five times
 * as long for some seconds, or can't be reached. A job is done with its last
 * task, so one such worker of sixteen makes every third job of six tasks late.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import type * as activeJob from '../active_job.js';

const {test} = nodeTest;

/** One worker with a task on it, a free one, and half the task's time gone. */
function openWorld(fields: Parameters<typeof worlds.step>[0], percent: number) {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 2);
  world.submit('job', [worlds.step(fields)]);
  const [run] = world.startAll();
  world.addWorker('w2', 4);
  world.now = types.clock.after(world.now, 500);
  world.report(w1, [worlds.row(run!.taskId, run!.attempt, percent)]);
  return {world, w1, run: run!};
}

// The caller waits four more seconds for a task of one. Its worker has turned
// slow, and reports a tenth of the work where half was expected.
test('a task on a slow worker is done elsewhere, after its stop', () => {
  const {world, run} = openWorld({}, 10);
  assert.deepEqual(world.scheduler.takeStops(), [run]);
  assert.equal(world.startAll().length, 0, 'the first run is not over');
  world.end(run, 'stopped');
  const [again] = world.startAll();
  assert.equal(again?.workerId, 'w2');
});

test('a task that is a little behind its estimate stays', () => {
  const {world} = openWorld({}, 25);
  assert.deepEqual(world.scheduler.takeStops(), []);
});

// A task that was estimated at 1 s and takes long by itself says nothing of a
// worker on which another runs as expected.
test('a worker on which another task runs as expected is not slow', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 2);
  world.submit('job', [worlds.step({taskCount: 2})]);
  const runs = world.startAll();
  world.addWorker('w2', 4);
  world.now = types.clock.after(world.now, 500);
  const rowOf = (run: activeJob.Run, percent: number) =>
    worlds.row(run.taskId, run.attempt, percent);
  world.report(w1, [rowOf(runs[0]!, 10), rowOf(runs[1]!, 50)]);
  assert.deepEqual(world.scheduler.takeStops(), []);
});

test('nothing new starts on a slow worker while another has room', () => {
  const {world} = openWorld({}, 10);
  world.submit('next', [worlds.step({taskCount: 2})]);
  const next = world.startAll();
  assert.deepEqual(
    next.map((run) => run.workerId),
    ['w2', 'w2'],
  );
});

test('a copy runs beside a slow task where its caller allows copies', () => {
  const {world, run} = openWorld({speculative: true}, 10);
  assert.deepEqual(world.scheduler.takeStops(), []);
  const [copy] = world.startAll();
  assert.equal(copy?.taskId, run.taskId);
  assert.equal(copy.workerId, 'w2');
  assert.ok(copy.attempt > run.attempt);
  world.end(copy, 'done');
  assert.deepEqual(world.scheduler.takeStops(), [run]);
  assert.equal(world.scheduler.counts().jobs, 0);
});

// A failure domain is cut off for six seconds with a task of 1 s on one of its
// workers. It may be running, so only a task that may be copied goes on.
test('a task out of reach is copied where that is allowed, else not', () => {
  for (const speculative of [true, false]) {
    const {world, w1} = openWorld({speculative}, 50);
    world.scheduler.setUsable(w1, false);
    world.scheduler.outOfReach(w1);
    assert.equal(world.startAll().length, speculative ? 1 : 0);
  }
});

// The first run ends in a failure while its copy runs: a third would be one
// too many, and a success of the copy must end the job.
test('a task whose first run fails waits for its copy', () => {
  const {world, run} = openWorld({speculative: true}, 10);
  const [copy] = world.startAll();
  world.end(run, 'failed');
  assert.equal(world.startAll().length, 0);
  world.end(copy!, 'done');
  assert.equal(world.scheduler.counts().jobs, 0);
});
