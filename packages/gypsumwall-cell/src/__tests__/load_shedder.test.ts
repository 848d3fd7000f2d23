import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as holderCapacity from '../holder_capacity.js';
import type * as jobTable from '../job_table.js';
import * as loadShedders from '../load_shedder.js';

const {test} = nodeTest;

function createCell(cores = 0.14, capacity?: holderCapacity.HolderCapacity) {
  let now = 0;
  const shedder = loadShedders.createLoadShedder({
    holderCores: () => cores,
    capacity: () => capacity,
    entries: () => 15,
    random: types.random.createRandom(1),
    clock: {
      ...types.clock.createSystemClock(),
      monotonic: () => now as types.clock.MonotonicMs,
      wall: () => now as types.clock.WallMs,
    },
  });
  const queued: jobTable.JobEntry[] = [];

  function submitRequest(
    request: scheduling.jobRequest.JobRequest,
    policy: scheduling.jobRequest.QueuePolicy,
  ): void {
    const {queue} = policy;
    const acceptedAt = now as types.clock.WallMs;
    const job: jobTable.JobEntry = {
      id: types.ids.brand(`job${queued.length}`),
      queue,
      organisation: undefined,
      record: {request, policy, acceptedAt},
      progress: {phase: 'queued', workers: [], occurrences: {}, finished: []},
    };
    queued.push(job);
    shedder.onUpdated(job, true);
  }

  return {
    submit(count: number, tasks = 1, policy = worlds.POLICY) {
      for (let nth = 0; nth < count; nth++)
        submitRequest(worlds.request(tasks), policy);
    },
    submitRequest,
    pass: (spanMs: number) => void (now += spanMs),
    begin(count: number) {
      for (const job of queued.splice(0, count)) {
        job.progress = {...job.progress, phase: 'running'};
        shedder.onUpdated(job, true);
      }
    },
    offer: (request = worlds.request(1), policy = worlds.POLICY) =>
      shedder.check('offered', policy, request),
    check: (request = worlds.request(1), policy = worlds.POLICY) =>
      shedder.check('append', policy, request),
  };
}

test('jobs are admitted as long as few wait', () => {
  const cell = createCell();
  cell.submit(10, 400);
  assert.equal(cell.check().type, 'admitted');
});

// Guards against accepted jobs that never begin.
test('no job is admitted while the holder would need too long to start those that wait', () => {
  const cell = createCell();
  // The holder starts 100 tasks a second.
  cell.submit(1_990);
  assert.equal(cell.check().type, 'admitted');
  cell.submit(400);
  const verdict = cell.check();
  assert.ok(verdict.type === 'refused');
  assert.ok(verdict.retryAfterMs >= 3_000 && verdict.retryAfterMs <= 5_000);
  cell.begin(500);
  assert.equal(cell.check().type, 'admitted');
});

// Guards against a backlog of wide jobs that counts as little as that of small
// ones.
test('the tasks of jobs that wait count', () => {
  const cell = createCell();
  cell.submit(49, 40);
  assert.equal(cell.check().type, 'admitted');
  cell.submit(2, 40);
  assert.equal(cell.check().type, 'refused');
});

// Guards against refusals after an outage of the store, when much waits that a
// large holder starts soon, and against more cores than a process uses.
test('a larger holder admits more', () => {
  for (const [cores, admitted] of [
    [0.7, 9_900],
    [8, 14_000],
  ] as const) {
    const cell = createCell(cores);
    cell.submit(admitted);
    assert.equal(cell.check().type, 'admitted', `${cores} cores`);
    cell.submit(400);
    assert.equal(cell.check().type, 'refused', `${cores} cores`);
  }
});

// Guards against long-running work that is refused although it is of use
// whenever it begins.
test('a job that runs until it is cancelled is admitted', () => {
  const cell = createCell();
  cell.submit(3_000);
  assert.equal(cell.check().type, 'refused');
  const request = worlds.request(1);
  const steps = request.steps.map((step) => ({...step, longRunning: true}));
  assert.equal(cell.check({...request, steps}).type, 'admitted');
});

// Guards against a backlog of a minute at a holder whose starts take longer
// than assumed, and against refusals at one that starts more.
test('a holder that has measured its rate is judged by it', () => {
  const slow = createCell(0.14, {startsPerSecond: 35, runs: 0});
  slow.submit(170);
  assert.equal(slow.check().type, 'admitted');
  slow.submit(400);
  const verdict = slow.check();
  assert.ok(verdict.type === 'refused');
  assert.ok(verdict.retryAfterMs >= 6_000 && verdict.retryAfterMs <= 7_000);

  const quick = createCell(0.14, {startsPerSecond: 500, runs: 0});
  quick.submit(2_400);
  assert.equal(quick.check().type, 'admitted');
});

// Guards against a backlog in jobs that have begun, which nobody counts.
test('tasks that wait count although their jobs have begun', () => {
  const cell = createCell(0.14, {startsPerSecond: 50, runs: 100});
  cell.submit(10, 60);
  cell.begin(10);
  cell.submit(20);
  assert.equal(cell.check().type, 'refused');
});

