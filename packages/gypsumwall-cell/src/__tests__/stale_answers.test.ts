import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as cellEntryTypes from '../cell_entry_types.js';
import * as jobTables from '../job_table.js';
import * as peerServers from '../peer_server.js';
import * as storeRecords from '../store_records.js';

const {test} = nodeTest;
const id = (text: string) => types.ids.brand<types.ids.JobId>(text);
const {queue} = worlds.POLICY;
/** Longer than a replica counts as current; milliseconds. */
const STALE_AFTER_MS = 1_700;
/** How long callers wait for an answer; milliseconds. */
const CALLER_TIMEOUT_MS = 3_000;

const pause = (spanMs: number) =>
  new Promise((resolve) => setTimeout(resolve, spanMs));

async function submit(
  entry: cellEntryTypes.CellEntry,
  name: string,
): Promise<void> {
  await worlds.until(() => entry.status().storeReachable, 'the store');
  const answer = await entry.jobService.submit(
    id(name),
    worlds.POLICY,
    worlds.request(1),
  );
  assert.equal(answer.type, 'ok');
}

async function phase(
  service: cellEntryTypes.CellEntry['localJobService'],
  name: string,
): Promise<string> {
  const answer = await service.phaseOf(id(name), queue);
  return answer.type === 'ok' ? answer.value : answer.type;
}

async function pending(
  entry: cellEntryTypes.CellEntry,
): Promise<number | string> {
  const answer = await entry.jobService.pendingIn(queue);
  return answer.type === 'ok' ? answer.value : answer.type;
}

/**
 * A world with one entry, and a view of its store with separate faults for a
 * second entry.
 */
function createWorld() {
  const world = worlds.createCellWorld();
  const {jobs, cell} = world.store;
  const view = {
    ...world.store,
    jobs: worlds.createLogView(jobs),
    cell: worlds.createLogView(cell),
  };
  return {world, view, first: world.addEntry('a')};
}

// Guards against 410 for an accepted job that is done. The entry has just
// started: the job's request has been dropped from one log, the other log,
// which still contains the job, isn't loaded yet, and no peer answers.
test('a job is not reported as absent before both logs are read', async () => {
  const {world, view, first} = createWorld();
  try {
    const worker = await world.addWorker('w1', 4);
    await submit(first, 'job');
    await worlds.until(() => worker.running.size === 1, 'the task');
    worker.end([...worker.running.keys()][0]!, 'done');
    const dropped = storeRecords.encode({
      kind: 'job',
      jobId: id('job'),
      job: undefined,
    });
    await worlds.until(
      () =>
        world.store.jobs.records.some(
          ({key, value}) => key === dropped.key && value === dropped.value,
        ),
      'its request is dropped',
    );
    view.cell.fault = 'down';
    const second = world.addEntry('b', view);
    await worlds.until(() => second.status().storeReachable, 'the store');
    assert.notEqual(await phase(second.jobService, 'job'), 'absent');
  } finally {
    world.stop();
  }
});

// Guards against a finished job that is reported as running. The entry asks a
// peer that the store refuses as well; the peer's answer comes from an equally
// stale replica and is taken as definite, so no other peer is asked.
test('a peer with a stale replica does not answer a query for a state', async () => {
  const {world, view, first} = createWorld();
  const second = world.addEntry('b', view);
  const server = peerServers.createPeerServer({
    adviser: {
      ask: () => Promise.reject(new Error('unexpected advice request')),
    },
    service: second.localJobService,
    isBusy: () => false,
    findPayload: () => Promise.resolve(undefined),
    isLeaving: () => false,
    clock: types.clock.createSystemClock(),
    connect: () => assert.fail('unexpected call of a worker'),
    logger: telemetry.logger.createLogger('silent'),
  });
  try {
    const worker = await world.addWorker('w1', 4);
    await submit(first, 'job');
    await worlds.until(
      async () => (await phase(second.localJobService, 'job')) === 'running',
      'it runs',
    );
    view.jobs.fault = 'down';
    view.cell.fault = 'down';
    worker.end([...worker.running.keys()][0]!, 'done');
    await worlds.until(
      async () => (await phase(first.localJobService, 'job')) === 'completed',
      'it is done',
    );
    await pause(STALE_AFTER_MS);
    const payload = {type: 'phase', id: 'job', queue};
    const res = await server.inject({method: 'POST', url: '/relay', payload});
    assert.notDeepEqual(res.json(), {type: 'ok', value: 'running'});
  } finally {
    await server.close();
    world.stop();
  }
});

