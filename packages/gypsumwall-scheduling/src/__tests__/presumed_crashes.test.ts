/**
 * Load: workers crash beside jobs that have no part in it, and holders are
 * killed shortly after. A task may be given up once two workers have crashed
 * while they ran it.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as crashChecks from '../__fixtures__/crash_checks.js';
import type * as crashWorlds from '../__fixtures__/crash_world.js';
import * as schedulerWorlds from '../__fixtures__/scheduler_world.js';
import * as jobProgress from '../job_progress.js';

const {test} = nodeTest;
const MIN_CRASHES_TO_GIVE_UP = 2;

const idOf = (name: string) => types.ids.brand<types.ids.WorkerId>(name);

/** Number of workers that crashed while they ran a task. */
function crashesUnder(world: crashWorlds.CrashWorld, task: string): number {
  return world.crashes.filter(({tasks}) => tasks.some((one) => one === task))
    .length;
}

/** Checks each task that was given up against the crashes that took place. */
function assertGivenUpWithCause(world: crashWorlds.CrashWorld): void {
  const wronged = world.events.flatMap((event) => {
    if (event.type !== 'task_given_up') return [];
    const real = crashesUnder(world, event.task);
    if (real >= MIN_CRASHES_TO_GIVE_UP) return [];
    return [`${event.task}: ${event.crashes} counted, ${real} under it`];
  });
  assert.deepEqual(wronged, []);
}

/**
 * Crashes a busy worker and kills the holder 600 ms later, as often as given.
 */
function crashAndKill(world: crashWorlds.CrashWorld, rounds: number): void {
  for (let nth = 0; nth < rounds; nth++) {
    const busy = world.machines.filter(({attempts}) => attempts.length > 0);
    if (busy.length > 0) world.crash(busy[nth % busy.length]!);
    world.run(600);
    world.killHolder();
    world.run(4_000);
  }
}

// Guards against a task that is given up although it has only waited, since it
// was found nowhere when a worker of its job had crashed before a takeover.
test('a task that waits is not given up for crashes under others of its job', () => {
  const world = crashChecks.createWorld({
    domains: 2,
    machinesPerDomain: 2,
    cores: 4,
  });
  world.submit('wide', {taskCount: 60}, {workMs: 6_000});
  crashAndKill(world, 10);
  assertGivenUpWithCause(world);
});

/** An inherited job of one step, of which these workers are recorded. */
function inherit(
  world: schedulerWorlds.SchedulerWorld,
  workers: readonly string[],
  taskCount = 1,
): types.ids.JobId {
  const occurrences = {'0': [{done: [], failures: {}}]};
  const progress = {
    ...jobProgress.NO_PROGRESS,
    workers: workers.map(idOf),
    occurrences,
  };
  for (const name of workers) {
    world.addWorker(name, 4);
    world.unreconciled.add(idOf(name));
  }
  const steps = [schedulerWorlds.step({taskCount})];
  return world.submit('job', steps, {inherited: true, progress});
}

function crash(world: schedulerWorlds.SchedulerWorld, name: string): void {
  world.scheduler.removeWorker(idOf(name), 'crashed', world.now);
}

function reconcile(world: schedulerWorlds.SchedulerWorld, name: string): void {
  world.unreconciled.delete(idOf(name));
  world.scheduler.onWorkerReconciled();
}

const recordedCrashes = (world: schedulerWorlds.SchedulerWorld) =>
  world.events.flatMap((event) =>
    event.type === 'crash_recorded' || event.type === 'crash_presumed'
      ? [`${event.type}: ${event.worker}`]
      : [],
  );

// Guards against a crash that is counted although the worker had listed what
// runs there to this scheduler, and the task was not among it.
test('a worker that has answered crashes under the tasks that it had listed only', () => {
  const world = schedulerWorlds.createSchedulerWorld();
  inherit(world, ['answers', 'silent']);
  world.report(idOf('answers'), []);
  reconcile(world, 'answers');
  crash(world, 'answers');
  reconcile(world, 'silent');
  assert.deepEqual(recordedCrashes(world), []);
});

// Guards against a crash that the next holder doesn't find: the removal of the
// worker is stored at once, and its crash only once the job's other workers are
// reconciled. If the holder ends in between, a task that crashes its workers is
// started once more.
test('a crash is part of the progress that is stored before the worker is removed', () => {
  const world = schedulerWorlds.createSchedulerWorld();
  inherit(world, ['w1', 'silent']);
  world.scheduler.takeDirty();
  crash(world, 'w1');
  world.unreconciled.delete(idOf('w1'));
  world.scheduler.onWorkerReconciled();
  const stored = JSON.stringify(world.scheduler.takeDirty());
  assert.match(stored, /w1/);
});

/**
 * Progress as the next holder stores it that finds a worker of the job crashed
 * and the task nowhere.
 */
function takeOver(
  occurrences: jobProgress.JobProgress['occurrences'],
  worker: string,
): jobProgress.JobProgress['occurrences'] {
  const world = schedulerWorlds.createSchedulerWorld();
  const workers = [worker].map(idOf);
  const progress = {...jobProgress.NO_PROGRESS, workers, occurrences};
  world.addWorker(worker, 4);
  world.unreconciled.add(idOf(worker));
  const steps = [schedulerWorlds.step()];
  world.submit('job', steps, {inherited: true, progress});
  crash(world, worker);
  reconcile(world, worker);
  return world.scheduler.takeDirty()[0]!.progress.occurrences;
}

// Guards against a job that fails without a crash that is known to be under its
// task: two are presumed by two holders, and the start of the trial isn't
// answered.
test('a task is not given up in a trial without a crash known to be under it', () => {
  const world = schedulerWorlds.createSchedulerWorld();
  let occurrences: jobProgress.JobProgress['occurrences'] = {
    '0': [{done: [], failures: {}}],
  };
  for (const worker of ['a', 'b']) occurrences = takeOver(occurrences, worker);
  const progress = {...jobProgress.NO_PROGRESS, occurrences};
  const steps = [schedulerWorlds.step()];
  const job = world.submit('job', steps, {inherited: true, progress});
  world.addWorker('c', 4);
  assert.equal(world.decide().length, 1);
  crash(world, 'c');
  assert.ok(world.scheduler.hasJob(job));
});
