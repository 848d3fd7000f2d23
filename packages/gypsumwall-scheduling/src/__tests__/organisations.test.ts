import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as organisations from '@gypsumwall/organisations';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';

const {test} = nodeTest;

interface Limits {
  readonly cores?: number;
  readonly weight?: number;
}

function publish(
  world: worlds.SchedulerWorld,
  limits: Readonly<Record<string, Limits>>,
): void {
  const entries = Object.entries(limits).map(([name, {cores, weight}]) => {
    const id = types.ids.brand<types.ids.OrganisationId>(name);
    const cpuMillis = cores === undefined ? Infinity : cores * 1_000;
    const quota = {...organisations.organisation.UNLIMITED, cpuMillis};
    return [id, {id, keyHashes: [], weight, quota}] as const;
  });
  world.scheduler.updateOrganisations(new Map(entries));
}

const tasks = (taskCount: number, gang = false) => [
  worlds.step({taskCount, gang}),
];
const NORTH = {organisation: 'north'};

// Guards against starting more than an organisation may have running.
test('a wide step runs in waves within the quota of its organisation', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w', 8);
  publish(world, {north: {cores: 2}});
  world.submit('wide', tasks(5), NORTH);
  world.submit('other', tasks(1), {organisation: 'south'});
  const started = world.startAll();
  assert.equal(started.length, 3);
  const own = started.filter(({organisation}) => organisation === 'north');
  world.end(own[0]!, 'done');
  assert.equal(world.startAll().length, 1);
});

// Guards against using up a quota twice: what is being stopped still runs.
test('an attempt that is being stopped counts until its end is reported', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w', 8);
  publish(world, {north: {cores: 1}});
  const first = world.submit('first', tasks(1), NORTH);
  const [attempt] = world.startAll();
  world.submit('second', tasks(1), NORTH);
  world.scheduler.cancelJob(first);
  assert.equal(world.startAll().length, 0);
  world.end(attempt!, 'stopped');
  assert.equal(world.startAll().length, 1);
});

// Guards against stopping work, and against starting more, when the operator
// lowers a quota below what runs.
test('a lowered quota stops nothing and starts nothing until what runs fits', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w', 8);
  publish(world, {north: {cores: 4}});
  world.submit('job', tasks(6), NORTH);
  const started = world.startAll();
  assert.equal(started.length, 4);
  publish(world, {north: {cores: 2}});
  world.end(started[0]!, 'done');
  world.end(started[1]!, 'done');
  assert.equal(world.startAll().length, 0);
  assert.deepEqual(world.scheduler.takeStops(), []);
  world.end(started[2]!, 'done');
  assert.equal(world.startAll().length, 1);
});

// Guards against a gang that never starts because smaller work of the same
// organisation uses each part of the quota that becomes free.
test('a gang that waits for its quota is not overtaken by later work', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w', 16);
  publish(world, {north: {cores: 4}});
  world.submit('small', tasks(4), NORTH);
  const started = world.startAll();
  world.submit('gang', tasks(3, true), NORTH);
  world.submit('late', tasks(1), NORTH);
  world.end(started[0]!, 'done');
  assert.equal(world.startAll().length, 0);
  world.end(started[1]!, 'done');
  world.end(started[2]!, 'done');
  const ids = world.startAll().map(({taskId}) => taskId.split('.')[0]);
  assert.deepEqual(ids, ['gang', 'gang', 'gang']);
});

// Guards against a gang that its quota can't fit blocking its organisation.
test('a gang wider than a lowered quota lets other work start', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w', 16);
  publish(world, {north: {cores: 2}});
  world.submit('gang', tasks(3, true), NORTH);
  world.submit('late', tasks(1), NORTH);
  assert.equal(world.startAll().length, 1);
});

// Guards against exceeding a quota after a takeover: what the earlier scheduler
// started on a worker that does not answer yet may still run.
test('tasks of jobs that await reconciliation count against the quota', () => {
  const world = worlds.createSchedulerWorld();
  const silent = world.addWorker('silent', 8);
  world.addWorker('w', 8);
  world.unreconciled.add(silent);
  world.scheduler.setUsable(silent, false, world.now);
  publish(world, {north: {cores: 3}});
  const progress = {
    phase: 'running',
    workers: [silent],
    occurrences: {'0': [{done: [0], failures: {}}]},
    finished: [],
  } as const;
  const inherited = {...NORTH, inherited: true, progress};
  world.submit('before', tasks(3), inherited);
  world.submit('new', tasks(4), NORTH);
  assert.equal(world.startAll().length, 1);
  world.unreconciled.clear();
  world.report(silent, []);
  world.scheduler.onWorkerReconciled();
  assert.equal(world.startAll().length, 2);
});

// Guards against starting work without limit before the configuration is read.
test('no work of an organisation starts before the organisations are known', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w', 8);
  world.submit('job', tasks(1), NORTH);
  world.submit('free', tasks(1));
  assert.equal(world.startAll().length, 1);
  publish(world, {});
  assert.equal(world.startAll().length, 1);
});

// Guards against one organisation that sends many times its usual delaying the
// others: a full cell, and urgent work of the busy one.
test('work beyond the rate of its organisation ranks behind all other work', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w', 3);
  publish(world, {north: {weight: 2}, south: {weight: 1}});
  const urgent = {...NORTH, policy: {priority: 0}};
  for (let nth = 0; nth < 6; nth++) world.submit(`n${nth}`, tasks(1), urgent);
  world.submit('s', tasks(1), {organisation: 'south', policy: {priority: 2}});
  const ids = world.startAll().map(({taskId}) => taskId.split('.')[0]);
  assert.deepEqual(ids, ['n0', 'n1', 's']);
});

// Guards against an operator who can't find out why a job waits.
test('a waiting step is logged with its organisation and the reason', () => {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w', 8);
  publish(world, {north: {cores: 1}});
  world.submit('job', tasks(2), NORTH);
  world.startAll();
  for (let nth = 0; nth < 4; nth++) {
    world.now = types.clock.after(world.now, 600);
    world.startAll();
  }
  const waits = world.events.filter(({type}) => type === 'step_waits');
  assert.equal(waits.length, 1);
  const [event] = waits;
  assert.ok(event?.type === 'step_waits');
  assert.equal(event.organisation, 'north');
  assert.equal(event.reason, 'organisation_at_quota');
});