// Guards against a rate that an older build, which stores none, never replaces.
test('a rate that is not stored again is not used', () => {
  const cell = createCell(0.14, {startsPerSecond: 35, runs: 0});
  cell.submit(570);
  assert.equal(cell.check().type, 'refused');
  cell.pass(20_000);
  assert.equal(cell.check().type, 'admitted');
});

/** Jobs of 1 s that have to begin within 0.3 s, or 2.9 s to be of any use. */
const URGENT = {...worlds.POLICY, slackFactor: 1, targetMs: 300};
/** The same with 11 s. */
const PATIENT = {...worlds.POLICY, priority: 1, targetMs: 10_000};

// Guards against urgent jobs that are accepted and begin when their callers
// have left, and against refusals of work that is worth waiting for.
test('a job that would begin when it is of no more use is refused', () => {
  const cell = createCell(0.14, {startsPerSecond: 50, runs: 0});
  cell.submit(20, 10, PATIENT);
  assert.equal(cell.check(worlds.request(1), URGENT).type, 'admitted');
  cell.submit(20, 1, URGENT);
  cell.pass(100);
  assert.equal(cell.check(worlds.request(1), URGENT).type, 'refused');
  assert.equal(cell.check(worlds.request(1), PATIENT).type, 'admitted');
});

// Guards against refusals because of steps that wait for others, not for the
// holder.
test('tasks of steps that can not start yet rank before no job', () => {
  const cell = createCell(0.14, {startsPerSecond: 50, runs: 20});
  const [step] = worlds.request(1).steps;
  const later = {...step!, taskCount: 20, after: [0]};
  const request = {...worlds.request(1), steps: [step!, later]};
  for (let nth = 0; nth < 20; nth++) cell.submitRequest(request, URGENT);
  cell.begin(20);
  assert.equal(cell.check(worlds.request(1), URGENT).type, 'admitted');
});

// Guards against old jobs that keep new ones out, which rank before them.
test('jobs that are of no more use do not make new ones late', () => {
  const cell = createCell(0.14, {startsPerSecond: 50, runs: 0});
  cell.submit(400, 1, URGENT);
  assert.equal(cell.check(worlds.request(1), URGENT).type, 'refused');
  cell.pass(3_000);
  assert.equal(cell.check(worlds.request(1), URGENT).type, 'admitted');
  cell.submit(200, 1, PATIENT);
  assert.equal(cell.check(worlds.request(1), PATIENT).type, 'refused');
});

// Guards against urgent jobs that are refused for work which ranks behind them.
test('a backlog of less urgent work refuses no urgent job', () => {
  const cell = createCell(0.14, {startsPerSecond: 40, runs: 0});
  cell.submit(500, 1, PATIENT);
  assert.equal(cell.check(worlds.request(1), PATIENT).type, 'refused');
  assert.equal(cell.check(worlds.request(1), URGENT).type, 'admitted');
});

// Guards against far more work than the holder can start, which waits for
// earlier steps of its jobs.
test('later steps of accepted jobs are bounded', () => {
  const cell = createCell(0.14, {startsPerSecond: 40, runs: 0});
  const [step] = worlds.request(1).steps;
  const wide = {...step!, taskCount: 50, after: [0]};
  const request = {...worlds.request(1), steps: [step!, wide]};
  let jobs = 0;
  while (jobs < 100 && cell.check(request, PATIENT).type === 'admitted') {
    cell.submitRequest(request, PATIENT);
    jobs++;
  }
  assert.ok(jobs * 51 <= 40 * 20 + 51, `${jobs} jobs`);
});

// Guards against refusals at a holder that keeps up, because steps of running
// chains wait for each other.
test('steps that wait for earlier steps are no backlog', () => {
  const cell = createCell(0.14, {startsPerSecond: 8, runs: 40});
  const [step] = worlds.request(1).steps;
  const steps = [0, 1, 2, 3].map((nth) => ({
    ...step!,
    after: nth === 0 ? [] : [nth - 1],
  }));
  const request = {...worlds.request(1), steps};
  for (let nth = 0; nth < 40; nth++) cell.submitRequest(request, PATIENT);
  cell.begin(40);
  assert.equal(cell.check(worlds.request(1), PATIENT).type, 'admitted');
});

// Guards against a burst of jobs whenever there is room for one, because each
// entry admits them before it knows what the others have admitted.
test('the entries together admit what there is room for', () => {
  const cell = createCell(0.14, {startsPerSecond: 50, runs: 0});
  cell.submit(470, 1, PATIENT);
  let admitted = 0;
  for (let round = 0; round < 200; round++) {
    cell.pass(35);
    if (cell.offer(worlds.request(1), PATIENT).type === 'admitted') admitted++;
  }
  // One of 15 entries, ten times as long as they need to read a job, while 30
  // tasks may be added.
  assert.ok(admitted >= 10 && admitted <= 50, `${admitted} admitted`);
});
