import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as fakeLogs from '../__fixtures__/fake_log.js';
import type * as cellHolderTypes from '../cell_holder_types.js';
import type * as jobTable from '../job_table.js';
import * as retention from '../retention.js';

const {test} = nodeTest;
/**
 * Much less than one append can transfer within its timeout on the slowest
 * link.
 */
const MAX_APPEND_RECORDS = 1_000;

function idsOf(count: number): types.ids.JobId[] {
  return Array.from({length: count}, (_none, number) =>
    types.ids.brand<types.ids.JobId>(`job${number}`),
  );
}

/** Starts retention with a holder that returns the given jobs once. */
function startRetention(
  jobsLog: fakeLogs.FakeLog,
  ended: types.ids.JobId[],
): AbortController {
  const stopping = new AbortController();
  let left = ended;
  const holder = {
    takeEndedJobs: () => {
      const taken = left;
      left = [];
      return taken;
    },
    dropProgress: () => Promise.resolve(),
  } as unknown as cellHolderTypes.CellHolder;
  void retention.runRetention(
    {
      jobsLog,
      jobs: {endedBefore: () => []} as unknown as jobTable.JobTable,
      holder: () => holder,
      appendLatencyMs: () => undefined,
      retentionMs: () => 1_000,
      clock: types.clock.createSystemClock(),
      logger: telemetry.logger.createLogger('silent'),
    },
    stopping.signal,
  );
  return stopping;
}

// Guards against entries that take longer to start because they load the
// requests of jobs that finished long ago. The store was unavailable at the one
// moment at which these were to be dropped, and nothing retried.
test('requests that were not dropped are dropped later', async () => {
  const log = fakeLogs.createFakeLog();
  log.fault = 'down';
  const stopping = startRetention(log, idsOf(2));
  await worlds.until(() => log.appends === 1, 'a first try');
  log.fault = 'none';
  try {
    await worlds.until(() => log.records.length === 2, 'dropped', 2_500);
  } finally {
    stopping.abort();
  }
});

// Guards against one append that grows with a burst of finished jobs until it
// always exceeds its timeout.
test('many requests are dropped in several appends', async () => {
  const log = fakeLogs.createFakeLog();
  const append = log.append.bind(log);
  let largest = 0;
  log.append = (entries, options) => {
    largest = Math.max(largest, entries.length);
    return append(entries, options);
  };
  const stopping = startRetention(log, idsOf(5_000));
  try {
    await worlds.until(() => log.records.length === 5_000, 'dropped');
    assert.ok(largest <= MAX_APPEND_RECORDS, `${largest} records at once`);
  } finally {
    stopping.abort();
  }
});

// Guards against a finished job that runs again: its progress was dropped
// although the store had not appended the drop of its request.
test('progress is kept unless the drop of the request was appended', async () => {
  const log = fakeLogs.createFakeLog();
  log.append = () => Promise.resolve(result.ok({type: 'moved'}));
  let isProgressDropped = false;
  const holder = {
    takeEndedJobs: () => [],
    dropProgress: () => {
      isProgressDropped = true;
      return Promise.resolve();
    },
  } as unknown as cellHolderTypes.CellHolder;
  const stopping = new AbortController();
  void retention.runRetention(
    {
      jobsLog: log,
      jobs: {endedBefore: () => idsOf(1)} as unknown as jobTable.JobTable,
      holder: () => holder,
      appendLatencyMs: () => undefined,
      retentionMs: () => 1_000,
      clock: types.clock.createSystemClock(),
      logger: telemetry.logger.createLogger('silent'),
    },
    stopping.signal,
  );
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  stopping.abort();
  assert.equal(isProgressDropped, false);
});
