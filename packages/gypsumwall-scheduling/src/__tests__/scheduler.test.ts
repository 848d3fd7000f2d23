import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import type * as jobProgress from '../job_progress.js';

const {test} = nodeTest;
const RUNNING: jobProgress.JobProgress = {
  phase: 'running',
  workers: [],
  occurrences: {},
  finished: [],
};

test('tasks never take more than a worker has', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 3);
  world.submit('job', [worlds.step({taskCount: 10})]);
  const runs = world.startAll();
  assert.equal(runs.length, 3);
  world.end(runs[0]!, 'done');
  assert.equal(world.startAll().length, 1);
});

test('nothing starts on a worker before the store knows of it', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 3);
  world.submit('job', [worlds.step()]);
  const wall = 0 as types.clock.WallMs;
  assert.deepEqual(world.scheduler.decide(world.now, wall).starts, []);
  const dirty = world.scheduler.takeDirty();
  assert.deepEqual(dirty[0]?.progress.workers, ['w1']);
  assert.deepEqual(world.scheduler.decide(world.now, wall).starts, []);
  world.scheduler.onStored(dirty);
  assert.equal(world.scheduler.decide(world.now, wall).starts.length, 1);
});

// Callers are told that two jobs wait while seven do. The workers of a job are
// recorded before its tasks start, and the room on them is gone by the time
// the record stands; the job then counts as begun for as long as it waits.
test('a job counts as waiting until a worker has taken a task', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 1);
  world.submit('job', [worlds.step()]);
  world.scheduler.decide(world.now, 0 as types.clock.WallMs);
  const [recorded] = world.scheduler.takeDirty();
  assert.deepEqual(recorded?.progress.workers, ['w1']);
  assert.equal(recorded.progress.phase, 'queued');
  world.scheduler.onStored([recorded]);
  const [lost] = world.decide();
  const unknown = {type: 'unknown'} as const;
  world.scheduler.onStartAnswered(lost!.attempt, unknown, world.now);
  assert.deepEqual(world.scheduler.takeDirty(), []);
  world.scheduler.onStopAnswered(lost!.attempt, world.now);
  world.now = types.clock.after(world.now, 1);
  world.report(w1, []);
  const [order] = world.decide();
  world.scheduler.onStartAnswered(order!.attempt, {type: 'started'}, world.now);
  const [begun] = world.scheduler.takeDirty();
  assert.equal(begun?.progress.phase, 'running');
});

test('a step starts when all tasks of the steps before it are done', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 8);
  const job = world.submit('job', [
    worlds.step({taskCount: 2}),
    worlds.step({after: [0]}),
  ]);
  const runs = world.startAll();
  world.end(runs[0]!, 'done');
  assert.equal(world.startAll().length, 0);
  world.end(runs[1]!, 'done');
  const [last] = world.startAll();
  assert.equal(last?.taskId, 'job.0.1.0');
  world.end(last, 'done');
  assert.equal(world.scheduler.hasJob(job), false);
  const over = world.events.find((event) => event.type === 'job_over');
  assert.deepEqual(over, {
    type: 'job_over',
    job,
    phase: 'completed',
    queue: 'plans',
    // Two steps of 1 s, times the slack of 2, and the target of 1 s.
    objectiveMs: 5_000,
  });
});

// The caller's job runs one task twice at the same time. The start isn't
// answered, the task is started elsewhere, and the first order comes up late.
// Only an answered stop, and a report asked for after it, free the task.
test('an unanswered start keeps its task and room until it is settled', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 1);
  world.submit('job', [worlds.step()]);
  const [order] = world.decide();
  world.scheduler.onStartAnswered(order!.attempt, {type: 'unknown'}, world.now);
  world.addWorker('w2', 1);
  assert.deepEqual(world.scheduler.takeStops(), [order!.attempt]);
  world.report(w1, []);
  assert.equal(world.decide().length, 0, 'a report alone proves nothing');
  world.scheduler.onStopAnswered(order!.attempt, world.now);
  world.now = types.clock.after(world.now, 1);
  world.report(w1, []);
  const [again] = world.decide();
  assert.equal(again?.attempt.number, 2);
});

test('a task that was done in spite of its stop is done', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 1);
  const job = world.submit('job', [worlds.step()]);
  const [order] = world.decide();
  world.scheduler.onStartAnswered(order!.attempt, {type: 'unknown'}, world.now);
  world.scheduler.onStopAnswered(order!.attempt, world.now);
  world.end(order!.attempt, 'done');
  assert.equal(world.scheduler.hasJob(job), false);
});

