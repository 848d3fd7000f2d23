/** Load: tasks under which workers have crashed, in a cell of few workers. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import type * as activeJob from '../active_job.js';
import type * as crashRecords from '../crash_records.js';
import * as jobProgress from '../job_progress.js';
import type * as jobRequest from '../job_request.js';

const {test} = nodeTest;
const TRIAL_MS = 3_000;
const SETTLED_MS = 2_000;

/** The store knows already that tasks of the job may be on this worker. */
const RECORDED: jobProgress.JobProgress = {
  ...jobProgress.NO_PROGRESS,
  workers: [types.ids.brand('w1')],
};

type World = worlds.SchedulerWorld;

/** Hands in a job under whose tasks workers have crashed. */
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
  const occurrences = {'0': [{done: [], failures: {}, crashes}]};
  const progress = {...RECORDED, occurrences};
  return world.submit(name, [worlds.step(fields)], {progress});
}

function elapse(world: World, spanMs: number): void {
  world.now = types.clock.after(world.now, spanMs);
}

const workersOf = (runs: readonly activeJob.Attempt[]) =>
  runs.map((run) => run.workerId).sort();

// Guards against a sound task that is given up for a newcomer's crash.
test('nothing new starts beside a task on trial until it is over', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 4);
  submitSuspect(world, 'suspect', [0], 2);
  assert.equal(world.startAll().length, 1);
  world.submit('other', [worlds.step()]);
  assert.equal(world.startAll().length, 0);
  elapse(world, TRIAL_MS - 100);
  assert.equal(world.startAll().length, 0);
  elapse(world, 200);
  assert.equal(world.startAll().length, 1);
});

// Guards against a worker that stays closed after its task has ended.
test('a worker is open again as soon as the task on trial has ended', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 4);
  submitSuspect(world, 'suspect', [0], 2);
  const [run] = world.startAll();
  world.submit('other', [worlds.step()]);
  world.end(run!, 'done');
  assert.equal(world.startAll().length, 1);
});

// Guards against a trial beside a task that may crash the worker itself.
test('a task is tried only beside what has run for a while', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 4);
  world.submit('long', [worlds.step()]);
  assert.equal(world.startAll().length, 1);
  submitSuspect(world, 'suspect', [0], 2);
  assert.equal(world.startAll().length, 0);
  elapse(world, SETTLED_MS - 100);
  assert.equal(world.startAll().length, 0);
  elapse(world, 200);
  assert.equal(world.startAll().length, 1);
});

// Guards against a trial on a worker that gets another task in the same cycle.
test('a task is not tried beside one that is placed in the same cycle', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 4);
  const policy = {priority: 0};
  world.submit('urgent', [worlds.step()], {policy, progress: RECORDED});
  submitSuspect(world, 'suspect', [0], 2);
  const jobs = world.startAll().map((run) => run.task?.stepRun.job.id);
  assert.deepEqual(jobs, ['urgent']);
});

// Guards against a task that hides behind losses of power.
test('losses of a group count beside a single crash, and not by themselves', () => {
  const isApart = (...kinds: crashRecords.CrashKind[]) => {
    const world = worlds.createSchedulerWorld();
    world.addWorker('w1', 4);
    const workers = kinds.map((kind, nth) => [`old${nth}`, kind] as const);
    const crashes = {'0': Object.fromEntries(workers)};
    const occurrences = {'0': [{done: [], failures: {}, crashes}]};
    const progress = {...RECORDED, occurrences};
    world.submit('hit', [worlds.step()], {progress});
    const [run] = world.startAll();
    return run?.isolatedUntil !== undefined;
  };
  assert.equal(isApart('group', 'group', 'group'), false);
  assert.equal(isApart('single'), false);
  assert.equal(isApart('group', 'single'), true);
  assert.equal(isApart('single', 'single'), true);
});

// Guards against a trial that waits for ever in a cell whose workers always
// have newcomers.
test('a worker is emptied of newcomers for a task that waits for its trial', () => {
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
  const isTried = () =>
    running.some((run) => run.task?.stepRun.job.id === suspect);
  for (let nth = 0; nth < 60 && !isTried(); nth++) sendShort();
  assert.ok(isTried());
});

