import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import type * as activeJob from '../active_job.js';
import type * as jobRequest from '../job_request.js';

const {test} = nodeTest;
const FAR = {farFactor: 3};
const LATE_START = {slackFactor: 50};
const ADVICE = {callMs: 50, perWorkerMs: 1, validMs: 2_000};
const DATA_IN_R1 = {preferredRack: 'r1', expectedMs: 1_000};
const GANG = {gang: true, sameRack: true, expectedMs: 1_000};

const elapse = (world: worlds.SchedulerWorld, ms: number) => {
  world.now = types.clock.after(world.now, ms);
};
const workersOf = (attempts: readonly activeJob.Attempt[]) =>
  attempts.map(({workerId}) => workerId).sort();

function addRack(
  world: worlds.SchedulerWorld,
  rack: string,
  cores: readonly number[],
): types.ids.WorkerId[] {
  return cores.map((count, nth) =>
    world.addWorker(`${rack}-${nth}`, count, rack),
  );
}

/** Fills rack r1 with one task for each worker, of the given run time. */
function fillR1(
  world: worlds.SchedulerWorld,
  cores: readonly number[],
  fields: Partial<jobRequest.StepRequest> = {},
): activeJob.Attempt[] {
  addRack(world, 'r1', cores);
  const steps = cores.map((count) =>
    worlds.step({
      size: {cpuMillis: count * 1_000, memoryMb: 1, accelerators: 0},
      ...fields,
    }),
  );
  world.submit('running', steps, {policy: LATE_START});
  return world.startAll();
}

/** Reports the progress of an attempt that has run for `ranMs`. */
function reportProgress(
  world: worlds.SchedulerWorld,
  {taskId, number, workerId}: activeJob.Attempt,
  percent: number,
): void {
  world.report(workerId, [worlds.runningAttempt(taskId, number, percent)]);
}

// Load: the rack of the data is full for a fifth of the run time that a far
// start would add. Guards against tasks that run three times as long elsewhere.
test('a task waits for the rack of its data when its end there is sooner', () => {
  const world = worlds.createSchedulerWorld(FAR);
  const [running] = fillR1(world, [1]);
  addRack(world, 'r2', [4]);
  elapse(world, 600);
  world.submit('near', [worlds.step(DATA_IN_R1)]);
  assert.deepEqual(world.startAll(), []);
  elapse(world, 400);
  world.end(running!, 'done');
  assert.deepEqual(workersOf(world.startAll()), ['r1-0']);
  const {near} = world.scheduler.counts();
  assert.deepEqual(
    [near.steps, near.nearStarts, near.farStarts, near.waitsWon],
    [1, 1, 0, 1],
  );
});

// Load: the rack of the data is full for longer than a far start takes. Guards
// against a wait that makes the task late.
test('a task starts far when nothing near is expected to end in time', () => {
  const world = worlds.createSchedulerWorld(FAR);
  fillR1(world, [1], {expectedMs: 9_000});
  addRack(world, 'r2', [4]);
  world.submit('near', [worlds.step(DATA_IN_R1)]);
  assert.deepEqual(workersOf(world.startAll()), ['r2-0']);
  assert.equal(world.scheduler.counts().near.waitsBegun, 0);
});

// Load: estimates that are too low. Guards against a wait by an estimate that
// the reported progress already contradicts.
test('reported progress goes before the estimate', () => {
  const world = worlds.createSchedulerWorld(FAR);
  const [running] = fillR1(world, [1]);
  addRack(world, 'r2', [4]);
  elapse(world, 600);
  reportProgress(world, running!, 15);
  world.submit('near', [worlds.step(DATA_IN_R1)]);
  assert.deepEqual(workersOf(world.startAll()), ['r2-0']);
});

