/** Workers that start again under the id that they had. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import type * as activeJob from '../active_job.js';
import * as attemptTable from '../attempt_table.js';
import * as jobProgress from '../job_progress.js';
import * as taskIsolation from '../task_isolation.js';
import * as workerLosses from '../worker_losses.js';

const {test} = nodeTest;
const W1 = types.ids.brand<types.ids.WorkerId>('w1');

type World = worlds.SchedulerWorld;

function infoOf(world: World, id = W1) {
  return world.scheduler.workerRegistry.workers.get(id)!.info;
}

/** Starts a worker again under its id, and has it answer. */
function restart(world: World, bornMs: number, id = W1): void {
  const info = {...infoOf(world, id), bornMs};
  world.scheduler.restartWorker(info, 'crashed', world.now);
  world.scheduler.setUsable(id, true, world.now);
}

function elapse(world: World, spanMs: number): void {
  world.now = types.clock.after(world.now, spanMs);
}

/** Has the worker answer a stop, and then a report without attempts. */
function settleStops(world: World): void {
  for (const attempt of world.scheduler.takeStops())
    world.scheduler.onStopAnswered(attempt, world.now);
  elapse(world, 1);
  world.report(W1, []);
}

const indexesOf = (attempts: readonly activeJob.Attempt[]) =>
  attempts.map((attempt) => attempt.task!.index).sort();

// Guards against tasks that are waited for on a worker that has restarted.
test('what ran on a worker ends with its incarnation', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 2);
  world.submit('job', [worlds.step({taskCount: 2})]);
  assert.equal(world.startAll().length, 2);
  restart(world, 5);
  assert.deepEqual(indexesOf(world.startAll()), [0, 1]);
});

// Guards against a task that runs twice: its start order was in flight when the
// worker restarted, the new incarnation carries it out, and the task was
// started elsewhere.
test('a task whose start was not answered waits for a stop on the new incarnation', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 2);
  world.submit('job', [worlds.step()]);
  const [order] = world.decide();
  world.addWorker('w2', 2);
  restart(world, 5);
  assert.equal(world.startAll().length, 0);
  assert.ok(infoOf(world).bornMs === 5);
  const {free} = world.scheduler.workerRegistry.workers.get(W1)!;
  assert.equal(free.cpuMillis, 1_000, 'its capacity stays reserved');
  const stops = world.scheduler.takeStops();
  assert.deepEqual(stops, [order!.attempt]);
  world.report(W1, []);
  assert.equal(world.startAll().length, 0, 'no stop was answered');
  world.scheduler.onStopAnswered(stops[0]!, world.now);
  elapse(world, 1);
  world.report(W1, []);
  assert.equal(world.startAll().length, 1);
});

// Guards against the same, with a stop that the incarnation before answered:
// the new one knows nothing of it.
test('a stop that the incarnation before answered proves nothing for the next', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 2);
  world.submit('job', [worlds.step()]);
  const [order] = world.decide();
  world.addWorker('w2', 2);
  const {scheduler} = world;
  scheduler.onStartAnswered(order!.attempt, {type: 'unknown'}, world.now);
  for (const attempt of scheduler.takeStops())
    scheduler.onStopAnswered(attempt, world.now);
  restart(world, 5);
  elapse(world, 1);
  world.report(W1, []);
  assert.equal(world.startAll().length, 0);
  settleStops(world);
  assert.equal(world.startAll().length, 1);
});

// Guards against a task that crashes the same worker again and again and is
// never given up, because its crashes are taken for one.
test('each incarnation that a task crashes counts', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 2);
  world.submit('job', [worlds.step()]);
  let starts = 0;
  for (let bornMs = 1; bornMs <= 8; bornMs++) {
    starts += world.startAll().length;
    elapse(world, 100);
    restart(world, bornMs);
    elapse(world, 30_000);
  }
  assert.ok(starts >= 3 && starts <= 5, `${starts} starts`);
  const given = world.events.filter(({type}) => type === 'task_given_up');
  assert.equal(given.length, 1);
});

