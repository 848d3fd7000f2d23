/** Workers that start again under the id that they had. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import type * as cellEntryTypes from '../cell_entry_types.js';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as fakeWorkers from '../__fixtures__/fake_worker.js';
import type * as ports from '../ports.js';

const {test} = nodeTest;
const FIRST_BIRTH_MS = 1_700_000_000_000;
const SECOND_BIRTH_MS = FIRST_BIRTH_MS + 60_000;

const jobNamed = (name: string) => types.ids.brand<types.ids.JobId>(name);

interface RestartWorld {
  readonly world: worlds.CellWorld;
  readonly worker: fakeWorkers.FakeWorker;
  /** Writes the worker's list entry with this start of its incarnation. */
  readonly list: (bornMs: number) => Promise<void>;
}

/** Runs `use` in a world with one listed worker. */
async function withWorld(
  use: (restartWorld: RestartWorld) => Promise<void>,
): Promise<void> {
  const world = worlds.createCellWorld();
  try {
    const worker = await world.addWorker('w1', 4);
    worker.info = {...worker.info, bornMs: FIRST_BIRTH_MS};
    const list = async (bornMs: number) => {
      const value = JSON.stringify({...worker.info, bornMs});
      const entry = {key: worker.info.id, value};
      await world.store.workers.append([entry], {timeoutMs: 1});
    };
    await list(FIRST_BIRTH_MS);
    await use({world, worker, list});
  } finally {
    world.stop();
  }
}

async function submit(entry: cellEntryTypes.CellEntry, name: string) {
  await worlds.until(() => entry.status().storeReachable, 'the store');
  const request = worlds.request(1);
  await entry.jobService.submit(jobNamed(name), worlds.POLICY, request);
}

async function endAll(
  worker: fakeWorkers.FakeWorker,
  count: number,
): Promise<void> {
  await worlds.until(() => worker.running.size === count, `${count} tasks`);
  for (const key of [...worker.running.keys()]) worker.end(key, 'done');
}

async function untilCompleted(entry: cellEntryTypes.CellEntry, name: string) {
  await worlds.until(async () => {
    const {queue} = worlds.POLICY;
    const answer = await entry.jobService.phaseOf(jobNamed(name), queue);
    return answer.type === 'ok' && answer.value === 'completed';
  }, `${name} is completed`);
}

// Guards against ends that are dropped as old: the new incarnation counts them
// from 1, and the holder had seen higher numbers of the one before.
for (const seenFirst of ['list', 'answer'] as const) {
  test(`the ends of a restarted worker count, seen first in the ${seenFirst}`, () =>
    withWorld(async ({world, worker, list}) => {
      const entry = world.addEntry('a');
      for (const name of ['j1', 'j2', 'j3']) {
        await submit(entry, name);
        await endAll(worker, 1);
        await untilCompleted(entry, name);
      }
      await submit(entry, 'running');
      await worlds.until(() => worker.running.size === 1, 'the task runs');
      if (seenFirst === 'list') {
        worker.cut = true;
        worker.restart(SECOND_BIRTH_MS);
        await list(SECOND_BIRTH_MS);
        await new Promise((resolve) => setTimeout(resolve, 300));
        worker.cut = false;
      } else {
        worker.restart(SECOND_BIRTH_MS);
        await new Promise((resolve) => setTimeout(resolve, 300));
        assert.equal(worker.running.size, 0, 'its capacity is not known yet');
        // An entry of the incarnation before that arrives late.
        await list(FIRST_BIRTH_MS);
        await new Promise((resolve) => setTimeout(resolve, 300));
        assert.equal(worker.running.size, 0, 'its capacity is not known yet');
        await list(SECOND_BIRTH_MS);
      }
      await endAll(worker, 1);
      await untilCompleted(entry, 'running');
      await submit(entry, 'next');
      await endAll(worker, 1);
      await untilCompleted(entry, 'next');
      const tasks = worker.started.map(({taskId}) => taskId.split('.')[0]);
      assert.deepEqual(tasks, ['j1', 'j2', 'j3', 'running', 'running', 'next']);
    }));
}

