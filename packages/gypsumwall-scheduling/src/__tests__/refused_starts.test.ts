import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';

const {test} = nodeTest;
const CYCLE_MS = 5;

type World = worlds.SchedulerWorld;

/** Refuses every start for a while; how many there were. */
function refuseAll(world: World, spanMs: number): number {
  let refused = 0;
  const until = types.clock.after(world.now, spanMs);
  while (world.now < until) {
    for (const {attempt: run} of world.decide()) {
      refused++;
      const outcome = {type: 'refused', reason: 'other'} as const;
      world.scheduler.onStartAnswered(run, outcome, world.now);
    }
    world.now = types.clock.after(world.now, CYCLE_MS);
  }
  return refused;
}

// Guards against a start that every worker refuses and that is sent each cycle.
test('a start that is refused again and again is sent less and less often', () => {
  const world = worlds.createSchedulerWorld();
  for (let nth = 0; nth < 20; nth++) world.addWorker(`w${nth}`, 4);
  world.submit('refused', [worlds.step()]);
  const refused = refuseAll(world, 60_000);
  assert.ok(refused > 8 && refused < 30, `${refused} starts in a minute`);
});

// Guards against a pause that outlasts its cause, or that holds up other jobs.
test('a step starts soon after a few refusals, and others at once', () => {
  const world = worlds.createSchedulerWorld();
  for (let nth = 0; nth < 8; nth++) world.addWorker(`w${nth}`, 4);
  const refused = world.submit('refused', [worlds.step()]);
  refuseAll(world, 200);
  const other = world.submit('other', [worlds.step()]);
  const jobs = () => world.startAll().map((run) => run.task?.stepRun.job.id);
  assert.deepEqual(jobs(), [other]);
  world.now = types.clock.after(world.now, 400);
  assert.deepEqual(jobs(), [refused]);
});