// Guards against a healthy task that is given up because a crash in a record of
// an older build, which knows the id only, is counted again.
test('a recorded crash of an unknown incarnation counts for one', () => {
  const world = worlds.createSchedulerWorld();
  const id = world.addWorker('w1', 2);
  world.scheduler.putWorker({...infoOf(world), bornMs: 1});
  const crashes = {'0': {w1: 'single' as const}};
  const progress: jobProgress.JobProgress = {
    ...jobProgress.NO_PROGRESS,
    workers: [id],
    occurrences: {'0': [{done: [], failures: {}, crashes}]},
  };
  world.submit('job', [worlds.step()], {progress});
  const crashKeys = () => {
    const {occurrences} = world.scheduler.takeDirty()[0]!.progress;
    return Object.keys(occurrences['0']![0]!.crashes!['0']!);
  };
  world.startAll();
  restart(world, 2);
  world.startAll();
  restart(world, 3);
  assert.deepEqual(crashKeys(), ['w1@1', 'w1@2']);
});

/**
 * Has a scheduler take over a job while its worker restarts, and returns the
 * progress that it stores of the job's step; undefined if it stores none.
 */
function stepAfterTakeover(
  step: Partial<jobProgress.StepProgress>,
): jobProgress.StepProgress | undefined {
  const world = worlds.createSchedulerWorld();
  const id = world.addWorker('w1', 2);
  world.scheduler.putWorker({...infoOf(world), bornMs: 1});
  world.unreconciled.add(id);
  const progress = {...jobProgress.NO_PROGRESS, workers: [id]};
  const occurrences = {'0': [{done: [], failures: {}, ...step}]};
  world.submit('job', [worlds.step()], {
    inherited: true,
    progress: {...progress, phase: 'running', occurrences},
  });
  restart(world, 2);
  assert.equal(world.startAll().length, 0, 'it may run on the new one');
  world.unreconciled.delete(id);
  world.report(id, []);
  world.scheduler.onWorkerReconciled();
  return world.scheduler.takeDirty().at(-1)?.progress.occurrences['0']![0];
}

// Guards against a healthy task that is blamed for a crash before a takeover,
// though it may only have waited.
test('a crash before a takeover is presumed for the task that is not found', () => {
  const stored = stepAfterTakeover({});
  assert.equal(stored?.crashes, undefined);
  assert.deepEqual(stored?.presumedCrashes, [0]);
});

// Guards against a successor that takes a crash before its takeover for none,
// and against one that counts it once more with each takeover.
test('a crash before a takeover counts for a suspect that is stored to run there', () => {
  const suspects = {'0': {workers: [W1], isIsolated: false}};
  const counted = {'0': {'w1@1': 'single'}};
  const presumedCrashes = [0];
  const presumed = stepAfterTakeover({suspects, presumedCrashes});
  assert.deepEqual(presumed?.crashes, counted);
  const crashes = {'0': {'w1@1': 'single' as const}};
  const stored = stepAfterTakeover({suspects, crashes});
  assert.deepEqual(stored?.crashes, crashes);
});

// Guards against a suspect that is blamed for crashes of workers on which it did
// not run.
test('a crash before a takeover does not count for a suspect that is stored to run elsewhere', () => {
  const crashes = {'0': {x: 'single' as const}};
  const w2 = types.ids.brand<types.ids.WorkerId>('w2');
  for (const workers of [[], [w2]]) {
    const suspects = {'0': {workers, isIsolated: false}};
    const stored = stepAfterTakeover({crashes, suspects});
    assert.deepEqual(stored?.crashes ?? crashes, crashes);
  }
});

