import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as plainStep from '../../__fixtures__/plain_step.js';
import * as checkpoints from '../checkpoints.js';
import * as gangs from '../gangs.js';
import * as histories from '../history.js';
import * as jobCatalogs from '../job_catalog.js';
import * as workers from '../worker.js';
import type * as workerOrders from '../worker_orders.js';

const {test} = nodeTest;
const LEASE_MS = 4_000;
const DURATIONS = {
  startupMs: 50,
  restoreMs: 250,
  checkpointMs: 500,
  stopMs: 900,
  gangTimeoutMs: 3_000,
};
const STEP = plainStep.createPlainStep({taskCount: 2});
const CAPACITY = {cpuMillis: 1_500, memoryMb: 1_000, accelerators: 0};
const OPTIONS = {
  capacity: CAPACITY,
  refusesExcess: true,
  clockRate: 0.98,
  failShare: 0,
  lastingFailsMs: undefined,
  capacityNoticeMs: 1_000,
  onCrash: () => undefined,
};

function createFixture(step: Partial<jobCatalogs.StepSpec> = {}) {
  const clock = types.virtualClock.createVirtualClock();
  const random = types.random.createRandom(1);
  const history = histories.createHistory(clock);
  const catalog = jobCatalogs.createJobCatalog();
  const steps = [{...STEP, ...step}];
  catalog.add({jobId: 'job', queue: 'q', payload: 'p', steps});
  const context: workers.WorkerContext = {
    clock,
    random,
    history,
    catalog,
    adviser: undefined,
    gangs: gangs.createGangs(),
    checkpoints: checkpoints.createCheckpoints(random),
    durations: DURATIONS,
    longestLeaseMs: LEASE_MS,
  };
  const addWorker = (
    id: string,
    options: Partial<workers.WorkerOptions> = {},
  ) => workers.createWorker(context, {...OPTIONS, id, ...options});
  const ends = () =>
    history
      .events()
      .flatMap((event) =>
        event.type === 'run_ended'
          ? [`${event.taskId} ${event.how} ${Math.round(event.at)}`]
          : [],
      );
  return {clock, history, addWorker, ends};
}

function startTask(
  worker: workers.Worker,
  index: number,
  changes: Partial<workerOrders.StartOrder> = {},
): workerOrders.OrderAnswer {
  return worker.start({
    taskId: `job.0.0.${index}`,
    attempt: 1,
    payload: 'p',
    leaseUntil: worker.clockMs() + LEASE_MS,
    fencingToken: 1,
    checkpoint: '',
    ticket: undefined,
    ...changes,
  });
}

const describeAnswer = (answer: workerOrders.OrderAnswer) =>
  answer.type === 'refused' ? answer.reason : answer.type;

test('a task runs to its end, which is listed until it is noted', async () => {
  const {clock, addWorker, ends} = createFixture();
  const worker = addWorker('w');
  assert.equal(startTask(worker, 0).type, 'accepted');
  await clock.runUntil(2_000);
  assert.deepEqual(ends(), ['job.0.0.0 done 1050']);
  const holdCall = {fencingToken: 1, leaseUntil: undefined, waitMs: 0};
  const first = await worker.hold({...holdCall, acknowledged: 0});
  assert.ok(first.type === 'report' && first.ends.length === 1);
  const second = await worker.hold({...holdCall, acknowledged: 1});
  assert.ok(second.type === 'report' && second.ends.length === 0);
});

test('orders are refused for the reasons of the protocol', async () => {
  const {clock, addWorker} = createFixture();
  const worker = addWorker('w');
  assert.equal(
    describeAnswer(startTask(worker, 0, {fencingToken: 2})),
    'accepted',
  );
  assert.equal(
    describeAnswer(startTask(worker, 1, {fencingToken: 1})),
    'fence',
  );
  assert.equal(describeAnswer(startTask(worker, 1, {fencingToken: 2})), 'room');
  const other = addWorker('other');
  assert.equal(
    describeAnswer(startTask(other, 1, {leaseUntil: undefined})),
    'late',
  );
  other.stop({taskId: 'job.0.0.1', attempt: 1, fencingToken: 1});
  assert.equal(describeAnswer(startTask(other, 1)), 'old');
  assert.equal(describeAnswer(startTask(other, 1, {attempt: 2})), 'accepted');
  await clock.runUntil(2_000);
  assert.equal(describeAnswer(startTask(worker, 0, {fencingToken: 2})), 'old');
});

