/** What the log says about why a job has failed. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import * as jobProgress from '../job_progress.js';
import type * as schedulerTypes from '../scheduler_types.js';

const {test} = nodeTest;

type World = worlds.SchedulerWorld;
type EventType = schedulerTypes.SchedulerEvent['type'];

function eventsOf(world: World, type: EventType) {
  return world.events.filter((event) => event.type === type);
}

/** Starts the waiting task and ends its attempt, so many times. */
function failTimes(world: World, times: number): void {
  for (let nth = 0; nth < times; nth++) {
    const [attempt] = world.startAll();
    assert.ok(attempt !== undefined);
    world.end(attempt, 'failed');
    world.now = types.clock.after(world.now, 60_000);
  }
}

// Guards against a failed job whose log doesn't show which attempts counted.
test('a job that has failed names its task, the limit and the failed attempts', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 2);
  const occurrences = {'0': [{done: [], failures: {'0': [7]}}]};
  const progress = {...jobProgress.NO_PROGRESS, occurrences};
  world.submit('job', [worlds.step()], {progress, policy: {maxFailures: 2}});
  failTimes(world, 1);
  const [over] = eventsOf(world, 'job_over');
  assert.deepEqual(over, {
    type: 'job_over',
    job: 'job',
    phase: 'failed',
    queue: worlds.POLICY.queue,
    objectiveMs: 3_000,
    reason: 'too_many_failures',
    task: 'job.0.0.0',
    limit: 2,
    attempts: '7@restored,1@w1',
  });
});

// Guards against crashes that are counted without a trace of how they were
// known.
test('a crash says whether the task was known to run on the worker', () => {
  const world = worlds.createSchedulerWorld();
  for (const name of ['w1', 'w2', 'w3']) world.addWorker(name, 1);
  const crash = (name: string) =>
    world.scheduler.removeWorker(types.ids.brand(name), 'crashed', world.now);
  const evidence = () =>
    eventsOf(world, 'crash_recorded').map((event) =>
      event.type === 'crash_recorded' ? event.evidence : undefined,
    );
  world.submit('job', [worlds.step({taskCount: 3})]);
  const orders = world.decide();
  assert.equal(orders.length, 3);
  const [running, unanswered, lapsed] = orders.map(({attempt}) => attempt);
  for (const attempt of [running!, lapsed!])
    world.scheduler.onStartAnswered(attempt, {type: 'started'}, world.now);
  crash(running!.workerId);
  crash(unanswered!.workerId);
  world.scheduler.onLeaseExpired(lapsed!.workerId, world.now);
  crash(lapsed!.workerId);
  assert.deepEqual(evidence(), ['running', 'unanswered', 'lapsed']);

  const id = types.ids.brand<types.ids.WorkerId>('before');
  world.addWorker('before', 1);
  world.unreconciled.add(id);
  const occurrences = {'0': [{done: [], failures: {}}]};
  const progress = {...jobProgress.NO_PROGRESS, workers: [id], occurrences};
  world.submit('inherited', [worlds.step()], {inherited: true, progress});
  crash(id);
  world.unreconciled.delete(id);
  world.scheduler.onWorkerReconciled();
  assert.equal(evidence().length, 3);
  assert.deepEqual(eventsOf(world, 'crash_presumed'), [
    {type: 'crash_presumed', step: 'inherited.0.0', worker: id, tasks: 1},
  ]);
});

// Guards against a limit that changes for accepted jobs without a line in the
// log.
test('a change of the failures that a queue allows is logged once', () => {
  const world = worlds.createSchedulerWorld();
  for (const name of ['a', 'b', 'c']) world.submit(name, [worlds.step()]);
  const changeTo = (maxFailures: number) =>
    world.scheduler.updatePolicies(() => ({...worlds.POLICY, maxFailures}));
  changeTo(worlds.POLICY.maxFailures);
  assert.equal(eventsOf(world, 'failure_limit_changed').length, 0);
  changeTo(1);
  assert.deepEqual(eventsOf(world, 'failure_limit_changed'), [
    {
      type: 'failure_limit_changed',
      queue: worlds.POLICY.queue,
      limit: 1,
      before: worlds.POLICY.maxFailures,
    },
  ]);
});