// Guards against decisions by what held for the life before: reservations, an
// isolation period, an avoided worker, tickets.
for (const type of ['restarted', 'removed and put again'] as const) {
  test(`nothing is left of a worker that is ${type}`, () => {
    const world = worlds.createSchedulerWorld();
    const id = world.addWorker('w1', 2);
    const {scheduler} = world;
    const advice = {callMs: 1, perWorkerMs: 1, validMs: 60_000};
    const crashes = {'0': {x: 'single' as const, y: 'single' as const}};
    const jobId = world.submit('job', [worlds.step({taskCount: 2})], {
      policy: {priority: 0, advice},
      progress: {
        ...jobProgress.NO_PROGRESS,
        workers: [id],
        occurrences: {'0': [{done: [], failures: {}, crashes}]},
      },
    });
    const stepRun = [...scheduler.jobs.get(jobId)!.openOccurrences.values()][0]!
      .steps[0]!;
    const request = {
      stepRun,
      workers: [id],
      callMs: 1,
      needed: true,
    };
    stepRun.advice.openCalls++;
    const until = types.clock.after(world.now, 60_000);
    scheduler.onAdviceAnswered(request, new Map([[id, 't']]), until);
    assert.ok(world.startAll().length > 0);
    const info = {...infoOf(world), bornMs: 5};
    switch (type) {
      case 'restarted':
        scheduler.restartWorker(info, 'left', world.now);
        break;
      case 'removed and put again':
        scheduler.removeWorker(id, 'left', world.now);
        scheduler.putWorker(info);
        break;
    }
    const worker = scheduler.workerRegistry.workers.get(id)!;
    assert.deepEqual(worker.free, info.capacity);
    assert.equal(worker.tasksByStep.size, 0);
    assert.equal(worker.isUsable, false);
    assert.equal(stepRun.advice.approvals.size, 0);
    assert.equal(stepRun.attempts.size, 0);
    scheduler.setUsable(id, true, world.now);
    world.submit('other', [worlds.step({taskCount: 2})]);
    const jobs = world
      .startAll()
      .map((attempt) => attempt.task?.stepRun.job.id);
    assert.deepEqual(jobs, ['other', 'other']);
  });
}

// Guards against healthy tasks that are blamed for a power failure, because the
// first workers of the rack are back before the last one is found lost.
test('an incarnation that is back still counts as lost with its rack', () => {
  const losses = workerLosses.createWorkerLosses();
  const world = worlds.createSchedulerWorld();
  const ids = ['w1', 'w2', 'w3'].map((name) => world.addWorker(name, 1));
  const at = (ms: number) => types.clock.after(world.now, ms);
  for (const id of ids)
    losses.recordAnswer({...infoOf(world, id), bornMs: 1}, world.now);
  const signs = {isExplained: false, isSilent: false};
  ids.forEach((id, nth) => losses.recordLoss(id, signs, at(100 + nth * 400)));
  losses.recordAnswer({...infoOf(world), bornMs: 2}, at(500));
  assert.equal(losses.isGroupLoss(ids[2]!), true);
  assert.equal(losses.lostAt(W1), undefined);
});

// Guards against a worker that stays closed for a reservation of its life
// before.
test('a reservation for a task that needs isolation ends with the incarnation', () => {
  const world = worlds.createSchedulerWorld();
  const id = world.addWorker('w1', 2);
  const jobId = world.submit('job', [worlds.step()]);
  world.startAll();
  const registry = world.scheduler.workerRegistry;
  const isolation = taskIsolation.createTaskIsolation({
    registry,
    attempts: attemptTable.createAttemptTable(registry),
    isWaiting: () => true,
  });
  const {openOccurrences} = world.scheduler.jobs.get(jobId)!;
  const stepRun = openOccurrences.get(0)!.steps[0]!;
  isolation.reserveFor(stepRun, 1, [registry.workers.get(id)!], world.now);
  assert.equal(isolation.isHeldFor(stepRun, id), true);
  isolation.forgetWorker(id);
  assert.equal(isolation.isHeldFor(stepRun, id), false);
});
