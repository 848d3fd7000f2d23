import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import type * as explainJob from '../explain_job.js';
import type * as jobRequest from '../job_request.js';

const {test} = nodeTest;

function explain(
  world: worlds.SchedulerWorld,
  fields: Partial<jobRequest.StepRequest>,
  policy: Partial<jobRequest.QueuePolicy> = {},
): explainJob.StepExplanation {
  const request = {payload: '', steps: [worlds.step(fields)]};
  const question = {request, policy: {...worlds.POLICY, ...policy}};
  return world.scheduler.explain(question, world.now).steps[0]!;
}

function createFullRack(): worlds.SchedulerWorld {
  const world = worlds.createSchedulerWorld({farFactor: 3});
  world.addWorker('near', 1, 'r1');
  world.submit('running', [worlds.step()], {policy: {slackFactor: 50}});
  world.startAll();
  world.addWorker('far', 8, 'r2');
  world.now = types.clock.after(world.now, 700);
  return world;
}

test('an explanation is what the scheduler then does', () => {
  const world = createFullRack();
  for (const fields of [
    {taskCount: 3},
    {preferredRack: 'r1', taskCount: 2},
    {gang: true, taskCount: 9},
  ]) {
    const {outlook} = explain(world, fields);
    const planned = outlook.type === 'starts' ? outlook.workers : [];
    world.submit(`job${JSON.stringify(fields)}`, [worlds.step(fields)]);
    const started = world.startAll();
    const count = planned.reduce((sum, {tasks}) => sum + tasks, 0);
    assert.equal(started.length, count);
    assert.ok(started.every((one) => planned[0]?.worker === one.workerId));
  }
});

test('an explanation changes nothing', () => {
  const world = createFullRack();
  const {workers} = world.scheduler.workerRegistry;
  const state = () =>
    JSON.stringify([...workers.values()].map(({free}) => free));
  const before = state();
  world.scheduler.takeDirty();
  explain(world, {taskCount: 3});
  explain(world, {preferredRack: 'r1'});
  assert.equal(state(), before);
  assert.equal(world.scheduler.counts().near.waitsBegun, 0);
  assert.deepEqual(world.scheduler.takeDirty(), []);
});

test('a step that would wait for a near place says for how long', () => {
  const {outlook} = explain(createFullRack(), {preferredRack: 'r1'});
  assert.deepEqual(outlook, {
    type: 'waits_for_near_place',
    rack: 'r1',
    atMostMs: 2_000,
  });
});

test('a queue with an adviser names the workers that it would ask about', () => {
  const advice = {callMs: 100, perWorkerMs: 10, validMs: 1_000};
  const {outlook, workers} = explain(createFullRack(), {}, {advice});
  assert.deepEqual(outlook, {
    type: 'asks_adviser',
    workers: ['far', 'near'],
    callMs: 120,
  });
  assert.deepEqual(workers, {no_room: 1, not_asked: 1});
});
