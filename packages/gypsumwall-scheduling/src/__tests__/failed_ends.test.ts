/** Which ends `failed` count towards the failures that a queue allows. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import type * as activeJob from '../active_job.js';
import type * as jobRequest from '../job_request.js';

const {test} = nodeTest;

function describeEnd({events}: worlds.SchedulerWorld): string | undefined {
  const over = events.find(({type}) => type === 'job_over');
  return over && JSON.stringify(over);
}

/**
 * Creates a world with a job that allows two failures. The first attempt of one
 * of its tasks has failed, and the second one runs on an unreachable worker.
 */
function createWorld(step: Partial<jobRequest.StepRequest>): {
  readonly world: worlds.SchedulerWorld;
  readonly unreachable: activeJob.Attempt;
} {
  const world = worlds.createSchedulerWorld();
  for (const name of ['w1', 'w2']) world.addWorker(name, 1);
  const policy = {maxFailures: 2};
  world.submit('job', [worlds.step({taskCount: 2, ...step})], {policy});
  const [first] = world.startAll();
  world.end(first!, 'failed');
  world.now = types.clock.after(world.now, 60_000);
  const [unreachable] = world.startAll();
  assert.equal(unreachable?.taskId, first?.taskId);
  world.scheduler.setUsable(unreachable!.workerId, false, world.now);
  world.scheduler.onWorkerUnreachable(unreachable!.workerId);
  world.addWorker('w3', 1);
  return {world, unreachable: unreachable!};
}

// Guards against a job that is given up though none of its tasks is left to
// fail: the other copy of a task that is done ends `failed`.
test('an attempt that fails after its task is done does not fail the job', () => {
  const {world, unreachable} = createWorld({speculative: true});
  const [copy] = world.startAll();
  assert.equal(copy?.taskId, unreachable.taskId);
  world.end(copy, 'done');
  world.end(unreachable, 'failed');
  assert.equal(describeEnd(world), undefined);
});
