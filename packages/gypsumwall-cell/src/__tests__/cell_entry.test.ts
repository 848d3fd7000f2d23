import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as fakeWorkers from '../__fixtures__/fake_worker.js';
import type * as cellEntryTypes from '../cell_entry_types.js';

const {test} = nodeTest;
const id = (text: string) => types.ids.brand<types.ids.JobId>(text);

async function submit(
  entry: cellEntryTypes.CellEntry,
  name: string,
  taskCount = 1,
): Promise<void> {
  await worlds.until(() => entry.status().storeReachable, 'the store');
  const answer = await entry.jobService.submit(
    id(name),
    worlds.POLICY,
    worlds.request(taskCount),
  );
  assert.equal(answer.type, 'ok');
}

async function phase(
  entry: cellEntryTypes.CellEntry,
  name: string,
): Promise<string> {
  const answer = await entry.jobService.phaseOf(id(name), worlds.POLICY.queue);
  return answer.type === 'ok' ? answer.value : answer.type;
}

/** Number of pending jobs, or how the query was refused. */
async function pending(
  entry: cellEntryTypes.CellEntry,
): Promise<number | string> {
  const answer = await entry.jobService.pendingIn(worlds.POLICY.queue);
  return answer.type === 'ok' ? answer.value : answer.type;
}

/**
 * Waits until the entry reports the phase, because entries read the log with a
 * delay.
 */
