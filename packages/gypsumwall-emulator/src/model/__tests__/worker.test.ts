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
  bornMs: 0,
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
  const listEnds = () =>
    history
      .events()
      .flatMap((event) =>
        event.type === 'run_ended'
          ? [`${event.taskId} ${event.how} ${Math.round(event.at)}`]
          : [],
      );
  return {clock, history, addWorker, listEnds};
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

test('the end of a task is reported until it is acknowledged', async () => {
  const {clock, addWorker, listEnds} = createFixture();
  const worker = addWorker('w');
  assert.equal(startTask(worker, 0).type, 'accepted');
  await clock.runUntil(2_000);
  assert.deepEqual(listEnds(), ['job.0.0.0 done 1050']);
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

test('an expired lease ends all attempts, later on a slow clock', async () => {
  const {clock, addWorker, listEnds} = createFixture({workMs: 60_000});
  startTask(addWorker('w'), 0);
  await clock.runUntil(10_000);
  assert.deepEqual(listEnds(), [
    `job.0.0.0 lapsed ${Math.round(4_000 / 0.98)}`,
  ]);
});

test('a stopped attempt saves its progress and the next one resumes from it', async () => {
  const {clock, addWorker, listEnds} = createFixture({
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
  const [stopped, done] = listEnds();
  assert.equal(stopped, 'job.0.0.0 stopped 1900');
  assert.match(done ?? '', /^job\.0\.0\.0 done 2[34]\d\d$/);
});

test('a gang works once all members have started, and ends together', async () => {
  const {clock, addWorker, listEnds} = createFixture({gang: true});
  const [left, right] = [addWorker('left'), addWorker('right')];
  startTask(left, 0);
  await clock.runUntil(1_000);
  startTask(right, 1);
  await clock.runUntil(3_000);
  assert.deepEqual(listEnds(), ['job.0.0.0 done 2050', 'job.0.0.1 done 2050']);
});

test('a member whose gang stays incomplete ends as alone', async () => {
  const {clock, addWorker, listEnds} = createFixture({gang: true});
  startTask(addWorker('w'), 0);
  await clock.runUntil(3_500);
  assert.deepEqual(listEnds(), ['job.0.0.0 alone 3050']);
});

test('the end of one member ends the others as broken', async () => {
  const {clock, addWorker, listEnds} = createFixture({
    gang: true,
    workMs: 9_000,
  });
  const [left, right] = [addWorker('left'), addWorker('right')];
  startTask(left, 0);
  startTask(right, 1);
  await clock.runUntil(500);
  left.stop({taskId: 'job.0.0.0', attempt: 1, fencingToken: 1});
  await clock.runUntil(2_000);
  assert.deepEqual(listEnds().sort(), [
    'job.0.0.0 stopped 1400',
    'job.0.0.1 broken 1400',
  ]);
});

test('starts that do not match a submitted job are recorded', () => {
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

test('only the task with the configured index crashes its worker', async () => {
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

test('a start beyond a reduced capacity is recorded only after the notice time', async () => {
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