test('a lease ends everything, later on a slow clock', async () => {
  const {clock, addWorker, ends} = createFixture({workMs: 60_000});
  startTask(addWorker('w'), 0);
  await clock.runUntil(10_000);
  assert.deepEqual(ends(), [`job.0.0.0 lapsed ${Math.round(4_000 / 0.98)}`]);
});

test('a stop takes its time, saves, and another run resumes', async () => {
  const {clock, addWorker, ends} = createFixture({
    workMs: 2_000,
    savesProgress: true,
  });
  const worker = addWorker('w');
  startTask(worker, 0);
  await clock.runUntil(1_000);
  worker.stop({taskId: 'job.0.0.0', attempt: 1, fencingToken: 1});
  await clock.runUntil(1_950);
  const answer = await worker.hold({
    fencingToken: 1,
    acknowledged: 0,
    leaseUntil: undefined,
    waitMs: 0,
  });
  assert.ok(answer.type === 'report');
  const checkpoint = answer.ends[0]?.checkpoint ?? '';
  assert.notEqual(checkpoint, '');
  startTask(worker, 0, {attempt: 2, checkpoint});
  await clock.runUntil(4_000);
  const [stopped, done] = ends();
  assert.equal(stopped, 'job.0.0.0 stopped 1900');
  assert.match(done ?? '', /^job\.0\.0\.0 done 2[34]\d\d$/);
});

test('a gang works once it is whole and ends together', async () => {
  const {clock, addWorker, ends} = createFixture({gang: true});
  const [left, right] = [addWorker('left'), addWorker('right')];
  startTask(left, 0);
  await clock.runUntil(1_000);
  startTask(right, 1);
  await clock.runUntil(3_000);
  assert.deepEqual(ends(), ['job.0.0.0 done 2050', 'job.0.0.1 done 2050']);
});

test('a member of a gang that stays alone ends so', async () => {
  const {clock, addWorker, ends} = createFixture({gang: true});
  startTask(addWorker('w'), 0);
  await clock.runUntil(3_500);
  assert.deepEqual(ends(), ['job.0.0.0 alone 3050']);
});

test('the end of one member breaks the gang', async () => {
  const {clock, addWorker, ends} = createFixture({gang: true, workMs: 9_000});
  const [left, right] = [addWorker('left'), addWorker('right')];
  startTask(left, 0);
  startTask(right, 1);
  await clock.runUntil(500);
  left.stop({taskId: 'job.0.0.0', attempt: 1, fencingToken: 1});
  await clock.runUntil(2_000);
  assert.deepEqual(ends().sort(), [
    'job.0.0.0 stopped 1400',
    'job.0.0.1 broken 1400',
  ]);
});

test('starts that nobody asked for are recorded', () => {
  const {history, addWorker} = createFixture();
  const worker = addWorker('w');
  assert.equal(startTask(worker, 7).type, 'invalid');
  startTask(worker, 0, {payload: 'another'});
  startTask(worker, 1, {checkpoint: 'of another'});
  const reasons = history
    .events()
    .flatMap((event) => (event.type === 'start_unasked' ? [event.reason] : []));
  assert.deepEqual(reasons, ['no caller sent the task', 'another payload']);
});

test('the task that is told to crashes its worker, and no other', async () => {
  const crash = {index: 1, afterMs: 300};
  const {clock, addWorker} = createFixture({crash});
  const crashed: string[] = [];
  const worker = addWorker('w', {
    refusesExcess: false,
    onCrash: (taskId) => crashed.push(`${taskId} ${clock.monotonic()}`),
  });
  startTask(worker, 0);
  startTask(worker, 1);
  await clock.runUntil(299);
  assert.deepEqual(crashed, []);
  await clock.runUntil(500);
  assert.deepEqual(crashed, ['job.0.0.1 300']);
});

test('a start beyond a capacity that has shrunk is recorded after the notice', async () => {
  const {clock, history, addWorker} = createFixture();
  const worker = addWorker('w', {refusesExcess: false});
  const countExcesses = () =>
    history.events().filter((event) => event.type === 'start_unasked').length;
  worker.setCapacity(types.resources.NO_RESOURCES);
  startTask(worker, 0);
  assert.equal(countExcesses(), 0);
  await clock.runUntil(1_000);
  startTask(worker, 1);
  assert.equal(countExcesses(), 1);
});