async function waitForPhase(
  entry: cellEntryTypes.CellEntry,
  name: string,
  expected: string,
): Promise<void> {
  const end = performance.now() + 2_000;
  let phaseNow = '';
  while (phaseNow !== expected) {
    assert.ok(performance.now() < end, `${name} is ${phaseNow}`);
    phaseNow = await phase(entry, name);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

function runningTasks(worker: fakeWorkers.FakeWorker): string[] {
  return [...worker.running.keys()];
}

test('a job accepted by one entry runs, and any entry returns its state', async () => {
  const world = worlds.createCellWorld();
  try {
    const worker = await world.addWorker('w1', 4);
    const entries = ['a', 'b'].map((name) => world.addEntry(name));
    await submit(entries[1]!, 'job', 2);
    await worlds.until(() => worker.running.size === 2, 'both tasks');
    for (const task of runningTasks(worker)) worker.end(task, 'done');
    for (const entry of entries) {
      await worlds.until(
        async () => (await pending(entry)) === 0,
        'no pending job',
      );
    }
    for (const entry of entries) await waitForPhase(entry, 'job', 'completed');
    assert.equal(await phase(entries[0]!, 'other'), 'absent');
  } finally {
    world.stop();
  }
});

// Guards against a task that runs twice. Its holder stops while the task runs;
// the next entry takes over the cell, finds the attempt and waits for its end.
test('an attempt goes on when its holder stops, and is not started again', async () => {
  const world = worlds.createCellWorld(4_000);
  try {
    const worker = await world.addWorker('w1', 4);
    const first = world.addEntry('a');
    await submit(first, 'job');
    await worlds.until(() => worker.running.size === 1, 'the task');
    const second = world.addEntry('b');
    first.stop();
    await worlds.until(() => second.status().holdsCell, 'a takeover');
    await new Promise((resolve) => setTimeout(resolve, 300));
    assert.equal(worker.started.length, 1);
    worker.end(runningTasks(worker)[0]!, 'done');
    await worlds.until(
      () => second.status().scheduler?.jobs === 0,
      'the job is over',
    );
    await waitForPhase(second, 'job', 'completed');
  } finally {
    world.stop();
  }
});

// Guards against a job that makes no progress after a takeover and whose task
// may run twice. The last worker to answer the new holder isn't on the list
// yet, which is read late; it must not be taken for one that never answered.
test('a worker that answers before the list is read keeps its attempts', async () => {
  const world = worlds.createCellWorld(4_000);
  try {
    const worker = await world.addWorker('w1', 1);
    const first = world.addEntry('a');
    await submit(first, 'job');
    await worlds.until(() => worker.running.size === 1, 'the task');
    const workers = worlds.createLogView(world.store.workers);
    workers.fault = 'down';
    const second = world.addEntry('b', {...world.store, workers});
    first.stop();
    await worlds.until(() => second.status().holdsCell, 'a takeover');
    await worlds.until(
      () => second.status().scheduler?.runs === 1,
      'the attempt is found',
    );
    worker.end(runningTasks(worker)[0]!, 'done');
    await waitForPhase(second, 'job', 'completed');
    assert.equal(worker.started.length, 1);
  } finally {
    world.stop();
  }
});

// A holder is cut off from the store but still reaches the workers, and another
// entry takes over. The old holder's orders are refused, and it gives up.
test('a holder that the store refuses is replaced and gives up', async () => {
  const world = worlds.createCellWorld(4_000);
  try {
    const worker = await world.addWorker('w1', 1);
    const {jobs, cell, config, workers} = world.store;
    const view = {
      jobs: worlds.createLogView(jobs),
      cell: worlds.createLogView(cell),
      config,
      workers,
    };
    const first = world.addEntry('a', view);
    await submit(first, 'job');
    await worlds.until(() => worker.running.size === 1, 'the task');
    const second = world.addEntry('b');
    view.jobs.fault = 'down';
    view.cell.fault = 'down';
    await worlds.until(() => second.status().holdsCell, 'a takeover');
    await worlds.until(
      () => !first.status().holdsCell,
      'the old holder gives up',
    );
    await submit(second, 'next');
    worker.end(runningTasks(worker)[0]!, 'done');
    await worlds.until(() => worker.started.length === 2, 'the next task');
    assert.ok(worker.started[1]!.token > worker.started[0]!.token);
  } finally {
    world.stop();
  }
});

test('an entry that leaves hands the cell over at once', async () => {
  const world = worlds.createCellWorld();
  try {
    const first = world.addEntry('a');
    await worlds.until(() => first.status().holdsCell, 'the first claim');
    const second = world.addEntry('b');
    await worlds.until(() => second.status().storeReachable, 'the store');
    const startedAt = performance.now();
    await first.leave();
    await worlds.until(() => second.status().holdsCell, 'the handover');
    assert.ok(performance.now() - startedAt < 1_000);
  } finally {
    world.stop();
  }
});

// A worker executes an order, but its answer is lost. The task is stopped there
// before it starts anywhere else, so that two attempts never run at once.
test('a start without an answer is settled before the next', async () => {
  const world = worlds.createCellWorld();
  try {
    const worker = await world.addWorker('w1', 1);
    worker.losesAnswers = true;
    const entry = world.addEntry('a');
    await submit(entry, 'job');
    await worlds.until(
      () => worker.started.length === 1,
      'the unanswered start',
    );
    worker.losesAnswers = false;
    await worlds.until(() => worker.started.length === 2, 'the next attempt');
    assert.deepEqual(
      worker.started.map((start) => start.attempt),
      [1, 2],
    );
    assert.equal(worker.running.size, 1);
  } finally {
    world.stop();
  }
});

// A worker is cut off while it runs a task. The task starts elsewhere only
// after the worker's lease has expired, although another worker is free all the
// time.
test('a task on an unreachable worker waits for the lease to expire', async () => {
  const world = worlds.createCellWorld(800);
  try {
    const cut = await world.addWorker('w1', 1);
    const entry = world.addEntry('a');
    await submit(entry, 'job');
    await worlds.until(() => cut.running.size === 1, 'the task');
    cut.cut = true;
    const cutAt = performance.now();
    const other = await world.addWorker('w2', 1);
    await worlds.until(() => other.started.length === 1, 'the second attempt');
    assert.ok(performance.now() - cutAt > 700, 'before the lease had expired');
  } finally {
    world.stop();
  }
});

test('a cancelled job is stopped, and every entry reports it', async () => {
  const world = worlds.createCellWorld();
  try {
    const worker = await world.addWorker('w1', 4);
    const entries = ['a', 'b'].map((name) => world.addEntry(name));
    await submit(entries[0]!, 'job');
    await worlds.until(() => worker.running.size === 1, 'the task');
    const answer = await entries[1]!.jobService.cancel(id('job'), 'plans');
    assert.equal(answer.type, 'ok');
    await worlds.until(() => worker.running.size === 0, 'the stop');
    await waitForPhase(entries[1]!, 'job', 'cancelled');
  } finally {
    world.stop();
  }
});

test('a job is refused at once while the store is unavailable', async () => {
  const world = worlds.createCellWorld();
  try {
    const entry = world.addEntry('a');
    await worlds.until(() => entry.status().storeReachable, 'the store');
    world.store.jobs.fault = 'down';
    await worlds.until(() => !entry.status().storeReachable, 'the outage');
    const startedAt = performance.now();
    const answer = await entry.jobService.submit(
      id('job'),
      worlds.POLICY,
      worlds.request(1),
    );
    assert.equal(answer.type, 'not_run');
    assert.ok(performance.now() - startedAt < 50);
  } finally {
    world.stop();
  }
});

// Guards against late starts in a busy cell: a small instance claimed the cell
// before a large one tried, and its processor is too slow for all the calls.
test('the strongest entry takes the cell, although others started earlier', async () => {
  const world = worlds.createCellWorld();
  try {
    const small = ['a', 'b', 'c'].map((name) =>
      world.addEntry(name, undefined, 0.3),
    );
    const large = world.addEntry('d', undefined, 1.4);
    await worlds.until(
      () => [...small, large].some((entry) => entry.status().holdsCell),
      'a holder',
    );
    assert.ok(large.status().holdsCell);
  } finally {
    world.stop();
  }
});

test('a small entry takes the cell when the strongest is lost', async () => {
  const world = worlds.createCellWorld();
  try {
    const large = world.addEntry('a', undefined, 1.4);
    const small = world.addEntry('b', undefined, 0.3);
    await worlds.until(() => large.status().holdsCell, 'the first holder');
    large.stop();
    await worlds.until(() => small.status().holdsCell, 'the successor');
  } finally {
    world.stop();
  }
});
