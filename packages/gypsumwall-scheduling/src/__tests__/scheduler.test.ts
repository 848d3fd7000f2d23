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
  const attempts = world.startAll();
  assert.equal(attempts.length, 3);
  world.end(attempts[0]!, 'done');
  assert.equal(world.startAll().length, 1);
});

test('no task starts on a worker before the store has recorded it', () => {
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

// Guards against jobs that callers see as running while they wait: two jobs
// were reported as queued while seven waited. The workers of a job are recorded
// before its tasks start, and the capacity on them may be used by other jobs
// before the record is committed.
test('a job stays queued until a worker has accepted a task', () => {
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
  const attempts = world.startAll();
  world.end(attempts[0]!, 'done');
  assert.equal(world.startAll().length, 0);
  world.end(attempts[1]!, 'done');
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

// Guards against a task that runs twice at the same time: its start is not
// answered, it is started elsewhere, and the first order arrives late. Only an
// answered stop and a report requested after it release the task.
test('an unanswered start keeps its task and capacity until its outcome is known', () => {
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

test('a task that is done in spite of its stop counts as done', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 1);
  const job = world.submit('job', [worlds.step()]);
  const [order] = world.decide();
  world.scheduler.onStartAnswered(order!.attempt, {type: 'unknown'}, world.now);
  world.scheduler.onStopAnswered(order!.attempt, world.now);
  world.end(order!.attempt, 'done');
  assert.equal(world.scheduler.hasJob(job), false);
});

// Guards against a job that fails although it could succeed. A worker repeats
// an end until it is acknowledged, so a new holder receives it again. Failed
// attempts are recorded by number, so a repeat counts once.
test('a repeated failure counts once', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 1);
  const job = world.submit('job', [worlds.step()], {policy: {maxFailures: 2}});
  const [attempt] = world.startAll();
  world.end(attempt!, 'failed');
  const [second] = world.startAll();
  world.scheduler.applyReport(
    {
      workerId: w1,
      askedAt: world.now,
      running: [worlds.runningAttempt(second!.taskId, second!.number)],
      ends: [
        {
          sequence: 1,
          taskId: attempt!.taskId,
          attempt: attempt!.number,
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
  const attempts = world.startAll();
  assert.deepEqual(
    attempts.map((attempt) => attempt.number),
    [1, 1, 1],
  );
});

test('a gang that loses a member is stopped and restarted as a whole', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 4);
  world.submit('job', [worlds.step({taskCount: 3, gang: true})]);
  const attempts = world.startAll();
  world.end(attempts[0]!, 'lapsed');
  assert.equal(world.scheduler.takeStops().length, 2);
  assert.equal(world.startAll().length, 0);
  world.end(attempts[1]!, 'stopped');
  world.end(attempts[2]!, 'stopped');
  assert.deepEqual(
    world.startAll().map((attempt) => attempt.number),
    [2, 2, 2],
  );
});

// Guards against a task of a second step that runs twice after a takeover. The
// new holder finds it running before it has received the end of the first
// step's last task. It must keep the attempt, and not start the task again
// later.
test('an attempt of a step that is not open yet is kept', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 4);
  const w2 = world.addWorker('w2', 4);
  const steps = [worlds.step(), worlds.step({taskCount: 2, after: [0]})];
  const progress = {...RUNNING, workers: [w1, w2]};
  world.submit('job', steps, {inherited: true, progress});
  world.report(w2, [
    worlds.runningAttempt('job.0.1.0', 1),
    worlds.runningAttempt('job.0.1.1', 1),
  ]);
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
  // Without this call the job waits for reconciliation and nothing could start
  // anyway.
  world.scheduler.onWorkerReconciled();
  assert.deepEqual(world.startAll(), []);
});

test('an unknown attempt is stopped and keeps its capacity until its end', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 1);
  world.report(w1, [worlds.runningAttempt('unknown.0.0.0', 1)]);
  const [stray] = world.scheduler.takeStops();
  assert.equal(stray?.taskId, 'unknown.0.0.0');
  world.submit('job', [worlds.step()]);
  assert.equal(world.startAll().length, 0);
  world.end(stray, 'stopped');
  assert.equal(world.startAll().length, 1);
});

// Guards against a job that fails although it could succeed: one worker fails
// all its tasks, and each retry goes to it because it is recorded already.
test('a failed task is retried on another worker with free capacity', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 1);
  world.submit('job', [worlds.step()]);
  const [first] = world.startAll();
  world.addWorker('w2', 8);
  world.end(first!, 'failed');
  const [second] = world.startAll();
  assert.equal(second?.workerId, 'w2');
});