// Guards against a successor that waits for the tasks of an incarnation that
// ended before its takeover, or doesn't see that it ended.
test('a successor finds that a worker has restarted', () =>
  withWorld(async ({world, worker, list}) => {
    const first = world.addEntry('a');
    await submit(first, 'job');
    await worlds.until(() => worker.running.size === 1, 'the task runs');
    first.stop();
    worker.restart(SECOND_BIRTH_MS);
    await list(SECOND_BIRTH_MS);
    const second = world.addEntry('b');
    await endAll(worker, 1);
    await untilCompleted(second, 'job');
    assert.equal(worker.started.length, 2);
  }));

/** A worker whose start orders are lost, and carried out when released. */
function holdStarts(worker: fakeWorkers.FakeWorker) {
  const held: (() => Promise<unknown>)[] = [];
  const connect = worker.connect.bind(worker);
  let isHolding = true;
  worker.connect = () => {
    const link = connect();
    return {
      ...link,
      start(call): ports.Answer<ports.OrderAnswer> {
        if (!isHolding) return link.start(call);
        held.push(() => link.start(call));
        return Promise.resolve(
          result.err({
            kind: 'timeout',
            step: 'call',
            peer: 'w1',
            effect: 'unknown',
            message: 'injected fault',
          }),
        );
      },
      async stop(call) {
        stops.push(`${call.taskId}#${call.attempt}`);
        return link.stop(call);
      },
    };
  };
  const stops: string[] = [];
  return {
    held,
    stops,
    release: async () => {
      isHolding = false;
      for (const start of held) await start();
    },
  };
}

// Guards against a task that runs twice: its start order is lost and settled by
// a stop, the worker restarts under its id, and the new incarnation, which
// knows nothing of that stop, carries the order out.
test('lost start orders are stopped again on the next incarnation', () =>
  withWorld(async ({world, worker, list}) => {
    const orders = holdStarts(worker);
    const entry = world.addEntry('a');
    await submit(entry, 'job');
    await worlds.until(() => orders.held.length > 0, 'a lost start');
    await worlds.until(() => orders.stops.length > 0, 'its stop');
    const [lost] = orders.stops;
    orders.stops.length = 0;
    worker.restart(SECOND_BIRTH_MS);
    await list(SECOND_BIRTH_MS);
    await worlds.until(() => orders.stops.includes(lost!), 'another stop');
    await orders.release();
    await worlds.until(() => worker.running.size === 1, 'the task runs');
  }));

// Guards against an entry of another writer that replaces a good one while its
// tasks run: they are neither lost nor started again, and nothing new starts
// by it. Thousands of such entries must not keep the others from use.
for (const loaded of [false, true]) {
  const how = loaded ? 'loaded' : 'read';
  test(`unreadable list entries end no task and hide no worker, when ${how}`, () =>
    withWorld(async ({world, worker, list}) => {
      const bad = (key: string) => ({key, value: '{"id":7}'});
      const entry = world.addEntry('a');
      await submit(entry, 'job');
      await worlds.until(() => worker.running.size === 1, 'the task runs');
      const foreign = Array.from({length: 1_000}, (_none, nth) =>
        bad(`x${nth}`),
      );
      await world.store.workers.append([...foreign, bad('w1')], {timeoutMs: 1});
      const successor = loaded ? world.addEntry('b') : entry;
      if (loaded) entry.stop();
      await new Promise((resolve) => setTimeout(resolve, 300));
      await submit(successor, 'next');
      await new Promise((resolve) => setTimeout(resolve, 2_000));
      assert.deepEqual(
        worker.started.map(({taskId}) => taskId.split('.')[0]),
        ['job'],
      );
      await endAll(worker, 1);
      await untilCompleted(successor, 'job');
      await list(FIRST_BIRTH_MS);
      await endAll(worker, 1);
      await untilCompleted(successor, 'next');
    }));
}
