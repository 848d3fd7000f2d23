/** Load: workers crash beside changes of the holder while tasks wait. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as crashChecks from '../__fixtures__/crash_checks.js';

const {test} = nodeTest;

// Guards against a job that is shown as failed although no task of it has
// failed and no worker has crashed under one: its last task waits for room
// while workers that other tasks of the job had used crash beside changes of
// the holder.
test('a task that only waits is not blamed for crashes beside changes of the holder', () => {
  const world = crashChecks.createWorld();
  const {cores} = crashChecks.CELL;
  const size = {
    cpuMillis: (cores + 1) * 1_000,
    memoryMb: 100,
    accelerators: 0,
  };
  const id = world.submit(
    'waiting',
    [
      {taskCount: world.machines.length, maxPerWorker: 1},
      {size, after: [0]},
    ],
    {workMs: 500},
  );
  world.run(1_500);
  assert.equal(world.starts.length, world.machines.length);
  for (const machine of world.machines.slice(0, 5)) {
    world.crash(machine);
    world.killHolder();
    world.run(5_000);
  }
  for (const machine of world.machines) world.setCapacity(machine, 2 * cores);
  world.run(5_000);
  assert.equal(crashChecks.maxCrashesUnder(world, id), 0);
  crashChecks.assertFailedForCause(world);
  crashChecks.assertCompleted(world, [id]);
});