// Guards against a job that is reported as queued for good although it was
// cancelled and dropped. The entry couldn't read until the store had compacted
// the deletion records; a load only contains existing records, and the entry
// kept what the load didn't contain.
test('jobs that a load does not contain are dropped', async () => {
  const {world, view, first} = createWorld();
  try {
    const second = world.addEntry('b', view);
    await submit(first, 'job');
    await worlds.until(
      async () => (await pending(second)) === 1,
      'the job is pending',
    );
    view.jobs.fault = 'down';
    view.cell.fault = 'down';
    await first.jobService.cancel(id('job'), queue);
    await worlds.until(async () => (await pending(first)) === 0, 'cancelled');
    // Like retention after the retention period of the job's state.
    const jobId = id('job');
    await world.store.jobs.append(
      [
        storeRecords.encode({kind: 'job', jobId, job: undefined}),
        storeRecords.encode({kind: 'cancel', jobId, dropped: true}),
      ],
      {timeoutMs: 1},
    );
    const dropped = {kind: 'progress', jobId, queue, progress: undefined};
    await world.store.cell.append(
      [storeRecords.encode(dropped as storeRecords.StoreRecord)],
      {timeoutMs: 1},
    );
    world.store.jobs.compact();
    world.store.cell.compact();
    view.jobs.fault = 'none';
    view.cell.fault = 'none';
    await worlds.until(async () => (await pending(second)) === 0, 'forgotten');
  } finally {
    world.stop();
  }
});

// Guards against a finished job that stays queued at an entry, which would run
// it again as holder. The entry loaded the jobs' log just before the job's last
// records were dropped, and the cell's log just after. A dropped request must
// not be taken for a queued job.
test('a job whose request was dropped is not pending', () => {
  const jobs = jobTables.createJobTable({
    onAdded: () => {},
    onCancelled: () => {},
  });
  const now = 0 as types.clock.MonotonicMs;
  const jobId = id('job');
  const job = {
    request: worlds.request(1),
    policy: worlds.POLICY,
    acceptedAt: 0 as types.clock.WallMs,
  };
  jobs.apply({kind: 'progress', jobId, queue, progress: undefined}, now);
  jobs.apply({kind: 'job', jobId, job}, now);
  jobs.apply({kind: 'job', jobId, job: undefined}, now);
  assert.equal(jobs.pendingIn(queue), 0);
});

// Guards against a permanent refusal (400) of a job as too large while a worker
// accepts such jobs. The entry judges by a replica of the cell's log that is
// stale because the store has refused the entry.
test('a stale replica refuses no job as too large', async () => {
  const {world, view, first} = createWorld();
  try {
    const small = await world.addWorker('small', 1);
    const second = world.addEntry('b', view);
    await submit(first, 'job');
    await worlds.until(
      () => small.running.size === 1,
      'the small worker runs a task',
    );
    await worlds.until(
      async () => (await phase(second.localJobService, 'job')) === 'running',
      'both entries know the job',
    );
    view.cell.fault = 'down';
    const large = await world.addWorker('large', 8);
    const {steps, ...rest} = worlds.request(1);
    const size = {...steps[0]!.size, cpuMillis: 4_000};
    const request = {...rest, steps: [{...steps[0]!, size}]};
    await worlds.until(
      async () =>
        (await first.jobService.submit(id('one'), worlds.POLICY, request))
          .type === 'ok',
      'the other entry accepts such a job',
    );
    await worlds.until(() => large.running.size === 1, 'it runs');
    await pause(STALE_AFTER_MS);
    const answer = await second.jobService.submit(
      id('two'),
      worlds.POLICY,
      request,
    );
    assert.notEqual(answer.type, 'invalid');
  } finally {
    world.stop();
  }
});

// Guards against a cancellation that isn't answered before its deadline, nor
// when it is retried. The job was accepted elsewhere while the store refused
// this entry, which now needs seconds to read what it missed. Peers know the
// job but weren't asked.
test('a cancel is answered in time by an entry that is far behind', async () => {
  const {world, view, first} = createWorld();
  try {
    const second = world.addEntry('b', view);
    await submit(second, 'early');
    view.jobs.fault = 'down';
    for (let number = 0; number < 60; number++) {
      await submit(first, `late${number}`);
    }
    const read = view.jobs.read.bind(view.jobs);
    view.jobs.read = async (from, waitMs) => {
      const answer = await read(from, waitMs);
      await pause(100);
      return answer;
    };
    world.store.jobs.maxReadRecords = 1;
    view.jobs.fault = 'none';
    await worlds.until(() => second.status().storeReachable, 'the store');
    const startedAt = performance.now();
    await second.jobService.cancel(id('late59'), queue);
    const tookMs = performance.now() - startedAt;
    assert.ok(tookMs < CALLER_TIMEOUT_MS, `answered after ${tookMs} ms`);
  } finally {
    world.stop();
  }
});

// Guards against an entry that claims the cell repeatedly although its holder
// is healthy. A read of the log that takes longer than a holder may be silent
// looks like silence, so the entry must wait for such reads.
test('an entry with a slow read does not consider the holder silent', async () => {
  const {world, view, first} = createWorld();
  try {
    await worlds.until(() => first.status().holdsCell, 'the cell is held');
    const read = view.cell.read.bind(view.cell);
    let claims = 0;
    const append = view.cell.append.bind(view.cell);
    view.cell.append = (entries, options) => {
      claims++;
      return append(entries, options);
    };
    view.cell.read = async (from, waitMs) => {
      const answer = await read(from, waitMs);
      await pause(1_200);
      return answer;
    };
    world.addEntry('b', view);
    await pause(4_000);
    assert.equal(claims, 0);
  } finally {
    world.stop();
  }
});
