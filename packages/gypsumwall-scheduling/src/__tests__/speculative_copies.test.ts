/**
 * Load: jobs of several short tasks on workers of which some are unreachable
 * for some seconds. A job is done with its last task, so a third of the workers
 * being unreachable makes nearly every job of six tasks late.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';

const {test} = nodeTest;

/**
 * Creates a world with an unreachable worker that runs a task, and a free
 * worker.
 */
function createWorld(speculative: boolean) {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 2);
  world.submit('job', [worlds.step({speculative})]);
  const [attempt] = world.startAll();
  world.addWorker('w2', 4);
  world.now = types.clock.after(world.now, 500);
  world.scheduler.setUsable(w1, false, world.now);
  world.scheduler.onWorkerUnreachable(w1);
  return {world, attempt: attempt!};
}

// A failure domain is cut off for six seconds with a task of 1 s on one of its
// workers. The task may still run, so it is started again only if copies are
// allowed.
test('a task on an unreachable worker is copied only where that is allowed', () => {
  assert.equal(createWorld(true).world.startAll().length, 1);
  assert.equal(createWorld(false).world.startAll().length, 0);
});

test('the first attempt that is done counts and the other one is stopped', () => {
  const {world, attempt} = createWorld(true);
  const [copy] = world.startAll();
  assert.equal(copy?.taskId, attempt.taskId);
  assert.equal(copy.workerId, 'w2');
  assert.ok(copy.number > attempt.number);
  world.end(copy, 'done');
  assert.deepEqual(world.scheduler.takeStops(), [attempt]);
  assert.equal(world.scheduler.counts().jobs, 0);
});

// Each failed poll reports again that the worker is unreachable.
test('a task has one copy, however often its worker is reported as unreachable', () => {
  const {world, attempt} = createWorld(true);
  world.scheduler.onWorkerUnreachable(attempt.workerId);
  assert.equal(world.startAll().length, 1);
  world.scheduler.onWorkerUnreachable(attempt.workerId);
  assert.equal(world.startAll().length, 0);
});

// The first attempt fails while its copy runs: a third attempt would be one too
// many, and the success of the copy must end the job.
test('a task whose first attempt fails waits for its copy', () => {
  const {world, attempt} = createWorld(true);
  const [copy] = world.startAll();
  world.end(attempt, 'failed');
  assert.equal(world.startAll().length, 0);
  world.end(copy!, 'done');
  assert.equal(world.scheduler.counts().jobs, 0);
});
