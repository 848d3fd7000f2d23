import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as refusedJobs from '../refused_jobs.js';

const {test} = nodeTest;
const id = types.ids.brand<types.ids.JobId>('job');
const wall = (ms: number) => ms as types.clock.WallMs;

test('a refused job whose record is older than the refusal is told from a later one', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const refusals = refusedJobs.createRefusedJobs(clock);
  await clock.runUntil(1_000);
  refusals.add(id);
  await clock.runUntil(1_400);
  assert.deepEqual(refusals.take(id, wall(900)), {
    refusedMsAgo: 400,
    isOlderThanRefusal: true,
  });
  assert.equal(refusals.take(id, wall(900)), undefined, 'reported once');
  refusals.add(id);
  assert.equal(refusals.take(id, wall(1_500))?.isOlderThanRefusal, false);
});

test('refusals are forgotten after their time, and the oldest of too many', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const refusals = refusedJobs.createRefusedJobs(clock);
  refusals.add(id);
  await clock.runUntil(60_000);
  assert.equal(refusals.take(id, wall(0)), undefined);
  refusals.add(id);
  for (let nth = 0; nth < 10_000; nth++)
    refusals.add(types.ids.brand(`${nth}`));
  assert.equal(refusals.take(id, wall(0)), undefined);
  assert.notEqual(refusals.take(types.ids.brand('9999'), wall(0)), undefined);
});
