import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import type * as schedulerTypes from '../scheduler_types.js';

const {test} = nodeTest;
const WALL = 0 as types.clock.WallMs;
const ADVICE = {callMs: 570, perWorkerMs: 8, validMs: 2_000};

function requestsOf(
  world: worlds.SchedulerWorld,
): schedulerTypes.AdviceRequest[] {
  return world.scheduler.decide(world.now, WALL).advice;
}

/** Approves all workers that a call names. */
function approve(
  world: worlds.SchedulerWorld,
  request: schedulerTypes.AdviceRequest,
): void {
  const approved = new Map(
    request.workers.map((id) => [id, 'ticket'] as const),
  );
  const until = types.clock.after(world.now, ADVICE.validMs);
  world.scheduler.onAdviceAnswered(request, approved, until);
}

// Load: 150 workers, the first 100 of them full. Guards against a job that
// waits while 50 workers are idle: one call names up to 100 workers, which were
// always the same in the order of the registry.
test('workers with free capacity are named before full ones', () => {
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
  const busy = new Set(world.startAll().map((attempt) => attempt.workerId));
  assert.equal(busy.size, 100);
  world.submit('job', [worlds.step()], {policy: {advice: ADVICE}});
  const named = requestsOf(world).flatMap((request) => request.workers);
  assert.equal(named.length, 30);
  assert.ok(named.every((id) => !busy.has(id) && ids.includes(id)));
});

// Load: a gang as wide as a quarter of the cell. Guards against a gang that is
// late before it starts: a call with all the names it needs takes 0.5 s longer
// than two with half of them.
test('a wide gang is asked about in concurrent calls', () => {
  const world = worlds.createSchedulerWorld();
  for (let nth = 0; nth < 120; nth++) world.addWorker(`w${nth}`, 1);
  const gang = worlds.step({taskCount: 15, gang: true});
  world.submit('job', [gang], {policy: {advice: ADVICE}});
  const requests = requestsOf(world);
  const names = requests.flatMap((request) => request.workers);
  assert.equal(requests.length, 3);
  assert.equal(new Set(names).size, names.length);
  assert.deepEqual(
    requests.map((request) => request.needed),
    [true, false, false],
  );
});

// Guards against a gang whose tickets expire while it waits for capacity beside
// small tasks: the capacity was used by others before the next answer.
test('a gang that waits for capacity gets new tickets before the old ones expire', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 2);
  world.submit('first', [worlds.step()]);
  const [attempt] = world.startAll();
  const gang = worlds.step({taskCount: 2, gang: true});
  world.submit('gang', [gang], {policy: {advice: ADVICE}});
  const [first] = requestsOf(world);
  approve(world, first!);
  world.now = types.clock.after(world.now, 1_000);
  assert.deepEqual(requestsOf(world), [], 'its tickets are still valid');
  world.now = types.clock.after(world.now, 300);
  const [renewal] = requestsOf(world);
  assert.deepEqual(renewal?.workers, [w1]);
  assert.equal(renewal.needed, false);
  world.end(attempt!, 'done');
  assert.equal(world.decide().length, 2, 'the old tickets are used meanwhile');
});

// Guards against free entries that make calls for late jobs while urgent ones
// wait.
test('the adviser is asked about the most urgent step first when few calls can be made', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w', 4);
  const policyOf = (priority: number) => ({policy: {advice: ADVICE, priority}});
  world.submit('batch', [worlds.step()], policyOf(2));
  world.submit('urgent', [worlds.step()], policyOf(0));
  world.submit('normal', [worlds.step()], policyOf(1));
  const ask = (needed: number) =>
    world.scheduler
      .decide(world.now, WALL, {needed, large: needed, spare: 0})
      .advice.map((request) => request.stepRun.job.id);
  assert.deepEqual(ask(0), []);
  assert.deepEqual(ask(1), ['urgent']);
  assert.deepEqual(ask(2), ['normal', 'batch']);
});

// Guards against calls that are all spent on steps without capacity: these ask
// again whenever their tickets expire, and the adviser is never asked about
// others.
test('a step with free capacity is asked about before more urgent ones without', () => {
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
