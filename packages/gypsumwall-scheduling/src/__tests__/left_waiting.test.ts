import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import * as jobProgress from '../job_progress.js';

const {test} = nodeTest;
const WALL = 0 as types.clock.WallMs;
const LATE_START = {slackFactor: 50};
const cores = (count: number) => ({
  cpuMillis: count * 1_000,
  memoryMb: 100,
  accelerators: 0,
});

// Guards against a gang that is stopped for a member of an earlier attempt.
test('a late failure of an earlier attempt leaves the gang running', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 1);
  const w2 = world.addWorker('w2', 1);
  world.submit('job', [worlds.step({taskCount: 2, gang: true})]);
  const first = world.startAll();
  const lost = first.find((run) => run.workerId === w2)!;
  const stopped = first.find((run) => run.workerId === w1)!;
  world.scheduler.setUsable(w2, false, world.now);
  world.scheduler.onLeaseExpired(w2, world.now);
  world.end(stopped, 'stopped');
  world.scheduler.takeStops();
  world.addWorker('w3', 1);
  assert.equal(world.startAll().length, 2);
  // It failed while nobody could hear of it.
  world.end(lost, 'failed');
  assert.deepEqual(world.scheduler.takeStops(), []);
});

// Guards against a gang that is stopped by the end of a run that was found
// beside it and that nobody wanted.
test('the end of an unwanted run leaves the gang running', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 1);
  world.addWorker('w2', 1);
  const w3 = world.addWorker('w3', 1);
  world.scheduler.setUsable(w3, false, world.now);
  world.submit('job', [worlds.step({taskCount: 2, gang: true})]);
  const first = world.startAll();
  for (const run of first) world.end(run, 'broken');
  world.scheduler.takeStops();
  const second = world.startAll();
  assert.equal(second.length, 2);
  // An answer that was under way when the first attempt ended.
  const stale = first.find((run) => run.workerId === w1)!;
  const rows = second.filter((run) => run.workerId === w1);
  world.report(w1, [
    worlds.row(stale.taskId, stale.number),
    ...rows.map((run) => worlds.row(run.taskId, run.number)),
  ]);
  const [unwanted, ...others] = world.scheduler.takeStops();
  assert.equal(unwanted?.number, stale.number);
  assert.deepEqual(others, []);
  world.end(unwanted, 'stopped');
  assert.deepEqual(world.scheduler.takeStops(), []);
});

// Guards against part of a gang that runs on alone: its step was not open yet
// where the scheduler took it over, and one of its members ended.
test('a gang found before its step is open is stopped without a member', () => {
  const world = worlds.createSchedulerWorld();
  const [w1, w2, w3] = ['w1', 'w2', 'w3'].map((name) =>
    world.addWorker(name, 1),
  );
  const gang = worlds.step({taskCount: 2, gang: true, after: [0]});
  const progress = {...jobProgress.NO_PROGRESS, phase: 'running'} as const;
  world.submit('job', [worlds.step(), gang], {inherited: true, progress});
  world.report(w2!, [worlds.row('job.0.1.0', 1)]);
  world.report(w3!, [worlds.row('job.0.1.1', 1)]);
  world.report(w1!, []);
  world.scheduler.onLeaseExpired(w3!, world.now);
  const [member] = world.scheduler.takeStops();
  assert.equal(member?.taskId, 'job.0.1.0');
  // The end of the first step is lost, so its task runs again.
  const [first] = world.startAll();
  world.end(first!, 'done');
  assert.deepEqual(world.startAll(), [], 'one member has not ended');
  world.end(member, 'stopped');
  assert.equal(world.startAll().length, 2);
});

// Guards against part of a gang that runs on alone, where runs of two attempts
// were found.
test('a gang of an earlier attempt is stopped without a member', () => {
  const world = worlds.createSchedulerWorld();
  const [w1, w2, w3] = ['w1', 'w2', 'w3'].map((name) =>
    world.addWorker(name, 1),
  );
  const progress = {...jobProgress.NO_PROGRESS, phase: 'running'} as const;
  const gang = worlds.step({taskCount: 3, gang: true});
  world.submit('job', [gang], {inherited: true, progress});
  world.report(w1!, [worlds.row('job.0.0.0', 1)]);
  world.report(w2!, [worlds.row('job.0.0.1', 1)]);
  world.report(w3!, [worlds.row('job.0.0.2', 2)]);
  const [unwanted] = world.scheduler.takeStops();
  assert.equal(unwanted?.workerId, w3);
  world.scheduler.onLeaseExpired(w1!, world.now);
  const [member] = world.scheduler.takeStops();
  assert.equal(member?.workerId, w2);
  world.end(unwanted!, 'stopped');
  assert.deepEqual(world.startAll(), [], 'one member has not ended');
  world.end(member!, 'stopped');
  assert.equal(world.startAll().length, 3);
});

