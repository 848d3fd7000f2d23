/**
 * Load: jobs of several tasks in three failure domains, one of which is cut off
 * for six seconds. Of 25 jobs sent in the two seconds before, 10 were late and
 * 3 lost with tasks spread over the domains; 6 were late and 1 was lost with
 * each job in one domain.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';

const {test} = nodeTest;

/** Creates workers of two cores each, two in each failure domain. */
function createWorld() {
  const world = worlds.createSchedulerWorld();
  for (const name of ['a1', 'b1', 'c1', 'a2', 'b2', 'c2']) {
    const id = world.addWorker(name, 2);
    const {info} = world.scheduler.workerRegistry.workers.get(id)!;
    const domain = types.ids.brand<types.ids.FailureDomain>(name[0]!);
    world.scheduler.putWorker({...info, domain});
  }
  const domainsOf = () =>
    new Set(world.startAll().map((attempt) => attempt.workerId[0]));
  return {world, domainsOf};
}

test('the tasks of a job are placed in one failure domain', () => {
  const {world, domainsOf} = createWorld();
  world.submit('job', [worlds.step({taskCount: 4})]);
  assert.equal(domainsOf().size, 1);
});

test('a later step is placed where the earlier steps were', () => {
  const {world} = createWorld();
  world.submit('job', [
    worlds.step({taskCount: 2}),
    worlds.step({taskCount: 4, after: [0]}),
  ]);
  const first = world.startAll();
  world.submit('other', [worlds.step({taskCount: 3})]);
  world.startAll();
  for (const attempt of first) world.end(attempt, 'done');
  const second = world.startAll();
  assert.deepEqual(
    new Set(second.map((attempt) => attempt.workerId[0])),
    new Set(first.map((attempt) => attempt.workerId[0])),
  );
});

test('gangs are placed in one failure domain too', () => {
  const {world, domainsOf} = createWorld();
  world.submit('job', [worlds.step({taskCount: 4, gang: true})]);
  assert.equal(domainsOf().size, 1);
});

test('tasks that do not fit into the domain are placed elsewhere at once', () => {
  const {world} = createWorld();
  world.submit('job', [worlds.step({taskCount: 10})]);
  assert.equal(world.startAll().length, 10);
});

// Each task of a service is useful without the others, so a cut must not affect
// most of them.
test('long-running tasks are not placed in one domain', () => {
  const {world, domainsOf} = createWorld();
  world.submit('job', [worlds.step({taskCount: 6, longRunning: true})]);
  assert.equal(domainsOf().size, 3);
});
