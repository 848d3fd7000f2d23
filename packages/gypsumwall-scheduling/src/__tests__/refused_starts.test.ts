import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';

const {test} = nodeTest;
const CYCLE_MS = 5;

type World = worlds.SchedulerWorld;

/** Refuses every start for a while; returns their number. */
function refuseAll(world: World, spanMs: number): number {
  let refused = 0;
  const until = types.clock.after(world.now, spanMs);
  while (world.now < until) {
    for (const {attempt} of world.decide()) {
      refused++;
      const outcome = {type: 'refused', reason: 'other'} as const;
      world.scheduler.onStartAnswered(attempt, outcome, world.now);
    }
    world.now = types.clock.after(world.now, CYCLE_MS);
  }
  return refused;
}

// Guards against a start that every worker refuses and that is sent in each
// cycle.
test('a start that is refused repeatedly is sent with a growing delay', () => {
  const world = worlds.createSchedulerWorld();
  for (let nth = 0; nth < 20; nth++) world.addWorker(`w${nth}`, 4);
  world.submit('refused', [worlds.step()]);
  const refused = refuseAll(world, 60_000);
  assert.ok(refused > 8 && refused < 30, `${refused} starts in a minute`);
});

// Guards against a pause that lasts longer than its cause or delays other jobs.
test('a step starts soon after a few refusals, and others at once', () => {
  const world = worlds.createSchedulerWorld();
  for (let nth = 0; nth < 8; nth++) world.addWorker(`w${nth}`, 4);
  const refused = world.submit('refused', [worlds.step()]);
  refuseAll(world, 200);
  const other = world.submit('other', [worlds.step()]);
  const jobs = () =>
    world.startAll().map((attempt) => attempt.task?.stepRun.job.id);
  assert.deepEqual(jobs(), [other]);
  world.now = types.clock.after(world.now, 400);
  assert.deepEqual(jobs(), [refused]);
});

// Guards against a step that stands still for seconds, with workers free, since
// one worker refused many of its starts at the same moment.
test('starts that one worker refuses together do not pause the step', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 16);
  world.submit('job', [worlds.step({taskCount: 16})]);
  const orders = world.decide();
  assert.equal(orders.length, 16);
  // The worker has crashed: it refuses the connection.
  const refused = {type: 'refused', reason: 'other'} as const;
  for (const {attempt} of orders)
    world.scheduler.onStartAnswered(attempt, refused, world.now);
  world.scheduler.setUsable(w1, false, world.now);
  world.addWorker('w2', 16);
  world.now = types.clock.after(world.now, 1_000);
  assert.equal(world.startAll().length, 16);
});
