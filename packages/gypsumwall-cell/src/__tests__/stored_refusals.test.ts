import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as fakeLogs from '../__fixtures__/fake_log.js';
import * as cellEntry from '../cell_entry.js';
import type * as ports from '../ports.js';

const {test} = nodeTest;
const id = types.ids.brand<types.ids.JobId>('job');

// Guards against a refusal of a job whose record this entry reads while the call
// is in progress, and whose tasks it starts as the holder.
test('a submission is not refused if its record is in the log by then', async () => {
  const shared = fakeLogs.createFakeLog('jobs');
  const jobs = {
    ...shared,
    async append(
      ...call: Parameters<ports.KeyedLog['append']>
    ): ports.Answer<ports.AppendOutcome> {
      const answer = await shared.append(...call);
      if (!call[0].some(({key}) => key === `j${id}`)) return answer;
      return result.err({
        kind: 'refused',
        step: 'append',
        peer: 'store',
        effect: 'not_run',
        message: 'refused, and stored',
      });
    },
  };
  const entry = cellEntry.createCellEntry({
    self: {
      entryId: types.ids.brand('a.1'),
      instance: 'a',
      domain: types.ids.brand('d1'),
      peerAddress: '127.0.0.1:1',
      cores: 1,
    },
    logs: {
      jobs,
      cell: fakeLogs.createFakeLog('cell'),
      config: fakeLogs.createFakeLog('config'),
      workers: fakeLogs.createFakeLog('workers'),
    },
    decodeConfig: () => result.err('none'),
    decodeWorker: () => result.err('none'),
    connect: () => {
      throw new Error('no worker');
    },
    adviser: {ask: () => Promise.resolve(result.ok(new Map()))},
    leaseMs: 1_000,
    longestStopMs: 900,
    listExpiryMs: 3_000,
    retentionMs: () => 60_000,
    clock: types.clock.createSystemClock(),
    random: types.random.createRandom(1),
    logger: telemetry.logger.createLogger('silent'),
  });
  entry.start();
  try {
    await worlds.until(() => entry.status().holdsCell, 'a holder');
    const answer = await entry.jobService.submit(
      id,
      worlds.POLICY,
      worlds.request(1),
    );
    assert.equal(shared.records.at(-1)?.key, `j${id}`);
    const shown = await entry.jobService.phaseOf(id, worlds.POLICY.queue);
    assert.deepEqual([answer.type, shown.type], ['ok', 'ok']);
  } finally {
    entry.stop();
  }
});