// Failure: a task never ends although its progress promises it. Guards against
// a step that starves in front of a near place.
test('a wait ends after the run time that it could save', () => {
  const world = worlds.createSchedulerWorld(FAR);
  const [running] = fillR1(world, [1]);
  addRack(world, 'r2', [4]);
  world.submit('near', [worlds.step(DATA_IN_R1)], {policy: LATE_START});
  let waitedMs = 0;
  for (; waitedMs < 5_000; waitedMs += 100) {
    reportProgress(world, running!, (100 * waitedMs) / (waitedMs + 20));
    if (world.startAll().length > 0) break;
    elapse(world, 99);
  }
  assert.ok(waitedMs <= 2_100, `it waited ${waitedMs} ms`);
  assert.equal(world.scheduler.counts().near.waitsLost, 1);
  const outcomes = world.events.flatMap((event) =>
    event.type === 'near_wait_ended' ? [event.outcome] : [],
  );
  assert.deepEqual(outcomes, ['waited_enough']);
});

// Load: long tasks, and a cell that is nearly idle but for the rack of the data.
// Guards against a job with nothing running that waits for 3 s beside room.
for (const fields of [DATA_IN_R1, {...GANG, preferredRack: 'r1'}]) {
  const kind = 'gang' in fields ? 'gang' : 'task';
  test(`a ${kind} with room elsewhere waits for 2 s at most`, () => {
    const world = worlds.createSchedulerWorld({farFactor: 1.5});
    const long = {expectedMs: 20_000, taskCount: 2};
    fillR1(world, [1, 1], {expectedMs: 20_000});
    addRack(world, 'r2', [8]);
    elapse(world, 16_000);
    world.submit('near', [worlds.step({...fields, ...long})], {
      policy: LATE_START,
    });
    let waitedMs = 0;
    for (; waitedMs < 9_000; waitedMs += 100) {
      if (world.startAll().length > 0) break;
      elapse(world, 100);
    }
    assert.ok(waitedMs <= 2_000, `it waited ${waitedMs} ms`);
  });
}

// Failure: the only near worker is about to leave, or stops answering, while a
// task waits for it.
for (const cause of ['leaves', 'is silent'] as const) {
  test(`a wait ends when the near worker ${cause}`, () => {
    const world = worlds.createSchedulerWorld(FAR);
    const [running] = fillR1(world, [1]);
    addRack(world, 'r2', [4]);
    elapse(world, 600);
    world.submit('near', [worlds.step(DATA_IN_R1)]);
    assert.deepEqual(world.startAll(), []);
    const {scheduler} = world;
    const id = running!.workerId;
    const {info} = scheduler.workerRegistry.workers.get(id)!;
    if (cause === 'leaves') scheduler.putWorker({...info, draining: true});
    else scheduler.setUsable(id, false, world.now);
    elapse(world, 100);
    assert.deepEqual(workersOf(world.startAll()), ['r2-0']);
  });
}

// Load: a wide step, and room for half of it near its data soon. Guards against
// a step that waits as a whole, or not at all.
test('tasks beyond the room expected near start far at once', () => {
  const world = worlds.createSchedulerWorld(FAR);
  fillR1(world, [1, 1]);
  addRack(world, 'r2', [8]);
  elapse(world, 600);
  world.submit('near', [worlds.step({...DATA_IN_R1, taskCount: 4})]);
  assert.deepEqual(workersOf(world.startAll()), ['r2-0', 'r2-0']);
});

// Load: a full cell. Guards against far starts that take three times as much of
// the room for which other work waits.
test('a step waits longer where other work waits for the same room', () => {
  const waitsFor = (otherTasks: number) => {
    const world = worlds.createSchedulerWorld(FAR);
    fillR1(world, [1], {expectedMs: 1_400});
    addRack(world, 'r2', [1]);
    world.submit('near', [worlds.step(DATA_IN_R1)], {policy: LATE_START});
    const others = worlds.step({taskCount: otherTasks});
    world.submit('others', [others], {policy: {slackFactor: 90, priority: 2}});
    return world.startAll().every(({taskId}) => taskId.startsWith('others'));
  };
  assert.equal(waitsFor(1), false);
  assert.equal(waitsFor(9), true);
});

// Load: work of higher rank waits for the room that becomes free near the data.
test('room that goes to work of higher rank is not waited for', () => {
  const world = worlds.createSchedulerWorld(FAR);
  fillR1(world, [4]);
  addRack(world, 'r2', [1]);
  elapse(world, 600);
  const urgent = {
    ...DATA_IN_R1,
    size: {cpuMillis: 4_000, memoryMb: 1, accelerators: 0},
  };
  world.submit('urgent', [worlds.step(urgent)], {policy: {priority: 0}});
  world.submit('near', [worlds.step(DATA_IN_R1)]);
  assert.deepEqual(workersOf(world.startAll()), ['r2-0']);
});

