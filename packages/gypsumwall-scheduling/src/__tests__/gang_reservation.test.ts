import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as worlds from '../__fixtures__/scheduler_world.js';

const {test} = nodeTest;
const LATE_START = {slackFactor: 50};

function fill(world: worlds.SchedulerWorld, tasks: number) {
  world.submit('running', [worlds.step({taskCount: tasks})], {
    policy: LATE_START,
  });
  return world.startAll();
}

// Load: a full cell of small tasks with more of them queued, and a gang that
// ranks before them. Guards against a gang that waits until all the small work
// has ended: each core that becomes free goes to the next small task, and two
// are never free at once.
test('small tasks leave the capacity that a gang of higher rank waits for', () => {
  const world = worlds.createSchedulerWorld();
  for (let nth = 0; nth < 8; nth++) world.addWorker(`w${nth}`, 2);
  const attempts = fill(world, 16);
  world.submit('gang', [worlds.step({taskCount: 2, gang: true})]);
  world.submit('small', [worlds.step({taskCount: 20})], {policy: LATE_START});
  world.startAll();
  const onFirst = attempts.filter(
    (attempt) => attempt.workerId === attempts[0]!.workerId,
  );
  const other = attempts.find(
    (attempt) => attempt.workerId !== attempts[0]!.workerId,
  )!;
  world.end(onFirst[0]!, 'done');
  assert.deepEqual(world.startAll(), [], 'its capacity is reserved');
  world.end(other, 'done');
  const started = world.startAll();
  assert.deepEqual(
    started.map((attempt) => attempt.taskId.split('.')[0]),
    ['gang', 'gang'],
  );
});

test('no worker is reserved for a gang that could not get all of its capacity', () => {
  const world = worlds.createSchedulerWorld();
  for (let nth = 0; nth < 8; nth++) world.addWorker(`w${nth}`, 2);
  const attempts = fill(world, 16);
  world.submit('gang', [worlds.step({taskCount: 16, gang: true})]);
  world.submit('small', [worlds.step({taskCount: 20})], {policy: LATE_START});
  world.startAll();
  world.end(attempts[0]!, 'done');
  const [next] = world.startAll();
  assert.equal(next?.taskId.split('.')[0], 'small');
});

test('more urgent work starts on reserved workers', () => {
  const world = worlds.createSchedulerWorld();
  for (let nth = 0; nth < 8; nth++) world.addWorker(`w${nth}`, 2);
  const attempts = fill(world, 16);
  world.submit('gang', [worlds.step({taskCount: 2, gang: true})]);
  world.submit('urgent', [worlds.step()], {policy: {priority: 0}});
  world.startAll();
  world.end(attempts[0]!, 'done');
  const [next] = world.startAll();
  assert.equal(next?.taskId.split('.')[0], 'urgent');
});