// Guards against tasks of which none can be told to be at fault, since they
// share a worker.
test('suspected tasks of several jobs start on workers of their own', () => {
  const world = worlds.createSchedulerWorld();
  for (const name of ['w1', 'w2', 'w3']) world.addWorker(name, 4);
  for (const name of ['a', 'b', 'c']) submitSuspect(world, name, [0], 1);
  assert.deepEqual(workersOf(world.startAll()), ['w1', 'w2', 'w3']);
});

// Guards against a gang that blames all its members, since they are together.
test('suspected members of a gang are spread over the workers', () => {
  const world = worlds.createSchedulerWorld();
  for (const name of ['w1', 'w2', 'w3']) world.addWorker(name, 8);
  const fields = {taskCount: 3, gang: true};
  submitSuspect(world, 'gang', [0, 1, 2], 1, fields);
  assert.deepEqual(workersOf(world.startAll()), ['w1', 'w2', 'w3']);
});

// Guards against a gang that shares workers with others that are suspected.
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

// Guards against a gang that is started in part, or not at all, for a member
// that has to be apart.
test('a gang starts whole with one member apart from other jobs', () => {
  const world = worlds.createSchedulerWorld();
  for (const name of ['w1', 'w2']) world.addWorker(name, 8);
  world.submit('busy', [worlds.step({taskCount: 2, maxPerWorker: 1})]);
  world.startAll();
  const fields = {taskCount: 6, gang: true};
  submitSuspect(world, 'gang', [2], 2, fields);
  assert.equal(world.startAll().length, 0);
  elapse(world, SETTLED_MS);
  assert.equal(world.startAll().length, 6);
});

// Guards against a successor under which a trial no longer counts.
test('a task that is found by itself on a worker is on trial', () => {
  const world = worlds.createSchedulerWorld();
  const worker = world.addWorker('w1', 4);
  submitSuspect(world, 'suspect', [0], 2);
  world.report(worker, [worlds.row('suspect.0.0.0', 7)]);
  world.submit('other', [worlds.step()]);
  assert.equal(world.startAll().length, 0);
  world.scheduler.removeWorker(worker, 'crashed', world.now);
  const reasons = world.events.flatMap((event) =>
    event.type === 'task_given_up' ? [event.reason] : [],
  );
  assert.deepEqual(reasons, ['crashed_in_isolation']);
});

// Guards against a sound task that is given up when others went down with its
// worker during its trial.
test('a crash beside others at the same moment does not settle a trial', () => {
  const world = worlds.createSchedulerWorld();
  const workers = ['w1', 'w2', 'w3', 'w4', 'w5'].map((name) =>
    world.addWorker(name, 4),
  );
  for (const worker of workers) world.report(worker, []);
  submitSuspect(world, 'suspect', [0], 2);
  const [run] = world.startAll();
  const neighbour = workers.find((worker) => worker !== run!.workerId)!;
  for (const lost of [run!.workerId, neighbour]) {
    world.scheduler.setUsable(lost, false, world.now);
  }
  world.scheduler.removeWorker(run!.workerId, 'crashed', world.now);
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
    const [run] = world.startAll();
    world.scheduler.setUsable(run!.workerId, false, world.now);
    world.scheduler.onWorkerUnreachable(run!.workerId);
    return world.startAll().length > 0;
  };
  assert.equal(startsAgain([]), true);
  assert.equal(startsAgain([0]), false);
});

// Guards against a task that outlives each of its trials and then crashes its
// worker beside others.
test('each trial after a crash takes longer', () => {
  const trialMs = (crashCount: number) => {
    const world = worlds.createSchedulerWorld();
    world.addWorker('w1', 4);
    submitSuspect(world, 'suspect', [0], crashCount);
    const startedAt = world.now;
    const [run] = world.startAll();
    return run!.isolatedUntil! - startedAt;
  };
  assert.deepEqual([2, 3, 4].map(trialMs), [3_000, 6_000, 12_000]);
});

// Guards against a sound task that is given up for one chance crash.
test('a crash late in a trial takes one more to settle it', () => {
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
