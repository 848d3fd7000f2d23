/**
 * Load: a task that crashes every worker that starts it, with real sessions.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import type * as cellEntryTypes from '../cell_entry_types.js';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as fakeWorkers from '../__fixtures__/fake_worker.js';

const {test} = nodeTest;
const JOB = types.ids.brand<types.ids.JobId>('job');
const MAX_STARTS = 5;
const LEASE_MS = 1_000;
/**
 * The removal from the list, its grace period, and the lease that has to
 * expire; milliseconds.
 */
const REMOVAL_MS = 8_000;

const pause = (spanMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, spanMs));

async function stateOf(entry: cellEntryTypes.CellEntry): Promise<string> {
  const answer = await entry.jobService.phaseOf(JOB, worlds.POLICY.queue);
  return answer.type === 'ok' ? answer.value : answer.type;
}

/** Machines whose workers crash when they start a task, and restart. */
async function createMachines(world: worlds.CellWorld, count: number) {
  const workers: fakeWorkers.FakeWorker[] = [];
  const current = new Map<string, fakeWorkers.FakeWorker>();
  let crashes = 0;

  async function startWorker(machine: string): Promise<void> {
    const name = `${machine}-${workers.length}`;
    const worker = await world.addWorker(name, 4, `${machine}:1`);
    workers.push(worker);
    current.set(machine, worker);
  }

  for (let nth = 0; nth < count; nth++) await startWorker(`m${nth}`);
  return {
    workers,
    crashes: () => crashes,
    starts: () => workers.flatMap((worker) => worker.started).length,
    /** Crashes all busy workers; each of them restarts after a while. */
    async crashBusy(isBack: (worker: fakeWorkers.FakeWorker) => Promise<void>) {
      for (const [machine, worker] of current) {
        if (worker.running.size === 0) continue;
        crashes++;
        worker.running.clear();
        worker.cut = true;
        await isBack(worker);
        worker.isReplaced = true;
        await startWorker(machine);
      }
    },
  };
}

/** Crashes busy workers until the given number of crashes. */
async function crashUntil(
  machines: Awaited<ReturnType<typeof createMachines>>,
  crashes: number,
  isBack: (worker: fakeWorkers.FakeWorker) => Promise<void>,
): Promise<void> {
  await worlds.until(
    async () => {
      await machines.crashBusy(isBack);
      return machines.crashes() >= crashes;
    },
    `${crashes} crashes`,
    30_000,
  );
}

async function crashUntilFailed(
  entry: () => cellEntryTypes.CellEntry,
  machines: Awaited<ReturnType<typeof createMachines>>,
): Promise<void> {
  await worlds.until(
    async () => {
      await machines.crashBusy(() => pause(300));
      return (await stateOf(entry())) === 'failed';
    },
    'the job is reported as failed',
    30_000,
  );
}

// Guards against a task that crashes its workers and is started again
// endlessly, and against entries that report its job as running.
test('every entry reports the job of a task that crashes its workers as failed', async () => {
  const world = worlds.createCellWorld(LEASE_MS);
  try {
    const machines = await createMachines(world, 3);
    const entry = world.addEntry('a');
    const other = world.addEntry('b');
    await worlds.until(() => entry.status().storeReachable, 'the store');
    await entry.jobService.submit(JOB, worlds.POLICY, worlds.request(1));
    await crashUntilFailed(() => entry, machines);
    await worlds.until(
      async () => (await stateOf(other)) === 'failed',
      'another entry reports it',
    );
    assert.ok(machines.starts() <= MAX_STARTS, `${machines.starts()} starts`);
  } finally {
    world.stop();
  }
});

// Guards against crashes that are forgotten when the holder's process ends.
test('a successor continues from the crashes that are stored', async () => {
  const world = worlds.createCellWorld(LEASE_MS);
  try {
    const machines = await createMachines(world, 3);
    const first = world.addEntry('a');
    await worlds.until(() => first.status().storeReachable, 'the store');
    await first.jobService.submit(JOB, worlds.POLICY, worlds.request(1));
    await crashUntil(machines, 2, () => pause(300));
    first.stop();
    const second = world.addEntry('b');
    await crashUntilFailed(() => second, machines);
    assert.ok(machines.starts() <= MAX_STARTS, `${machines.starts()} starts`);
  } finally {
    world.stop();
  }
});

// Guards against crashes that aren't counted because the worker was removed as
// silent before it restarted.
test('a worker that restarts after it was removed as silent has crashed', async () => {
  const world = worlds.createCellWorld(LEASE_MS);
  try {
    const machines = await createMachines(world, 3);
    const entry = world.addEntry('a');
    await worlds.until(() => entry.status().storeReachable, 'the store');
    await entry.jobService.submit(JOB, worlds.POLICY, worlds.request(1));
    await crashUntil(machines, 2, async (worker) => {
      await world.unlist(worker);
      await pause(REMOVAL_MS / 2);
    });
    await crashUntilFailed(() => entry, machines);
    assert.ok(machines.starts() <= MAX_STARTS, `${machines.starts()} starts`);
  } finally {
    world.stop();
  }
});
