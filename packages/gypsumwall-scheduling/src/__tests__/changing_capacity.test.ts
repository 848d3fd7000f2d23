/**
 * Load: a full cell whose workers lose capacity and get it back while tasks
 * run.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as crashWorlds from '../__fixtures__/crash_world.js';

const {test} = nodeTest;
const CORES = 16;

// Guards against starts that exceed a capacity that has shrunk.
test('a worker whose capacity shrinks is not filled beyond it', () => {
  const world = crashWorlds.createCrashWorld({
    domains: 1,
    machinesPerDomain: 3,
    cores: CORES,
  });
  world.run(500);
  for (let nth = 0; nth < 40; nth++) {
    world.submit(`job${nth}`, {taskCount: 8}, {workMs: 1_000});
  }
  world.run(1_500);
  for (const machine of world.machines) world.setCapacity(machine, CORES / 4);
  const shrunkAt = world.now;
  world.run(4_000);
  const over = world.starts.filter(
    (one) => one.exceedsCapacity && one.at > shrunkAt,
  ).length;
  assert.equal(over, 0, `${over} starts beyond the capacity`);
});

// Guards against capacity that is never used again after it had shrunk, and
// against attempts that are stopped because they do not fit any more.
test('running attempts continue while capacity is short, and restored capacity is used', () => {
  const world = crashWorlds.createCrashWorld({
    domains: 1,
    machinesPerDomain: 1,
    cores: CORES,
  });
  world.run(500);
  const machine = world.machines[0]!;
  const first = world.submit('first', {taskCount: CORES}, {workMs: 4_000});
  world.run(500);
  world.setCapacity(machine, CORES / 4);
  const second = world.submit(
    'second',
    {taskCount: 3 * CORES},
    {workMs: 1_000},
  );
  world.run(1_000);
  assert.equal(machine.attempts.length, CORES);
  world.run(3_500);
  assert.equal(world.stateOf(first), 'completed');
  assert.equal(machine.attempts.length, CORES / 4);
  world.setCapacity(machine, CORES);
  world.runUntil(() => machine.attempts.length === CORES, 500);
  assert.equal(machine.attempts.length, CORES);
  world.run(4_000);
  assert.equal(world.stateOf(second), 'completed');
});
