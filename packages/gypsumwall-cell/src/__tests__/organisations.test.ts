import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as organisations from '@gypsumwall/organisations';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as cellEntryTypes from '../cell_entry_types.js';

const {test} = nodeTest;
const {POLICY} = worlds;
const JOB = types.ids.brand<types.ids.JobId>('job');

const NORTH = {keys: ['north-key'], cores: 2};
const SOUTH = {keys: ['south-key'], cores: 2};

async function callerOf(
  entry: cellEntryTypes.CellEntry,
  key: string,
): Promise<organisations.keyDirectory.Caller> {
  await worlds.until(() => entry.status().storeReachable, 'the store');
  await worlds.until(() => entry.findCaller(key) !== undefined, key);
  return entry.findCaller(key)!;
}

async function withEntries(
  names: readonly string[],
  run: (
    world: worlds.CellWorld,
    entries: cellEntryTypes.CellEntry[],
  ) => Promise<void>,
): Promise<void> {
  const world = worlds.createCellWorld();
  await worlds.publish(world.store, 1, {north: NORTH, south: SOUTH});
  try {
    await run(
      world,
      names.map((name) => world.addEntry(name)),
    );
  } finally {
    world.stop();
  }
}

// Guards against showing or cancelling the job of another organisation, also
// once it is over and by an entry that started later.
test('a job is absent for the callers of other organisations', async () => {
  await withEntries(['a'], async (world, [first]) => {
    const worker = await world.addWorker('w', 4);
    const north = await callerOf(first!, 'north-key');
    const south = await callerOf(first!, 'south-key');
    const {jobService} = first!;
    await jobService.submit(JOB, POLICY, worlds.request(1), north);
    assert.equal((await jobService.cancel(JOB, 'plans', south)).type, 'absent');
    await worlds.until(() => worker.running.size === 1, 'the task');
    worker.end([...worker.running.keys()][0]!, 'done');
    await worlds.until(async () => {
      const shown = await jobService.phaseOf(JOB, 'plans', north);
      return shown.type === 'ok' && shown.value === 'completed';
    }, 'the end');
    const second = world.addEntry('b');
    await callerOf(second, 'south-key');
    for (const {jobService: service} of [first!, second]) {
      const shown = await service.phaseOf(JOB, 'plans', south);
      assert.equal(shown.type, 'absent');
      const own = await service.phaseOf(JOB, 'plans', north);
      assert.equal(own.type, 'ok');
    }
  });
});

// Guards against accepting a job that never runs because its id is taken.
test('an id that another organisation uses is refused', async () => {
  await withEntries(['a'], async (_world, [entry]) => {
    const north = await callerOf(entry!, 'north-key');
    const south = await callerOf(entry!, 'south-key');
    const request = worlds.request(1);
    const submit = (caller: organisations.keyDirectory.Caller) =>
      entry!.jobService.submit(JOB, POLICY, request, caller);
    assert.equal((await submit(north)).type, 'ok');
    await worlds.until(
      async () => (await submit(south)).type === 'invalid',
      'the refusal',
    );
    assert.equal((await submit(north)).type, 'ok');
  });
});

// Guards against keys in the store, where every entry and operator reads them.
test('no key and no hash of a key is stored', async () => {
  await withEntries(['a'], async (world, [entry]) => {
    const north = await callerOf(entry!, 'north-key');
    await entry!.jobService.submit(JOB, POLICY, worlds.request(1), north);
    await worlds.until(() => entry!.status().holdsCell, 'the claim');
    const {jobs, cell} = world.store;
    const stored = JSON.stringify([...jobs.records, ...cell.records]);
    assert.match(stored, /"organisation\\?":\\?"north/);
    assert.doesNotMatch(stored, /north-key/);
    const hash = organisations.apiKey.hashKey('north-key');
    assert.ok(!stored.includes(hash));
  });
});

// Guards against serving a revoked key through a peer: an entry that the store
// refuses can't read the revocation, and forwards its calls.
test('a peer refuses a caller whose keys have changed since it was identified', async () => {
  await withEntries(['a'], async (world, [entry]) => {
    const north = await callerOf(entry!, 'north-key');
    const south = await callerOf(entry!, 'south-key');
    await worlds.publish(world.store, 4, {
      north: {...NORTH, keys: ['new-key']},
      south: {...SOUTH, cores: 3},
    });
    await callerOf(entry!, 'new-key');
    assert.equal(entry!.findCaller('north-key'), undefined);
    const {localJobService} = entry!;
    const request = worlds.request(1);
    const refused = await localJobService.submit(JOB, POLICY, request, north);
    assert.equal(refused.type, 'outdated_caller');
    const accepted = await localJobService.submit(JOB, POLICY, request, south);
    assert.equal(accepted.type, 'ok');
  });
});

// Guards against a job that waits for ever because its gang exceeds the quota.
test('a gang wider than the quota of its organisation is refused', async () => {
  await withEntries(['a'], async (_world, [entry]) => {
    const north = await callerOf(entry!, 'north-key');
    const {steps, ...rest} = worlds.request(3);
    const submit = (gang: boolean) =>
      entry!.jobService.submit(
        JOB,
        POLICY,
        {...rest, steps: steps.map((step) => ({...step, gang}))},
        north,
      );
    const refused = await submit(true);
    assert.ok(refused.type === 'invalid');
    assert.match(refused.message, /step 0: .* exceed the quota of north/);
    assert.equal((await submit(false)).type, 'ok');
  });
});

// Guards against a holder that starts more than an organisation may have
// running, also after it has taken over from another one.
test('a holder and its successor keep the quota of an organisation', async () => {
  await withEntries(['a'], async (world, [first]) => {
    const worker = await world.addWorker('w', 8);
    const north = await callerOf(first!, 'north-key');
    await first!.jobService.submit(JOB, POLICY, worlds.request(4), north);
    await worlds.until(() => worker.running.size === 2, 'two tasks');
    first!.stop();
    const second = world.addEntry('b');
    await worlds.until(() => second.status().holdsCell, 'the takeover');
    worker.end([...worker.running.keys()][0]!, 'done');
    await worlds.until(() => worker.started.length === 3, 'the third task');
    assert.equal(worker.running.size, 2);
  });
});
