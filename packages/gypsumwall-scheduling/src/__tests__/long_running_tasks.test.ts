import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';

const {test} = nodeTest;
/** Longer than any target duration of the jobs here. */
const LONG_MS = 60_000;

const longRunningStep = () => worlds.step({longRunning: true});

// Guards against a long-running task that is never restarted while work that is
// still on time keeps arriving.
test('a failed long-running task ranks before newer work of its priority', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 1);
  world.submit('watch', [longRunningStep()]);
  const [attempt] = world.startAll();
  world.now = types.clock.after(world.now, LONG_MS);
  world.submit('newer', [worlds.step()]);
  world.end(attempt!, 'failed');
  assert.deepEqual(
    world.startAll().map(({taskId}) => taskId),
    ['watch.0.0.0'],
  );
});
