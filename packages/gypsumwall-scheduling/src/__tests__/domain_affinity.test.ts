/**
 * Load: jobs of several tasks over three failure domains, one of which is cut
 * off for six seconds. Sent in the two seconds before, 10 jobs of 25 were late
 * and 3 lost with tasks spread over the domains; 6 and 1 with each job in one.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';

const {test} = nodeTest;

/** Workers of two cores each, two to a failure domain. */
function openWorld() {
  const world = worlds.createSchedulerWorld();
  for (const name of ['a1', 'b1', 'c1', 'a2', 'b2', 'c2']) {
    const id = world.addWorker(name, 2);
    const {info} = world.scheduler.workerRegistry.workers.get(id)!;
    const domain = types.ids.brand<types.ids.FailureDomain>(name[0]!);
    world.scheduler.putWorker({...info, domain});
  }
  const domainsOf = () =>
    new Set(world.startAll().map((run) => run.workerId[0]));
  return {world, domainsOf};
}

test('the tasks of a job keep to one failure domain', () => {
  const {world, domainsOf} = openWorld();
  world.submit('job', [worlds.step({taskCount: 4})]);
  assert.equal(domainsOf().size, 1);
});

test('a later step goes where the steps before it were', () => {
  const {world} = openWorld();
  world.submit('job', [
    worlds.step({taskCount: 2}),
    worlds.step({taskCount: 4, after: [0]}),
  ]);
  const first = world.startAll();
  world.submit('other', [worlds.step({taskCount: 3})]);
  world.startAll();
  for (const run of first) world.end(run, 'done');
  const second = world.startAll();
  assert.deepEqual(
    new Set(second.map((run) => run.workerId[0])),
    new Set(first.map((run) => run.workerId[0])),
  );
});

test('gangs keep to one failure domain too', () => {
  const {world, domainsOf} = openWorld();
  world.submit('job', [worlds.step({taskCount: 4, gang: true})]);
  assert.equal(domainsOf().size, 1);
});

test('what finds no room in its domain goes elsewhere at once', () => {
  const {world} = openWorld();
  world.submit('job', [worlds.step({taskCount: 10})]);
  assert.equal(world.startAll().length, 10);
});

// Each task of a service is of use by itself: a cut must not take most of them.
test('tasks that last are not drawn together', () => {
  const {world, domainsOf} = openWorld();
  world.submit('job', [worlds.step({taskCount: 6, longRunning: true})]);
  assert.equal(domainsOf().size, 3);
});
