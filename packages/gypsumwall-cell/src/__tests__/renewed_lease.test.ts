import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as fakeWorkers from '../__fixtures__/fake_worker.js';
import type * as ports from '../ports.js';

const {test} = nodeTest;
const LEASE_MS = 1_800;
/**
 * The successor claims the cell and renews the lease before it expires;
 * milliseconds.
 */
const STORE_CUT_AFTER_MS = 800;
const WATCHED_MS = 3_000;
/**
 * Longer than the interval at which the successor polls a worker that it
 * reaches; milliseconds.
 */
const POLL_MS = 300;
const CUT_MS = 60;

/** Drops the calls of some holders to a worker; holders count from 0. */
function cutFor(
  worker: fakeWorkers.FakeWorker,
  isCut: (holder: number) => boolean,
): void {
  const connect = () => fakeWorker.connect.call(worker);
  const fakeWorker = {...worker};
  let holders = 0;
  worker.connect = () => {
    const holder = holders++;
    const link = connect();
    const unlessCut =
      <Call, Value>(send: (call: Call) => ports.Answer<Value>) =>
      (call: Call): ports.Answer<Value> =>
        isCut(holder) ? lost() : send(call);
    return {
      start: unlessCut((call: ports.StartCall) => link.start(call)),
      stop: unlessCut((call: ports.StartCall) => link.stop(call)),
      poll: unlessCut((call: ports.PollCall) => link.poll(call)),
      close: () => link.close(),
    };
  };
}

async function lost<Value>(): Promise<Awaited<ports.Answer<Value>>> {
  await pause(CUT_MS);
  return result.err({
    kind: 'timeout',
    step: 'call',
    peer: 'worker',
    effect: 'unknown',
    message: 'injected fault',
  });
}

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

// Guards against a holder that considers a worker's lease expired although its
// successor has renewed it, so that the task runs on two workers. The holder is
// cut off from the store and from one worker, the successor from the other.
test('a lease that a successor has renewed is not considered expired', async () => {
  const world = worlds.createCellWorld(LEASE_MS);
  try {
    const kept = await world.addWorker('kept', 1);
    const other = await world.addWorker('other', 1);
    let cut = false;
    cutFor(kept, (holder) => cut && holder === 0);
    cutFor(other, (holder) => holder > 0);
    const view = {...world.store, cell: worlds.createLogView(world.store.cell)};
    const first = world.addEntry('a', view);
    await worlds.until(() => first.status().holdsCell, 'the cell is held');
    const second = world.addEntry('b');
    const id = types.ids.brand<types.ids.JobId>('job');
    await first.jobService.submit(id, worlds.POLICY, worlds.request(2));
    const running = () => [kept, other].every((one) => one.running.size === 1);
    await worlds.until(running, 'both tasks run');
    const [done] = [...other.running.keys()];
    other.end(done!, 'done');
    await pause(POLL_MS);
    const [task] = [...kept.running.keys()];

    cut = true;
    const cutAt = performance.now();
    while (performance.now() - cutAt < WATCHED_MS) {
      if (performance.now() - cutAt > STORE_CUT_AFTER_MS) {
        view.cell.fault = 'down';
      }
      const starts = other.started.filter((start) => start.taskId === task);
      if (starts.length > 0) {
        await pause(POLL_MS);
        assert.ok(!kept.running.has(task!), 'the task runs on both workers');
      }
      await pause(5);
    }
    assert.ok(second.status().holdsCell, 'the successor holds the cell');
    assert.ok(kept.running.has(task!), 'the successor kept the attempt');
  } finally {
    world.stop();
  }
});
