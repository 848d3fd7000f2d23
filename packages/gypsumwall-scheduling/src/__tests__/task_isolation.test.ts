/** Load: tasks whose workers have crashed, in a cell of few workers. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import type * as activeJob from '../active_job.js';
import * as jobProgress from '../job_progress.js';
import type * as jobRequest from '../job_request.js';

const {test} = nodeTest;
const FIRST_ISOLATION_MS = 3_000;
const MIN_SETTLED_MS = 2_000;

/** Progress of a job for which the store has recorded this worker already. */
const RECORDED: jobProgress.JobProgress = {
  ...jobProgress.NO_PROGRESS,
  workers: [types.ids.brand('w1')],
};

type World = worlds.SchedulerWorld;

/** Submits a job with tasks whose workers have crashed. */
function submitSuspect(
  world: World,
  name: string,
  indexes: readonly number[],
  crashCount: number,
  fields: Partial<jobRequest.StepRequest> = {},
): types.ids.JobId {
  const workers = Array.from({length: crashCount}, (_none, nth) => [
    `old${nth}`,
    'single' as const,
  ]);
  const crashes = Object.fromEntries(
    indexes.map((index) => [index, Object.fromEntries(workers)]),
  );
  const known = workers.map(([worker]) => [worker, 'running']);
  const evidence = Object.fromEntries(
    indexes.map((index) => [index, Object.fromEntries(known)]),
  );
  const occurrences = {'0': [{done: [], failures: {}, crashes, evidence}]};
  const progress = {...RECORDED, occurrences};
  return world.submit(name, [worlds.step(fields)], {progress});
}

function elapse(world: World, spanMs: number): void {
  world.now = types.clock.after(world.now, spanMs);
}

const workersOf = (attempts: readonly activeJob.Attempt[]) =>
  attempts.map((attempt) => attempt.workerId).sort();

// Guards against a healthy task that is given up because a task that starts
// later crashes its worker.
test('no other task starts beside an isolated one until its isolation period is over', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 4);
  submitSuspect(world, 'suspect', [0], 2);
  assert.equal(world.startAll().length, 1);
  world.submit('other', [worlds.step()]);
  assert.equal(world.startAll().length, 0);
  elapse(world, FIRST_ISOLATION_MS - 100);
  assert.equal(world.startAll().length, 0);
  elapse(world, 200);
  assert.equal(world.startAll().length, 1);
});

// Guards against a worker that stays reserved after its task has ended.
test('a worker is released as soon as its isolated task has ended', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 4);
  submitSuspect(world, 'suspect', [0], 2);
  const [attempt] = world.startAll();
  world.submit('other', [worlds.step()]);
  world.end(attempt!, 'done');
  assert.equal(world.startAll().length, 1);
});

// Guards against an isolation period beside a task that may crash the worker
// itself.
test('a task starts isolated only beside attempts that have run for a while', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 4);
  world.submit('long', [worlds.step()]);
  assert.equal(world.startAll().length, 1);
  submitSuspect(world, 'suspect', [0], 2);
  assert.equal(world.startAll().length, 0);
  elapse(world, MIN_SETTLED_MS - 100);
  assert.equal(world.startAll().length, 0);
  elapse(world, 200);
  assert.equal(world.startAll().length, 1);
});

// Guards against an isolated start on a worker on which another task is placed
// in the same cycle.
test('a task does not start isolated beside one that is placed in the same cycle', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 4);
  const policy = {priority: 0};
  world.submit('urgent', [worlds.step()], {policy, progress: RECORDED});
  submitSuspect(world, 'suspect', [0], 2);
  const jobs = world.startAll().map((attempt) => attempt.task?.stepRun.job.id);
  assert.deepEqual(jobs, ['urgent']);
});

// Guards against a crashing task that is not recognised because of power
// failures.
test('group losses count beside a single crash, but not by themselves', () => {
  const startsIsolated = (...kinds: jobProgress.CrashKind[]) => {
    const world = worlds.createSchedulerWorld();
    world.addWorker('w1', 4);
    const workers = kinds.map((kind, nth) => [`old${nth}`, kind] as const);
    const crashes = {'0': Object.fromEntries(workers)};
    const occurrences = {'0': [{done: [], failures: {}, crashes}]};
    const progress = {...RECORDED, occurrences};
    world.submit('hit', [worlds.step()], {progress});
    const [attempt] = world.startAll();
    return attempt?.isolatedUntil !== undefined;
  };
  assert.equal(startsIsolated('group', 'group', 'group'), false);
  assert.equal(startsIsolated('single'), false);
  assert.equal(startsIsolated('group', 'single'), true);
  assert.equal(startsIsolated('single', 'single'), true);
});

// Guards against a task that waits forever for isolation in a cell whose
// workers always run recently started tasks.
test('a worker is reserved for a task that waits for isolation', () => {
  const world = worlds.createSchedulerWorld();
  for (const name of ['w1', 'w2']) world.addWorker(name, 2);
  const running: activeJob.Attempt[] = [];
  let sent = 0;
  const sendShort = () => {
    if (running.length === 4) world.end(running.shift()!, 'done');
    world.submit(`short${sent++}`, [worlds.step()]);
    running.push(...world.startAll());
    elapse(world, 100);
  };
  for (let nth = 0; nth < 4; nth++) sendShort();
  const suspect = submitSuspect(world, 'suspect', [0], 2);
  const hasStarted = () =>
    running.some((attempt) => attempt.task?.stepRun.job.id === suspect);
  for (let nth = 0; nth < 60 && !hasStarted(); nth++) sendShort();
  assert.ok(hasStarted());
});