test('a cancelled job is stopped at once and starts no more tasks', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 1);
  const job = world.submit('job', [worlds.step({taskCount: 2})]);
  const [attempt] = world.startAll();
  world.scheduler.cancelJob(job);
  assert.deepEqual(world.scheduler.takeStops(), [attempt]);
  world.end(attempt!, 'stopped');
  assert.equal(world.startAll().length, 0);
});

// Guards against a gang that waits forever: the adviser was asked right after a
// takeover, when few workers had answered, and later calls named only workers
// that it had approved.
test('workers that are added later are named to the adviser too', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 1);
  const advice = {callMs: 10, perWorkerMs: 1, validMs: 1_000};
  const gang = worlds.step({taskCount: 2, gang: true});
  world.submit('job', [gang], {policy: {advice}});
  const wall = 0 as types.clock.WallMs;
  const [request] = world.scheduler.decide(world.now, wall).advice;
  assert.deepEqual(request?.workers, [w1]);
  const w2 = world.addWorker('w2', 1);
  const w3 = world.addWorker('w3', 1);
  const until = types.clock.after(world.now, advice.validMs);
  world.scheduler.onAdviceAnswered(request, new Map(), until);
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
  const [request] = world.scheduler.decide(world.now, wall).advice;
  const until = types.clock.after(world.now, advice.validMs);
  world.scheduler.onAdviceAnswered(request!, new Map([[w2, 'ticket']]), until);
  const orders = world.decide();
  assert.deepEqual(
    orders.map((order) => [order.attempt.workerId, order.ticket]),
    [['w2', 'ticket']],
  );
});

// Guards against gangs that are stopped and restarted just before their end, as
// every third gang was on days without faults. The members on fast workers had
// finished and waited at 100 for those on slow ones (80% compared with 25% of
// the usual speed); after two seconds they looked stalled.
test('members that wait for the slowest one of their gang are not stalled', () => {
  const world = worlds.createSchedulerWorld();
  const fast = world.addWorker('fast', 1);
  const slow = world.addWorker('slow', 1);
  world.submit('gang', [worlds.step({gang: true, taskCount: 2})]);
  const attempts = world.startAll();
  const report = (worker: types.ids.WorkerId, percent: number) => {
    const rows = attempts.filter((attempt) => attempt.workerId === worker);
    world.report(
      worker,
      rows.map((attempt) =>
        worlds.runningAttempt(attempt.taskId, attempt.number, percent),
      ),
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

// The other members wait for one whose worker stalls all its tasks: the stall
// has to be detected by that member.
test('a gang whose slowest member stalls is stopped as a whole', () => {
  const world = worlds.createSchedulerWorld();
  const fast = world.addWorker('fast', 1);
  const hanging = world.addWorker('hanging', 1);
  world.submit('gang', [worlds.step({gang: true, taskCount: 2})]);
  const attempts = world.startAll();
  for (let seconds = 0; seconds < 4; seconds++) {
    for (const [worker, percent] of [
      [fast, 100],
      [hanging, 40],
    ] as const) {
      const rows = attempts.filter((attempt) => attempt.workerId === worker);
      world.report(
        worker,
        rows.map((attempt) =>
          worlds.runningAttempt(attempt.taskId, attempt.number, percent),
        ),
      );
    }
    world.now = types.clock.after(world.now, 1_000);
  }
  const stopped = world.scheduler.takeStops();
  for (const attempt of stopped) world.end(attempt, 'stopped');
  stopped.push(...world.scheduler.takeStops());
  const workers = stopped.map((attempt) => attempt.workerId);
  assert.deepEqual(new Set(workers), new Set([fast, hanging]));
});

// Tasks on one worker make no progress for seconds although it answers every
// call. They are stopped and started elsewhere, and the worker is avoided.
test('the tasks of a worker without any progress are moved', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 2);
  world.submit('job', [worlds.step({taskCount: 2})]);
  const attempts = world.startAll();
  const rows = attempts.map((attempt) =>
    worlds.runningAttempt(attempt.taskId, attempt.number, 0),
  );
  world.now = types.clock.after(world.now, 1_900);
  world.report(w1, rows);
  assert.deepEqual(world.scheduler.takeStops(), []);
  world.now = types.clock.after(world.now, 200);
  world.report(w1, rows);
  assert.equal(world.scheduler.takeStops().length, 2);
  for (const attempt of attempts) world.end(attempt, 'stopped');
  assert.equal(world.startAll().length, 0);
  world.addWorker('w2', 2);
  assert.equal(world.startAll().length, 2);
});
