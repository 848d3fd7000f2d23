import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import * as adviserPool from '../adviser_pool.js';

const {test} = nodeTest;
const WALL = 0 as types.clock.WallMs;
/** A call gets large by its names alone. */
const COSTLY = {callMs: 20, perWorkerMs: 20, validMs: 2_500};
const CHEAP = {callMs: 5, perWorkerMs: 0, validMs: 2_500};
/** How often time alone has the holder decide; milliseconds. */
const TICK_MS = 100;
const ENTRIES = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7', 'e8'];

// Guards against a small call that is kept waiting, beside free entries, by
// looks at steps whose calls are too large for the entries that are left.
test('a step with room and a small call is asked about behind large calls', () => {
  const world = worlds.createSchedulerWorld();
  const lanes = adviserPool.createAdviserPool<string>();
  for (let nth = 0; nth < 100; nth++) world.addWorker(`w${nth}`, 4);
  for (let nth = 0; nth < 60; nth++) {
    world.submit(`wide${nth}`, [worlds.step({taskCount: 40})], {
      policy: {advice: COSTLY, priority: 0, slackFactor: 100},
    });
  }
  world.submit('narrow', [worlds.step()], {
    policy: {advice: CHEAP, priority: 2, slackFactor: 100},
  });
  let open: {at: number; answer: () => void}[] = [];
  let askedAfterMs: number | undefined;
  let idle = 0;
  for (let ms = 0; ms < 10_000 && askedAfterMs === undefined; ms += TICK_MS) {
    for (const call of open) if (call.at <= ms) call.answer();
    open = open.filter((call) => call.at > ms);
    const capacity = lanes.capacity(ENTRIES);
    const {advice} = world.scheduler.decide(world.now, WALL, capacity);
    world.scheduler.onStored(world.scheduler.takeDirty());
    world.now = types.clock.after(world.now, TICK_MS);
    for (const wish of advice) {
      if (wish.stepRun.job.id === 'narrow') askedAfterMs = ms;
      const lane = lanes.acquire(ENTRIES, wish.callMs, wish.needed);
      const never = 0 as types.clock.MonotonicMs;
      if (lane === undefined) {
        world.scheduler.onAdviceAnswered(wish, undefined, never);
        continue;
      }
      const answer = () => {
        lanes.release(lane, wish.callMs);
        // The policy allows none of the workers.
        world.scheduler.onAdviceAnswered(wish, new Map(), never);
      };
      open.push({at: ms + wish.callMs, answer});
    }
    if (lanes.capacity(ENTRIES).spare > 0) idle++;
  }
  assert.ok(
    askedAfterMs !== undefined && askedAfterMs < worlds.POLICY.targetMs,
    `asked after ${askedAfterMs} ms; entries stood idle at ${idle} ticks`,
  );
});
