/**
 * Load: jobs of several short tasks on workers of which some can't be reached
 * for some seconds. A job is done with its last task, so a third of the workers
 * out of reach makes nearly every job of six tasks late.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';

const {test} = nodeTest;

/** One worker with a task on it that doesn't answer any more, and a free one. */
function openWorld(speculative: boolean) {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 2);
  world.submit('job', [worlds.step({speculative})]);
  const [run] = world.startAll();
  world.addWorker('w2', 4);
  world.now = types.clock.after(world.now, 500);
  world.scheduler.setUsable(w1, false, world.now);
  world.scheduler.onWorkerUnreachable(w1);
  return {world, run: run!};
}

// A failure domain is cut off for six seconds with a task of 1 s on one of its
// workers. It may be running, so only a task that may be copied goes on.
test('a task out of reach is copied where that is allowed, else not', () => {
  assert.equal(openWorld(true).world.startAll().length, 1);
  assert.equal(openWorld(false).world.startAll().length, 0);
});

test('the first run that is done counts, and the other is stopped', () => {
  const {world, run} = openWorld(true);
  const [copy] = world.startAll();
  assert.equal(copy?.taskId, run.taskId);
  assert.equal(copy.workerId, 'w2');
  assert.ok(copy.number > run.number);
  world.end(copy, 'done');
  assert.deepEqual(world.scheduler.takeStops(), [run]);
  assert.equal(world.scheduler.counts().jobs, 0);
});

// Each failed look tells anew that the worker is out of reach.
test('a task has one copy, however often its worker is found out of reach', () => {
  const {world, run} = openWorld(true);
  world.scheduler.onWorkerUnreachable(run.workerId);
  assert.equal(world.startAll().length, 1);
  world.scheduler.onWorkerUnreachable(run.workerId);
  assert.equal(world.startAll().length, 0);
});

// The first run ends in a failure while its copy runs: a third would be one
// too many, and a success of the copy must end the job.
test('a task whose first run fails waits for its copy', () => {
  const {world, run} = openWorld(true);
  const [copy] = world.startAll();
  world.end(run, 'failed');
  assert.equal(world.startAll().length, 0);
  world.end(copy!, 'done');
  assert.equal(world.scheduler.counts().jobs, 0);
});
