import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import type * as schedulerTypes from '../scheduler_types.js';

const {test} = nodeTest;
const WALL = 0 as types.clock.WallMs;
const ADVICE = {callMs: 570, perWorkerMs: 8, validMs: 2_000};

function wishesOf(
  world: worlds.SchedulerWorld,
): schedulerTypes.AdviceRequest[] {
  return world.scheduler.decide(world.now, WALL).advice;
}

/** Approves all that a call names. */
function approve(
  world: worlds.SchedulerWorld,
  wish: schedulerTypes.AdviceRequest,
): void {
  const approved = new Map(wish.workers.map((id) => [id, 'ticket'] as const));
  const until = types.clock.after(world.now, ADVICE.validMs);
  world.scheduler.onAdviceAnswered(wish, approved, until);
}

// Load: 150 workers, the first 100 of them full. A caller's job waits while 50
// workers are idle: one call takes 100 names, and named in the order of the
// books they were always the same.
test('workers with room are named before full ones', () => {
  const world = worlds.createSchedulerWorld();
  const ids = Array.from({length: 150}, (_, nth) =>
    world.addWorker(`w${nth}`, 4),
  );
  world.submit('full', [
    worlds.step({
      taskCount: 100,
      size: {cpuMillis: 4_000, memoryMb: 1, accelerators: 0},
    }),
  ]);
  const busy = new Set(world.startAll().map((run) => run.workerId));
  assert.equal(busy.size, 100);
  world.submit('job', [worlds.step()], {policy: {advice: ADVICE}});
  const named = wishesOf(world).flatMap((wish) => wish.workers);
  assert.equal(named.length, 30);
  assert.ok(named.every((id) => !busy.has(id) && ids.includes(id)));
});

// Load: a gang as wide as a quarter of the cell. It is late before it starts:
// a call with all the names it needs takes 0.5 s longer than two with half.
test('a wide gang is asked about in calls side by side', () => {
  const world = worlds.createSchedulerWorld();
  for (let nth = 0; nth < 120; nth++) world.addWorker(`w${nth}`, 1);
  const gang = worlds.step({taskCount: 15, gang: true});
  world.submit('job', [gang], {policy: {advice: ADVICE}});
  const wishes = wishesOf(world);
  const names = wishes.flatMap((wish) => wish.workers);
  assert.equal(wishes.length, 3);
  assert.equal(new Set(names).size, names.length);
  assert.deepEqual(
    wishes.map((wish) => wish.needed),
    [true, false, false],
  );
});

// A gang waits for room while small tasks come and go. Its tickets ended, and
// in the time until the next answer the room it waited for was taken.
test('a gang that waits for room gets new tickets before the old end', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 2);
  world.submit('first', [worlds.step()]);
  const [run] = world.startAll();
  const gang = worlds.step({taskCount: 2, gang: true});
  world.submit('gang', [gang], {policy: {advice: ADVICE}});
  const [first] = wishesOf(world);
  approve(world, first!);
  world.now = types.clock.after(world.now, 1_000);
  assert.deepEqual(wishesOf(world), [], 'its tickets still hold');
  world.now = types.clock.after(world.now, 300);
  const [renewal] = wishesOf(world);
  assert.deepEqual(renewal?.workers, [w1]);
  assert.equal(renewal.needed, false);
  world.end(run!, 'done');
  assert.equal(world.decide().length, 2, 'the old tickets are used meanwhile');
});

// Guards against free entries that ask for late jobs while urgent ones wait.
test('the most urgent step asks first when few calls can be made', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w', 4);
  const policyOf = (priority: number) => ({policy: {advice: ADVICE, priority}});
  world.submit('batch', [worlds.step()], policyOf(2));
  world.submit('urgent', [worlds.step()], policyOf(0));
  world.submit('normal', [worlds.step()], policyOf(1));
  const ask = (needed: number) =>
    world.scheduler
      .decide(world.now, WALL, {needed, large: needed, spare: 0})
      .advice.map((wish) => wish.stepRun.job.id);
  assert.deepEqual(ask(0), []);
  assert.deepEqual(ask(1), ['urgent']);
  assert.deepEqual(ask(2), ['normal', 'batch']);
});

// Guards against an adviser whose calls are all spent on steps without room:
// those ask again whenever their tickets end, and others never get their turn.
test('a step with room is asked about before more urgent ones without', () => {
  const world = worlds.createSchedulerWorld();
  const small = world.addWorker('small', 1);
  world.addWorker('large', 8);
  world.submit('filler', [
    worlds.step({size: {cpuMillis: 8_000, memoryMb: 1, accelerators: 0}}),
  ]);
  assert.equal(world.startAll().length, 1);
  const wide = worlds.step({
    size: {cpuMillis: 4_000, memoryMb: 1, accelerators: 0},
  });
  for (let nth = 0; nth < 20; nth++) {
    world.submit(`wide${nth}`, [wide], {policy: {advice: ADVICE, priority: 0}});
  }
  world.submit('narrow', [worlds.step()], {
    policy: {advice: ADVICE, priority: 2},
  });
  const {advice} = world.scheduler.decide(world.now, WALL, {
    needed: 3,
    large: 3,
    spare: 0,
  });
  const narrow = advice.find(({stepRun}) => stepRun.job.id === 'narrow');
  assert.ok(narrow?.workers.includes(small));
});