// The caller reads `failed` for a job that could be done. A worker repeats an
// end until it is acknowledged; a new holder hears it again and counts it
// twice. Attempts are named, so a repeat counts once.
test('a failure that is repeated counts once', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 1);
  const job = world.submit('job', [worlds.step()], {policy: {maxFailures: 2}});
  const [run] = world.startAll();
  world.end(run!, 'failed');
  const [second] = world.startAll();
  world.scheduler.applyReport(
    {
      workerId: w1,
      askedAt: world.now,
      running: [worlds.row(second!.taskId, second!.number)],
      ends: [
        {
          sequence: 1,
          taskId: run!.taskId,
          attempt: run!.number,
          how: 'failed',
          checkpoint: '',
        },
      ],
      complete: false,
    },
    world.now,
  );
  assert.equal(world.scheduler.hasJob(job), true);
  world.end(second!, 'failed');
  assert.equal(world.scheduler.hasJob(job), false);
});

test('a gang starts as a whole, under one attempt, or not at all', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 2);
  world.submit('job', [worlds.step({taskCount: 3, gang: true})]);
  assert.equal(world.startAll().length, 0);
  world.addWorker('w2', 1);
  const runs = world.startAll();
  assert.deepEqual(
    runs.map((run) => run.number),
    [1, 1, 1],
  );
});

test('a gang that loses a member is stopped and starts anew as a whole', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 4);
  world.submit('job', [worlds.step({taskCount: 3, gang: true})]);
  const runs = world.startAll();
  world.end(runs[0]!, 'lapsed');
  assert.equal(world.scheduler.takeStops().length, 2);
  assert.equal(world.startAll().length, 0);
  world.end(runs[1]!, 'stopped');
  world.end(runs[2]!, 'stopped');
  assert.deepEqual(
    world.startAll().map((run) => run.number),
    [2, 2, 2],
  );
});

// A task of the second step runs twice after a takeover. The new holder finds
// it running while it hasn't heard yet that the first step's last task is
// done. It must keep the run, and not start the task again once it hears.
test('a run of a step that is not open yet is kept', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 4);
  const w2 = world.addWorker('w2', 4);
  const steps = [worlds.step(), worlds.step({taskCount: 2, after: [0]})];
  const progress = {...RUNNING, workers: [w1, w2]};
  world.submit('job', steps, {inherited: true, progress});
  world.report(w2, [worlds.row('job.0.1.0', 1), worlds.row('job.0.1.1', 1)]);
  assert.deepEqual(world.scheduler.takeStops(), []);
  world.scheduler.applyReport(
    {
      workerId: w1,
      askedAt: world.now,
      running: [],
      ends: [
        {
          sequence: 1,
          taskId: types.ids.brand('job.0.0.0'),
          attempt: 1,
          how: 'done',
          checkpoint: '',
        },
      ],
      complete: true,
    },
    world.now,
  );
  // Without this the job is held back, and nothing could start in any case.
  world.scheduler.onWorkerReconciled();
  assert.deepEqual(world.startAll(), []);
});

test('a run that nobody wants is stopped and keeps its room until its end', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 1);
  world.report(w1, [worlds.row('unknown.0.0.0', 1)]);
  const [stray] = world.scheduler.takeStops();
  assert.equal(stray?.taskId, 'unknown.0.0.0');
  world.submit('job', [worlds.step()]);
  assert.equal(world.startAll().length, 0);
  world.end(stray, 'stopped');
  assert.equal(world.startAll().length, 1);
});

// A job that could be done is told as failed. One worker fails all it starts,
// and each further try of the task goes there because it is recorded already.
test('a task that failed is tried on another worker that has room', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 1);
  world.submit('job', [worlds.step()]);
  const [first] = world.startAll();
  world.addWorker('w2', 8);
  world.end(first!, 'failed');
  const [second] = world.startAll();
  assert.equal(second?.workerId, 'w2');
});

test('a cancelled job is stopped at once and starts nothing more', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 1);
  const job = world.submit('job', [worlds.step({taskCount: 2})]);
  const [run] = world.startAll();
  world.scheduler.cancelJob(job);
  assert.deepEqual(world.scheduler.takeStops(), [run]);
  world.end(run!, 'stopped');
  assert.equal(world.startAll().length, 0);
});

