import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as learnedSpeeds from '../learned_speeds.js';
import * as unevenRuns from '../__fixtures__/uneven_runs.js';
import * as speedSummary from '../speed_summary.js';

const {test} = nodeTest;

/** Two thirds slow workers and a third fast ones. */
const UNEVEN: readonly unevenRuns.UnevenWorker[] = Array.from(
  {length: 60},
  (_, nth) => ({speed: nth % 3 === 2 ? 1.7 : 0.7}),
);

// Load: two generations of workers, uneven tasks. Guards against fast workers
// that are taken for slow ones, and the other way round.
test('nine of ten speeds are told apart after fifteen runs a worker', () => {
  const world = unevenRuns.createUnevenRuns(UNEVEN);
  world.runSteps(90);
  const sideOf = (speed: number) => Math.sign(speed - 1);
  const sides = world.ids.map((id) => sideOf(world.speeds.speedOf(id)));
  const wrong = UNEVEN.filter(({speed}, nth) => sides[nth] === -sideOf(speed));
  assert.deepEqual(wrong, []);
  const unknown = sides.filter((side) => side === 0).length;
  assert.ok(unknown <= 6, `${unknown} of 60 aren't told apart`);
});

// Load: alike workers, uneven tasks. Guards against decisions that follow noise.
test('workers that are equally fast keep a speed of exactly 1', () => {
  for (const count of [4, 60]) {
    const alike = Array.from({length: count}, () => ({speed: 0.7}));
    const world = unevenRuns.createUnevenRuns(alike);
    for (let round = 0; round < 20; round++) {
      world.runSteps(10);
      for (const id of world.ids) assert.equal(world.speeds.speedOf(id), 1);
    }
  }
});

// Load: two pools whose workers never run tasks of one step. Guards against
// speeds of whole pools that drift apart without any run that compares them.
test('workers of two pools keep a speed of exactly 1', () => {
  const alike = Array.from({length: 20}, () => ({speed: 1}));
  const {ids, registry, speeds} = unevenRuns.createUnevenRuns(alike);
  const random = types.random.createRandom(3);
  for (let step = 0; step < 10_000; step++) {
    for (let task = 0; task < 10; task++) {
      const nth = (step % 2) * 10 + Math.floor(random.next() * 10);
      const runMs = 1_000 * Math.exp(1.2 * (random.next() - 0.5));
      speeds.add(`step${step}`, ids[nth]!, runMs);
    }
    if (step % 5 > 0) continue;
    speeds.refresh(registry, (step * 1_000) as types.clock.MonotonicMs);
  }
  assert.deepEqual(new Set(ids.map((id) => speeds.speedOf(id))), new Set([1]));
});

// Guards against one slow worker among alike ones that keeps getting urgent work.
test('a single slow worker is found', () => {
  const workers = Array.from({length: 60}, (_, nth) => ({
    speed: nth === 0 ? 0.4 : 1,
  }));
  const world = unevenRuns.createUnevenRuns(workers);
  world.runSteps(150);
  const [slow, ...others] = world.ids.map((id) => world.speeds.speedOf(id));
  assert.ok(slow! < 0.6, `${slow}`);
  assert.deepEqual(new Set(others), new Set([1]));
});

// Guards against a speed that is forgotten while a worker has nothing to run.
test('an idle worker keeps its speed', () => {
  const world = unevenRuns.createUnevenRuns(UNEVEN);
  world.runSteps(60);
  const before = world.speeds.speedOf(world.ids[59]!);
  world.runSteps(400, 40);
  const after = world.speeds.speedOf(world.ids[59]!);
  assert.ok(before > 1.3 && after > 1.3, `${before}, ${after}`);
});

// Guards against a new incarnation that is taken for as slow as the one before.
test('the speed of a removed worker is forgotten', () => {
  const world = unevenRuns.createUnevenRuns(UNEVEN);
  world.runSteps(60);
  world.speeds.forget(world.ids[0]!);
  assert.equal(world.speeds.speedOf(world.ids[0]!), 1);
  world.refresh();
  assert.equal(world.speeds.speedOf(world.ids[0]!), 1);
});

// Load: workers are added under load. Guards against fast ones that get no
// urgent work, and against a label that says nothing.
test('a new worker has the speed of its label if that tells speeds apart', () => {
  const speedOfNewWorker = (labelOf: (nth: number) => string) => {
    const workers = UNEVEN.map((worker, nth) => ({
      ...worker,
      labels: [labelOf(nth)],
    }));
    const world = unevenRuns.createUnevenRuns(workers);
    world.runSteps(80, 59);
    return world.speeds.speedOf(world.ids[59]!);
  };
  assert.ok(speedOfNewWorker((nth) => (nth % 3 === 2 ? 'new' : 'old')) > 1.3);
  assert.equal(
    speedOfNewWorker((nth) => (nth % 2 === 0 ? 'a' : 'b')),
    1,
  );
});

// Guards against an operator who can't see why work goes where it goes, and
// against a line for each estimate.
test('the speeds of a label are reported when they change materially', () => {
  const world = unevenRuns.createUnevenRuns(
    UNEVEN.map((worker) => ({...worker, labels: ['kind-a', 'r1']})),
  );
  const events: speedSummary.SpeedEvent[] = [];
  const reporter = speedSummary.createSpeedReporter((one) => events.push(one));
  const report = (at: number) =>
    reporter.report(
      speedSummary.summarizeSpeeds(world.registry, world.speeds),
      at as types.clock.MonotonicMs,
    );
  report(0);
  assert.equal(events.length, 0);
  world.runSteps(200);
  for (let at = 1_000; at < 20_000; at += 500) report(at);
  assert.equal(events.length, 1);
  const [event] = events;
  assert.deepEqual([event?.label, event?.workers], ['kind-a', 60]);
  assert.ok(event!.min < 0.9 && event!.max > 1.3);
});

// Load: a small instance that holds a cell of alike workers. Guards against
// estimates that take a good part of its processor and find nothing.
test('speeds of workers that stay equally fast are estimated seldom', () => {
  const alike = Array.from({length: 8}, () => ({speed: 1}));
  const {ids, registry, speeds} = unevenRuns.createUnevenRuns(alike);
  let estimates = 0;
  for (let ms = 0; ms < 60_000; ms += 100) {
    for (const id of ids) speeds.add(`step${ms}`, id, 1_000);
    if (speeds.refresh(registry, ms as types.clock.MonotonicMs)) estimates++;
  }
  assert.ok(estimates <= 40, `${estimates} estimates in a minute`);
});

// Load: a holder with a small part of a core. Guards against estimates that take
// the processor time of starts.
test('estimates that take long are made less often', () => {
  const {ids, registry} = unevenRuns.createUnevenRuns(UNEVEN);
  let readings = 0;
  const speeds = learnedSpeeds.createLearnedSpeeds(() => readings++ * 20);
  let estimates = 0;
  for (let ms = 0; ms < 60_000; ms += 100) {
    for (const [nth, id] of ids.entries())
      speeds.add(`step${ms}`, id, 1_000 / UNEVEN[nth]!.speed);
    if (speeds.refresh(registry, ms as types.clock.MonotonicMs)) estimates++;
  }
  assert.equal(estimates, 15);
});