// Guards against suspected tasks that cannot be distinguished because they
// share a worker.
test('suspected tasks of several jobs start on workers of their own', () => {
  const world = worlds.createSchedulerWorld();
  for (const name of ['w1', 'w2', 'w3']) world.addWorker(name, 4);
  for (const name of ['a', 'b', 'c']) submitSuspect(world, name, [0], 1);
  assert.deepEqual(workersOf(world.startAll()), ['w1', 'w2', 'w3']);
});

// Guards against a gang whose members are all suspected because they share a
// worker.
test('suspected members of a gang are spread over the workers', () => {
  const world = worlds.createSchedulerWorld();
  for (const name of ['w1', 'w2', 'w3']) world.addWorker(name, 8);
  const fields = {taskCount: 3, gang: true};
  submitSuspect(world, 'gang', [0, 1, 2], 1, fields);
  assert.deepEqual(workersOf(world.startAll()), ['w1', 'w2', 'w3']);
});

// Guards against a gang that shares workers with other suspected tasks.
test('a suspected gang avoids workers with suspects of other jobs', () => {
  const world = worlds.createSchedulerWorld();
  for (const name of ['w1', 'w2', 'w3']) world.addWorker(name, 8);
  submitSuspect(world, 'other', [0], 1);
  const [other] = world.startAll();
  const fields = {taskCount: 4, gang: true};
  submitSuspect(world, 'gang', [0], 1, fields);
  const gang = workersOf(world.startAll());
  assert.equal(gang.length, 4);
  assert.ok(!gang.includes(other!.workerId), gang.join());
});

// Guards against a gang that is started only in part, or not at all, because
// one member needs isolation.
test('a gang starts as a whole with one member isolated from other jobs', () => {
  const world = worlds.createSchedulerWorld();
  for (const name of ['w1', 'w2']) world.addWorker(name, 8);
  world.submit('busy', [worlds.step({taskCount: 2, maxPerWorker: 1})]);
  world.startAll();
  const fields = {taskCount: 6, gang: true};
  submitSuspect(world, 'gang', [2], 2, fields);
  assert.equal(world.startAll().length, 0);
  elapse(world, MIN_SETTLED_MS);
  assert.equal(world.startAll().length, 6);
});

// Guards against a successor that does not continue an isolation period.
test('a task that is found alone on a worker is isolated', () => {
  const world = worlds.createSchedulerWorld();
  const worker = world.addWorker('w1', 4);
  submitSuspect(world, 'suspect', [0], 2);
  world.report(worker, [worlds.runningAttempt('suspect.0.0.0', 7)]);
  world.submit('other', [worlds.step()]);
  assert.equal(world.startAll().length, 0);
  world.scheduler.removeWorker(worker, 'crashed', world.now);
  const reasons = world.events.flatMap((event) =>
    event.type === 'task_given_up' ? [event.reason] : [],
  );
  assert.deepEqual(reasons, ['crashed_in_isolation']);
});

// Guards against a healthy task that is given up when other workers are lost
// together with its worker during the isolation period.
test('a crash together with others does not count as a crash in isolation', () => {
  const world = worlds.createSchedulerWorld();
  const workers = ['w1', 'w2', 'w3', 'w4', 'w5'].map((name) =>
    world.addWorker(name, 4),
  );
  for (const worker of workers) world.report(worker, []);
  submitSuspect(world, 'suspect', [0], 2);
  const [attempt] = world.startAll();
  const neighbour = workers.find((worker) => worker !== attempt!.workerId)!;
  for (const lost of [attempt!.workerId, neighbour]) {
    world.scheduler.setUsable(lost, false, world.now);
  }
  world.scheduler.removeWorker(attempt!.workerId, 'crashed', world.now);
  const givenUp = world.events.filter(
    (event) => event.type === 'task_given_up',
  );
  assert.equal(givenUp.length, 0);
});

// Guards against a copy of a task that crashes its workers.
test('a task under which a worker has crashed is not copied', () => {
  const startsAgain = (crashed: readonly number[]) => {
    const world = worlds.createSchedulerWorld();
    for (const name of ['w1', 'w2']) world.addWorker(name, 4);
    submitSuspect(world, 'job', crashed, 1, {speculative: true});
    const [attempt] = world.startAll();
    world.scheduler.setUsable(attempt!.workerId, false, world.now);
    world.scheduler.onWorkerUnreachable(attempt!.workerId);
    return world.startAll().length > 0;
  };
  assert.equal(startsAgain([]), true);
  assert.equal(startsAgain([0]), false);
});

// Guards against a task that outlives each of its isolation periods and then
// crashes its worker beside others.
test('the isolation period doubles with each crash', () => {
  const isolationMs = (crashCount: number) => {
    const world = worlds.createSchedulerWorld();
    world.addWorker('w1', 4);
    submitSuspect(world, 'suspect', [0], crashCount);
    const startedAt = world.now;
    const [attempt] = world.startAll();
    return attempt!.isolatedUntil! - startedAt;
  };
  assert.deepEqual([2, 3, 4].map(isolationMs), [3_000, 6_000, 12_000]);
});

// Guards against a healthy task that is given up for one coincidental crash.
test('after a crash late in the isolation period it takes one more to give up the task', () => {
  const isGivenUp = (crashCount: number, ranMs: number) => {
    const world = worlds.createSchedulerWorld();
    const worker = world.addWorker('w1', 4);
    submitSuspect(world, 'suspect', [0], crashCount);
    world.startAll();
    elapse(world, ranMs);
    world.scheduler.removeWorker(worker, 'crashed', world.now);
    return world.events.some((event) => event.type === 'task_given_up');
  };
  assert.equal(isGivenUp(2, 500), true);
  assert.equal(isGivenUp(2, 2_000), false);
  assert.equal(isGivenUp(3, 2_000), true);
});
