import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import type * as schedulerTypes from '../scheduler_types.js';

const {test} = nodeTest;

type WaitEvent = Extract<schedulerTypes.SchedulerEvent, {type: 'step_waits'}>;

function waitsOf(world: worlds.SchedulerWorld): WaitEvent[] {
  return world.events.filter(
    (event): event is WaitEvent => event.type === 'step_waits',
  );
}

function runFor(world: worlds.SchedulerWorld, spanMs: number): void {
  const until = types.clock.after(world.now, spanMs);
  while (world.now < until) {
    world.startAll();
    world.now = types.clock.after(world.now, 100);
  }
}

// Guards against a step that waits without a log line that says why.
test('a waiting step is logged with the reason for each worker', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('small', 1);
  const unreachable = world.addWorker('away', 8);
  world.scheduler.setUsable(unreachable, false, world.now);
  world.submit('wide', [
    worlds.step({size: {cpuMillis: 4_000, memoryMb: 1, accelerators: 0}}),
  ]);
  runFor(world, 900);
  assert.deepEqual(waitsOf(world), []);
  runFor(world, 5_000);
  const waits = waitsOf(world);
  assert.ok(waits.length >= 2 && waits.length <= 3, `${waits.length} lines`);
  assert.equal(waits[0]!.step, 'wide.0.0');
  assert.equal(waits[0]!.workers, 'no_room:1,unusable:1');
  assert.ok(waits[0]!.waitedMs >= 1_000);
});

// Guards against a log that grows with the number of waiting steps.
test('reports of waiting steps are bounded', () => {
  const world = worlds.createSchedulerWorld();
  for (let nth = 0; nth < 500; nth++) world.submit(`j${nth}`, [worlds.step()]);
  runFor(world, 10_000);
  const {length} = waitsOf(world);
  assert.ok(length >= 20 && length <= 80, `${length} lines`);
});

// Guards against a gang that waits for one member without a log line.
test('a gang whose members have not all ended is logged', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('one', 1);
  world.addWorker('two', 1);
  world.submit('gang', [worlds.step({taskCount: 2, gang: true})]);
  const attempts = world.startAll();
  world.end(attempts[0]!, 'broken');
  runFor(world, 3_000);
  const broken = world.events.filter(({type}) => type === 'gang_breaks');
  assert.equal(broken.length, 1);
});
