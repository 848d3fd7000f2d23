import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';

const {test} = nodeTest;
const WORKERS = 30;
const CYCLES = 8;
/** The worker of the only task, and three further ones. */
const MAX_RECORDED = 4;
const WALL = 0 as types.clock.WallMs;

// Guards against a failover that waits for all workers that a small job was
// approved for: while its commit was open, each cycle recorded more of them.
test('a step records few further workers while its commit is open', () => {
  const world = worlds.createSchedulerWorld();
  const {scheduler} = world;
  for (let nth = 0; nth < WORKERS; nth++) world.addWorker(`w${nth}`, 8);
  scheduler.setCommitLatency(200);
  const advice = {callMs: 10, perWorkerMs: 0.1, validMs: 1_000_000};
  const validUntil = types.clock.after(world.now, advice.validMs);
  const id = world.submit('job', [worlds.step()], {policy: {advice}});
  for (let cycle = 0; cycle < CYCLES; cycle++) {
    const decided = scheduler.decide(world.now, WALL);
    for (const req of decided.advice) {
      const approvals = new Map(
        req.workers.map((worker) => [worker, 'ticket']),
      );
      scheduler.onAdviceAnswered(req, approvals, validUntil);
    }
    scheduler.takeDirty();
    world.now = types.clock.after(world.now, 100);
  }
  const recorded = scheduler.jobs.get(id)!.workers.size;
  assert.ok(recorded <= MAX_RECORDED, `${recorded} workers are recorded`);
});