// Load: a gang fits at once only if it is spread over racks. Guards against a
// gang that runs three times as long, and against small work that takes the
// room in the rack for which it waits.
test('a gang waits for one rack, which is reserved for it', () => {
  const world = worlds.createSchedulerWorld(FAR);
  const running = fillR1(world, [1, 1, 1, 1]);
  addRack(world, 'r2', [1]);
  addRack(world, 'r3', [1]);
  for (let rack = 4; rack < 14; rack++) addRack(world, `r${rack}`, [1]);
  elapse(world, 700);
  world.submit('gang', [worlds.step({...GANG, taskCount: 3})]);
  world.submit('small', [worlds.step({taskCount: 20, preferredRack: 'r1'})], {
    policy: {slackFactor: 50, priority: 2},
  });
  const small = world.startAll();
  assert.ok(small.every(({taskId}) => taskId.startsWith('small')));
  for (const attempt of running.slice(0, 2)) world.end(attempt, 'done');
  assert.deepEqual(world.startAll(), [], 'their room is reserved');
  world.end(running[2]!, 'done');
  const started = world.startAll();
  assert.deepEqual(workersOf(started), ['r1-0', 'r1-1', 'r1-2']);
  assert.ok(started.every(({taskId}) => taskId.startsWith('gang')));
});

test('a gang takes the rack that it fits best', () => {
  const world = worlds.createSchedulerWorld(FAR);
  addRack(world, 'r1', [1, 1, 1, 1]);
  addRack(world, 'r2', [8]);
  addRack(world, 'r3', [4]);
  world.submit('gang', [worlds.step({...GANG, taskCount: 4})]);
  assert.deepEqual(new Set(workersOf(world.startAll())), new Set(['r3-0']));
});

// Load: many more workers than a call names. Guards against approvals that lie
// in many racks, so that a gang fits in none of them.
test('the adviser is asked about whole racks for a gang', () => {
  const world = worlds.createSchedulerWorld(FAR);
  for (let nth = 0; nth < 20; nth++)
    for (let rack = 0; rack < 10; rack++)
      world.addWorker(`r${rack}-${nth}`, 4, `r${rack}`);
  world.submit('gang', [worlds.step({...GANG, taskCount: 26})], {
    policy: {advice: ADVICE},
  });
  const named = world.scheduler
    .decide(world.now, 0 as types.clock.WallMs)
    .advice.flatMap(({workers}) => workers);
  const racks = new Set(named.map((id) => id.split('-')[0]));
  assert.equal(racks.size, Math.ceil(named.length / 20));
});

test('the adviser is asked first about the rack of the data', () => {
  const world = worlds.createSchedulerWorld(FAR);
  for (let nth = 0; nth < 20; nth++)
    for (let rack = 0; rack < 5; rack++)
      world.addWorker(`r${rack}-${nth}`, 4, `r${rack}`);
  world.submit('near', [worlds.step({preferredRack: 'r3'})], {
    policy: {advice: ADVICE},
  });
  const [first] = world.scheduler.decide(
    world.now,
    0 as types.clock.WallMs,
  ).advice;
  assert.ok(first!.workers.slice(0, 20).every((id) => id.startsWith('r3-')));
});

// Guards against a call that spends its names on workers without room, because
// they are near.
test('the adviser is not asked first about a full rack', () => {
  const world = worlds.createSchedulerWorld(FAR);
  for (let nth = 0; nth < 20; nth++) {
    world.addWorker(`r3-${nth}`, 0, 'r3');
    world.addWorker(`r1-${nth}`, 4, 'r1');
  }
  world.submit('near', [worlds.step({preferredRack: 'r3'})], {
    policy: {advice: ADVICE},
  });
  const [first] = world.scheduler.decide(
    world.now,
    0 as types.clock.WallMs,
  ).advice;
  assert.ok(first!.workers.slice(0, 20).every((id) => id.startsWith('r1-')));
});
