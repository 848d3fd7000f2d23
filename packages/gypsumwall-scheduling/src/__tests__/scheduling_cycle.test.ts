import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as fc from 'fast-check';
import * as worlds from '../__fixtures__/scheduler_world.js';
import type * as activeJob from '../active_job.js';
import * as stepAdvice from '../step_advice.js';

const {test} = nodeTest;
const WALL = 0 as types.clock.WallMs;
/** Number of waiting steps after some seconds without a holder. */
const BACKLOG = 600;

/**
 * Counts how often a step is tried: without advice each try iterates over the
 * workers once.
 */
function countTries(world: worlds.SchedulerWorld): () => number {
  const {workers} = world.scheduler.workerRegistry;
  const values = workers.values.bind(workers);
  let tries = 0;
  Object.assign(workers, {
    values: () => {
      tries++;
      return values();
    },
  });
  return () => {
    const counted = tries;
    tries = 0;
    return counted;
  };
}

/** Creates a full cell with a backlog of waiting steps. */
function createBackloggedWorld() {
  const world = worlds.createSchedulerWorld();
  for (let nth = 0; nth < 20; nth++) world.addWorker(`w${nth}`, 4);
  for (let nth = 0; nth < 80; nth++) world.submit(`run${nth}`, [worlds.step()]);
  const attempts: activeJob.Attempt[] = [];
  settle(world, attempts);
  assert.equal(attempts.length, 80);
  for (let nth = 0; nth < BACKLOG; nth++) {
    world.submit(`wait${nth}`, [worlds.step()]);
  }
  const tries = countTries(world);
  return {world, attempts, tries};
}

// Guards against one long cycle that delays the calls of the holder.
test('a cycle tries a bounded number of steps', () => {
  const {world, tries} = createBackloggedWorld();
  for (let tried = 0; tried < BACKLOG;) {
    world.scheduler.decide(world.now, WALL);
    const counted = tries();
    assert.ok(counted > 0 && counted <= 30, `${counted} steps tried`);
    tried += counted;
  }
});

// Guards against cycles whose cost grows with the number of waiting steps.
test('a step without capacity is tried again only when capacity becomes free', () => {
  const {world, attempts, tries} = createBackloggedWorld();
  do world.scheduler.decide(world.now, WALL);
  while (tries() > 0);
  assert.deepEqual(world.scheduler.decide(world.now, WALL).starts, []);
  assert.equal(tries(), 0);
  world.end(attempts[0]!, 'done');
  assert.equal(world.decide().length, 1);
  assert.ok(tries() <= 4);
});

// Guards against startable work that waits while steps without any approval are
// tried in vain.
test('steps that wait for the adviser do not delay others', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 4);
  const advice = {callMs: 20, perWorkerMs: 1, validMs: 4_000};
  for (let nth = 0; nth < 100; nth++) {
    const policy = {priority: 0, advice};
    world.submit(`asking${nth}`, [worlds.step()], {policy});
  }
  world.submit('free', [worlds.step()]);
  assert.equal(world.decide().length, 1);
});

// Guards against free workers while steps of higher rank, whose tickets have
// expired, are tried in vain.
test('steps without a valid ticket do not delay others', () => {
  const world = worlds.createSchedulerWorld();
  const {scheduler} = world;
  const worker = world.addWorker('w1', 1);
  world.submit('first', [worlds.step()]);
  const [running] = world.startAll();
  const advice = {callMs: 20, perWorkerMs: 1, validMs: 4_000};
  const approve = (name: string, priority: number) => {
    const policy = {priority, advice, slackFactor: 50};
    const id = world.submit(name, [worlds.step()], {policy});
    const stepRun = scheduler.jobs.get(id)!.openOccurrences.get(0)!.steps[0]!;
    stepAdvice.recordCall(stepRun.advice, [worker]);
    scheduler.onAdviceAnswered(
      {stepRun, workers: [worker], callMs: 1, needed: false},
      new Map([[worker, 't']]),
      types.clock.after(world.now, advice.validMs),
    );
  };
  for (let nth = 0; nth < 100; nth++) approve(`stale${nth}`, 0);
  for (let cycle = 0; cycle < 10; cycle++) world.decide();
  world.now = types.clock.after(world.now, advice.validMs);
  approve('fresh', 1);
  world.decide();
  world.end(running!, 'done');
  const started = world.decide().map(({attempt}) => attempt.taskId);
  assert.deepEqual(started, ['fresh.0.0.0']);
});

// Guards against urgent work that waits behind the orders of a wide step, and
// against a rest that never starts.
test('a cycle starts only what there is room for, by rank', () => {
  const world = worlds.createSchedulerWorld();
  const {scheduler} = world;
  world.addWorker('w1', 200);
  const startUpTo = (maxStarts: number): string[] => {
    const limits = {starts: maxStarts, ready: Infinity};
    const {starts} = scheduler.decide(world.now, WALL, undefined, limits);
    scheduler.onStored(scheduler.takeDirty());
    return starts.map(({attempt}) => attempt.taskId);
  };
  world.submit('wide', [worlds.step({taskCount: 100})]);
  assert.equal(startUpTo(10).length, 0, 'its worker is recorded first');
  assert.equal(startUpTo(10).length, 10);
  world.submit('urgent', [worlds.step()], {policy: {priority: 0}});
  assert.equal(startUpTo(0).length, 0);
  assert.equal(startUpTo(10).length, 10);
  assert.equal(startUpTo(10)[0], 'urgent.0.0.0');
  let started = 30;
  for (let cycle = 0; cycle < 8; cycle++) started += startUpTo(10).length;
  assert.equal(started, 101);
});

