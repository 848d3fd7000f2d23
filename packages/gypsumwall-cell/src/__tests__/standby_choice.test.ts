import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as standbyChoice from '../standby_choice.js';

const {test} = nodeTest;

function deployment(
  domains: number,
  perDomain: number,
): standbyChoice.StandbyCandidate[] {
  return Array.from({length: domains * perDomain}, (_none, number) => ({
    instance: `entry-${String(number).padStart(3, '0')}`,
    domain: types.ids.brand<types.ids.FailureDomain>(`d${number % domains}`),
    cores: number % 7 === 0 ? 1.35 : 0.324,
  }));
}

function standbysOf(
  entries: readonly standbyChoice.StandbyCandidate[],
): standbyChoice.StandbyCandidate[] {
  return entries.filter((self) =>
    standbyChoice.isStandby(
      self,
      entries.filter((peer) => peer !== self),
    ),
  );
}

// Guards against idle work that grows with the number of entries.
test('each failure domain has two standbys, however many entries it has', () => {
  for (const perDomain of [2, 20, 60]) {
    const standbys = standbysOf(deployment(5, perDomain));
    assert.equal(standbys.length, 10);
    assert.equal(new Set(standbys.map((one) => one.domain)).size, 5);
  }
});

// Guards against a small entry that takes over a cell which needs a large one.
test('the strongest entries of a failure domain are standbys', () => {
  for (const {cores} of standbysOf(deployment(5, 20))) {
    assert.equal(cores, 1.35);
  }
});

// Guards against a failure domain whose standbys are lost and not replaced.
test('the next strongest entry replaces a standby that is avoided', () => {
  const entries = deployment(1, 5);
  const lost = standbysOf(entries);
  const left = standbysOf(entries.filter((one) => !lost.includes(one)));
  assert.equal(left.length, 2);
});

// Guards against 97 entries that each read every log eight times a second.
test('entries that are not standbys read the logs rarely', async () => {
  const world = worlds.createCellWorld();
  try {
    for (const name of ['a', 'b', 'c']) world.addEntry(name, undefined, 2);
    const observer = {
      ...world.store,
      jobs: worlds.createLogView(world.store.jobs),
      cell: worlds.createLogView(world.store.cell),
    };
    let reads = 0;
    for (const log of [observer.jobs, observer.cell]) {
      const read = log.read.bind(log);
      log.read = (from, waitMs) => {
        reads++;
        return read(from, waitMs);
      };
    }
    const entry = world.addEntry('weak', observer, 0.3);
    await worlds.until(() => entry.status().storeReachable, 'the store');
    await worlds.until(() => reads > 0, 'a first read');
    reads = 0;
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    assert.ok(reads <= 16, `${reads} reads of two logs in 2 s`);
  } finally {
    world.stop();
  }
});

// Guards against callers who learn of a job's end only with the next periodic
// read.
test('an entry that reads rarely reports an end at once', async () => {
  const world = worlds.createCellWorld();
  try {
    const worker = await world.addWorker('w1', 4);
    for (const name of ['a', 'b', 'c']) world.addEntry(name, undefined, 2);
    const entry = world.addEntry('weak', undefined, 0.3);
    await worlds.until(() => entry.status().storeReachable, 'the store');
    const id = types.ids.brand<types.ids.JobId>('job');
    const {queue} = worlds.POLICY;
    await entry.jobService.submit(id, worlds.POLICY, worlds.request(1));
    await worlds.until(() => worker.running.size === 1, 'the task');
    worker.end([...worker.running.keys()][0]!, 'done');
    const endedAt = performance.now();
    await worlds.until(async () => {
      const phase = await entry.jobService.phaseOf(id, queue);
      return phase.type === 'ok' && phase.value === 'completed';
    }, 'completed');
    const tookMs = performance.now() - endedAt;
    assert.ok(tookMs < 250, `${tookMs} ms`);
  } finally {
    world.stop();
  }
});
