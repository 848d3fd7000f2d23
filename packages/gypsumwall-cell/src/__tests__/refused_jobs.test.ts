import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as refusedJobs from '../refused_jobs.js';

const {test} = nodeTest;
const id = types.ids.brand<types.ids.JobId>('job');
const wall = (ms: number) => ms as types.clock.WallMs;

test('the record of a refused job is told from those of earlier and later calls', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const refusals = refusedJobs.createRefusedJobs(clock);
  await clock.runUntil(1_000);
  const createdOf = (createdAt: number) => {
    refusals.add(id, wall(800));
    return refusals.take(id, wall(createdAt))?.created;
  };
  assert.equal(createdOf(700), 'before_call');
  assert.equal(createdOf(900), 'during_call');
  assert.equal(createdOf(1_001), 'after_call');
});

test('a refused job is reported once, with the time since the refusal', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const refusals = refusedJobs.createRefusedJobs(clock);
  refusals.add(id, wall(0));
  await clock.runUntil(400);
  assert.equal(refusals.take(id, wall(0))?.refusedMsAgo, 400);
  assert.equal(refusals.take(id, wall(0)), undefined);
});

test('refusals are forgotten after their time, and the oldest of too many', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const refusals = refusedJobs.createRefusedJobs(clock);
  const add = (name: string) => refusals.add(types.ids.brand(name), wall(0));
  add(id);
  await clock.runUntil(60_000);
  assert.equal(refusals.take(id, wall(0)), undefined);
  add(id);
  for (let nth = 0; nth < 10_000; nth++) add(`${nth}`);
  assert.equal(refusals.take(id, wall(0)), undefined);
  assert.notEqual(refusals.take(types.ids.brand('9999'), wall(0)), undefined);
});
