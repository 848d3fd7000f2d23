import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as workerHealth from '../worker_health.js';

const {test} = nodeTest;
const worker = (name: string) => types.ids.brand<types.ids.WorkerId>(name);
const job = (name: string) => types.ids.brand<types.ids.JobId>(name);
const at = (ms: number) => ms as types.clock.MonotonicMs;

// Load: 8.5% of the workers fail all their tasks for 6.5 s, as on the sites of
// the users. Such a worker is always free and attracts task after task.
test('a worker that fails the tasks of two jobs is avoided', () => {
  const health = workerHealth.createWorkerHealth(() => 33);
  health.recordFailure(worker('w1'), job('a'), at(0));
  assert.equal(health.trustOf(worker('w1'), at(1)), 'doubtful');
  health.recordFailure(worker('w1'), job('b'), at(1));
  assert.equal(health.trustOf(worker('w1'), at(2)), 'avoided');
  assert.equal(health.trustOf(worker('w1'), at(2_000)), 'doubtful');
  health.recordSuccess(worker('w1'), job('c'));
  assert.equal(health.trustOf(worker('w1'), at(2_001)), 'healthy');
});

// Load: 1 to 5% of the jobs can never succeed and fail on every worker.
test('a job that fails on two workers counts against neither', () => {
  const health = workerHealth.createWorkerHealth(() => 33);
  health.recordFailure(worker('w1'), job('bad'), at(0));
  health.recordFailure(worker('w2'), job('bad'), at(1));
  assert.equal(health.trustOf(worker('w1'), at(2)), 'healthy');
  assert.equal(health.trustOf(worker('w2'), at(2)), 'healthy');
});

test('most workers are never avoided at once', () => {
  const health = workerHealth.createWorkerHealth(() => 6);
  for (let nth = 0; nth < 6; nth++)
    health.recordStall(worker(`w${nth}`), at(0));
  const avoided = [0, 1, 2, 3, 4, 5].filter(
    (nth) => health.trustOf(worker(`w${nth}`), at(1)) === 'avoided',
  );
  assert.equal(avoided.length, 3);
});