// Guards against calls to the adviser whose answers expire before their tasks
// can start.
test('the adviser is not asked while enough work of higher rank can start', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 200);
  const advice = {callMs: 20, perWorkerMs: 1, validMs: 4_000};
  const askedFor = (): string[] => {
    const limits = {starts: 10, ready: 20};
    const {scheduler} = world;
    const found = scheduler.decide(world.now, WALL, undefined, limits);
    scheduler.onStored(scheduler.takeDirty());
    return found.advice.map(({stepRun}) => stepRun.id);
  };
  world.submit('wide', [worlds.step({taskCount: 100})]);
  askedFor();
  world.submit('later', [worlds.step()], {policy: {advice}});
  world.submit('urgent', [worlds.step()], {policy: {priority: 0, advice}});
  assert.deepEqual(askedFor(), ['urgent.0.0']);
  const later = Array.from({length: 10}, askedFor).flat();
  assert.deepEqual(later, ['later.0.0']);
});

type Action =
  | {type: 'submit'; tasks: number; cores: number; gang: boolean}
  | {type: 'end'; pick: number; how: 'done' | 'failed'}
  | {type: 'usable'; worker: number; usable: boolean}
  | {type: 'replace'; worker: number}
  | {type: 'cancel'; pick: number}
  | {type: 'wait'; spanMs: number};

const WORKERS = 4;
const nat = fc.nat({max: 1_000});
const arbitraryAction: fc.Arbitrary<Action> = fc.oneof(
  fc.record({
    type: fc.constant('submit' as const),
    tasks: fc.integer({min: 1, max: 6}),
    cores: fc.integer({min: 1, max: 4}),
    gang: fc.boolean(),
  }),
  fc.record({
    type: fc.constant('end' as const),
    pick: nat,
    how: fc.constantFrom('done' as const, 'failed' as const),
  }),
  fc.record({
    type: fc.constant('usable' as const),
    worker: fc.nat({max: WORKERS - 1}),
    usable: fc.boolean(),
  }),
  fc.record({
    type: fc.constant('replace' as const),
    worker: fc.nat({max: WORKERS - 1}),
  }),
  fc.record({type: fc.constant('cancel' as const), pick: nat}),
  fc.record({
    type: fc.constant('wait' as const),
    spanMs: fc.integer({min: 1, max: 4_000}),
  }),
);

/**
 * Runs cycles until nothing more starts and answers each start. The clock does
 * not advance, because more could start with time alone.
 */
function settle(
  world: worlds.SchedulerWorld,
  running: activeJob.Attempt[],
): number {
  const {now} = world;
  let started = 0;
  for (let quiet = 0; quiet < 2;) {
    const attempts = world.startAll();
    running.push(...attempts);
    started += attempts.length;
    quiet = attempts.length === 0 ? quiet + 1 : 0;
    world.now = now;
  }
  return started;
}

// Guards against a step that has capacity and is never tried again.
test('no step that could start is left waiting', () => {
  fc.assert(
    fc.property(
      fc.array(arbitraryAction, {maxLength: 60, size: 'max'}),
      (actions) => {
        const world = worlds.createSchedulerWorld();
        const workers = Array.from({length: WORKERS}, (_none, nth) =>
          world.addWorker(`w${nth}`, 4, `r${nth % 2}`),
        );
        const jobs: types.ids.JobId[] = [];
        let running: activeJob.Attempt[] = [];
        let incarnations = WORKERS;
        for (const action of actions) {
          switch (action.type) {
            case 'submit': {
              const {tasks: taskCount, cores, gang} = action;
              const size = {
                cpuMillis: cores * 1_000,
                memoryMb: 100,
                accelerators: 0,
              };
              const steps = [worlds.step({taskCount, size, gang})];
              jobs.push(world.submit(`job${jobs.length}`, steps));
              break;
            }
            case 'end': {
              const attempt =
                running[action.pick % Math.max(1, running.length)];
              if (attempt === undefined) break;
              running = running.filter((one) => one !== attempt);
              const stopped = attempt.phase === 'stopping';
              world.end(attempt, stopped ? 'stopped' : action.how);
              break;
            }
            case 'usable':
              world.scheduler.setUsable(
                workers[action.worker]!,
                action.usable,
                world.now,
              );
              break;
            case 'replace': {
              // Another incarnation of the worker: all that ran there is lost.
              const removed = workers[action.worker]!;
              running = running.filter(
                (attempt) => attempt.workerId !== removed,
              );
              world.scheduler.removeWorker(removed, 'crashed', world.now);
              workers[action.worker] = world.addWorker(`w${++incarnations}`, 4);
              break;
            }
            case 'cancel': {
              const id = jobs[action.pick % Math.max(1, jobs.length)];
              if (id !== undefined) world.scheduler.cancelJob(id);
              break;
            }
            case 'wait':
              world.now = types.clock.after(world.now, action.spanMs);
              break;
          }
          settle(world, running);
          // Has every waiting step tried, whatever has changed.
          world.scheduler.updatePolicies(() => undefined);
          assert.equal(settle(world, running), 0);
        }
      },
    ),
    {numRuns: 1_500, seed: 7},
  );
});