// A gang waits for ever. Its adviser was asked right after a takeover, when
// few workers had answered, and later calls named only those it had approved.
test('workers that come later are named to the adviser too', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 1);
  const advice = {callMs: 10, perWorkerMs: 1, validMs: 1_000};
  const gang = worlds.step({taskCount: 2, gang: true});
  world.submit('job', [gang], {policy: {advice}});
  const wall = 0 as types.clock.WallMs;
  const [wish] = world.scheduler.decide(world.now, wall).advice;
  assert.deepEqual(wish?.workers, [w1]);
  const w2 = world.addWorker('w2', 1);
  const w3 = world.addWorker('w3', 1);
  const until = types.clock.after(world.now, advice.validMs);
  world.scheduler.onAdviceAnswered(wish, new Map(), until);
  world.now = types.clock.after(until, 1);
  const [next] = world.scheduler.decide(world.now, wall).advice;
  assert.deepEqual(next?.workers, [w2, w3]);
});

test('a start goes only to approved workers, with their tickets', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 1);
  const w2 = world.addWorker('w2', 1);
  const advice = {callMs: 10, perWorkerMs: 1, validMs: 1_000};
  world.submit('job', [worlds.step({taskCount: 2})], {policy: {advice}});
  const wall = 0 as types.clock.WallMs;
  const [wish] = world.scheduler.decide(world.now, wall).advice;
  const until = types.clock.after(world.now, advice.validMs);
  world.scheduler.onAdviceAnswered(wish!, new Map([[w2, 'ticket']]), until);
  const orders = world.decide();
  assert.deepEqual(
    orders.map((order) => [order.attempt.workerId, order.ticket]),
    [['w2', 'ticket']],
  );
});

// Every third job of tasks that work together was stopped just before its end and
// began anew, on days without any trouble. Its members on fast workers had done
// their part and waited at 100 for those on slow ones, 25% against 80% of the
// usual speed; two seconds of that looked like a worker that hangs.
test('members that wait for the slowest of their gang do not stand still', () => {
  const world = worlds.createSchedulerWorld();
  const fast = world.addWorker('fast', 1);
  const slow = world.addWorker('slow', 1);
  world.submit('gang', [worlds.step({gang: true, taskCount: 2})]);
  const runs = world.startAll();
  const report = (worker: types.ids.WorkerId, percent: number) => {
    const rows = runs.filter((run) => run.workerId === worker);
    world.report(
      worker,
      rows.map((run) => worlds.row(run.taskId, run.number, percent)),
    );
  };
  report(fast, 100);
  for (let percent = 60; percent <= 95; percent += 5) {
    world.now = types.clock.after(world.now, 500);
    report(fast, 100);
    report(slow, percent);
  }
  assert.deepEqual(world.scheduler.takeStops(), []);
});

// The rest of the gang waits for a member whose worker hangs all it runs: it has
// to be found by that member.
test('a gang whose slowest member stands still is stopped as a whole', () => {
  const world = worlds.createSchedulerWorld();
  const fast = world.addWorker('fast', 1);
  const hanging = world.addWorker('hanging', 1);
  world.submit('gang', [worlds.step({gang: true, taskCount: 2})]);
  const runs = world.startAll();
  for (let seconds = 0; seconds < 4; seconds++) {
    for (const [worker, percent] of [
      [fast, 100],
      [hanging, 40],
    ] as const) {
      const rows = runs.filter((run) => run.workerId === worker);
      world.report(
        worker,
        rows.map((run) => worlds.row(run.taskId, run.number, percent)),
      );
    }
    world.now = types.clock.after(world.now, 1_000);
  }
  const stopped = world.scheduler.takeStops();
  for (const run of stopped) world.end(run, 'stopped');
  stopped.push(...world.scheduler.takeStops());
  const workers = stopped.map((run) => run.workerId);
  assert.deepEqual(new Set(workers), new Set([fast, hanging]));
});

// Tasks on one worker stand still for seconds while it answers every call.
// Its tasks are stopped, go elsewhere, and the worker is left alone.
test('a worker on which nothing moves loses its tasks', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 2);
  world.submit('job', [worlds.step({taskCount: 2})]);
  const runs = world.startAll();
  const rows = runs.map((run) => worlds.row(run.taskId, run.number, 0));
  world.now = types.clock.after(world.now, 1_900);
  world.report(w1, rows);
  assert.deepEqual(world.scheduler.takeStops(), []);
  world.now = types.clock.after(world.now, 200);
  world.report(w1, rows);
  assert.equal(world.scheduler.takeStops().length, 2);
  for (const run of runs) world.end(run, 'stopped');
  assert.equal(world.startAll().length, 0);
  world.addWorker('w2', 2);
  assert.equal(world.startAll().length, 2);
});