// Guards against small work that never starts behind wide gangs that wait.
test('a step gets its try while steps before it are tried in vain', () => {
  const world = worlds.createSchedulerWorld();
  const capacity = 64;
  const ending = 25;
  world.addWorker('w1', capacity);
  world.submit('long', [worlds.step({size: cores(capacity - ending)})]);
  world.submit('short', [worlds.step({taskCount: ending})]);
  const [long, ...short] = world.startAll();
  assert.equal(short.length, ending);
  world.end(long!, 'done');
  // One task of these fits at any time, two don't.
  const gang = worlds.step({taskCount: 2, size: cores(33), gang: true});
  for (let nth = 0; nth < 40; nth++) world.submit(`gang${nth}`, [gang]);
  do world.startAll();
  while (world.scheduler.decide(world.now, WALL).starts.length > 0);
  world.submit('small', [worlds.step()], {policy: LATE_START});
  const started: string[] = [];
  for (const run of short) {
    // Room is freed before each cycle.
    world.end(run, 'done');
    world.now = types.clock.after(world.now, 5);
    const {starts} = world.scheduler.decide(world.now, WALL);
    started.push(...starts.map((start) => start.attempt.taskId));
    world.scheduler.onStored(world.scheduler.takeDirty());
  }
  assert.deepEqual(started, ['small.0.0.0']);
});

// Guards against a gang that never starts again since one of its members runs
// on after its stop was accepted.
test('a run that is still there long after its stop is stopped again', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 1);
  world.addWorker('w2', 1);
  world.submit('job', [worlds.step({taskCount: 2, gang: true})]);
  const runs = world.startAll();
  const member = runs.find((run) => run.workerId === w1)!;
  world.end(
    runs.find((run) => run.workerId !== w1)!,
    'lapsed',
  );
  assert.deepEqual(world.scheduler.takeStops(), [member]);
  world.scheduler.onStopAnswered(member, world.now);
  const report = (spanMs: number) => {
    world.now = types.clock.after(world.now, spanMs);
    world.report(w1, [worlds.row(member.taskId, member.number)]);
  };
  // A worker takes a while to save progress.
  report(900);
  assert.deepEqual(world.scheduler.takeStops(), []);
  report(4_000);
  assert.deepEqual(world.scheduler.takeStops(), [member]);
  report(4_000);
  assert.deepEqual(world.scheduler.takeStops(), [], 'one at a time');
  world.scheduler.onStopAnswered(member, world.now);
  world.now = types.clock.after(world.now, 1);
  world.report(w1, []);
  assert.equal(world.startAll().length, 2);
});

// Guards against an advised step that asks about no other worker for as long
// as the room on those approved for it is reserved for a gang.
test('approvals of reserved workers do not keep a step from asking', () => {
  const world = worlds.createSchedulerWorld();
  const large = ['w0', 'w1', 'w2'].map((name) => world.addWorker(name, 16));
  world.submit('running', [worlds.step({taskCount: 3, maxPerWorker: 1})]);
  assert.equal(world.startAll().length, 3);
  for (let nth = 3; nth < 40; nth++) world.addWorker(`w${nth}`, 4);
  const gang = worlds.step({taskCount: 2, size: cores(16), gang: true});
  world.submit('gang', [gang], {policy: {priority: 0}});
  const advice = {callMs: 10, perWorkerMs: 1, validMs: 1_000};
  world.submit('advised', [worlds.step()], {policy: {advice}});
  // Neither of the large ones can be used.
  const approved = new Set([...large.slice(0, 2), 'w39']);
  const started: string[] = [];
  const until = types.clock.after(world.now, 3_000);
  while (world.now < until) {
    const {starts, advice: wishes} = world.scheduler.decide(world.now, WALL);
    started.push(...starts.map(({attempt: run}) => run.workerId));
    for (const wish of wishes) {
      const named = wish.workers.filter((id) => approved.has(id));
      world.scheduler.onAdviceAnswered(
        wish,
        new Map(named.map((id) => [id, 'ticket'])),
        types.clock.after(world.now, advice.validMs),
      );
    }
    world.scheduler.onStored(world.scheduler.takeDirty());
    world.now = types.clock.after(world.now, 20);
  }
  assert.deepEqual(started, ['w39']);
});

// Guards against an urgent step that isn't asked about since the room that it
// may take is reserved for a gang of lower rank.
test('room reserved for a less urgent gang counts for an advised step', () => {
  const world = worlds.createSchedulerWorld();
  for (let nth = 0; nth < 8; nth++) world.addWorker(`w${nth}`, 2);
  world.submit('running', [worlds.step({taskCount: 16})], {policy: LATE_START});
  const runs = world.startAll();
  world.submit('gang', [worlds.step({taskCount: 2, gang: true})]);
  world.startAll();
  world.end(runs[0]!, 'done');
  world.startAll();
  const advice = {callMs: 10, perWorkerMs: 1, validMs: 1_000};
  world.submit('urgent', [worlds.step()], {policy: {priority: 0, advice}});
  const capacity = {needed: 1, large: 1, spare: 0};
  const {advice: wishes} = world.scheduler.decide(world.now, WALL, capacity);
  assert.deepEqual(
    wishes.map((wish) => [wish.stepRun.id, wish.needed]),
    [['urgent.0.0', true]],
  );
});
