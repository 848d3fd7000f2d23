/** Load: a log that is too slow for an answer, and one that refuses. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as fakeLogs from '../__fixtures__/fake_log.js';
import * as entryRegistration from '../entry_registration.js';

const {test} = nodeTest;
const SPAN_MS = 10_000;
const LINE_MS = 2_000;

async function countAppends(
  append: (
    log: fakeLogs.FakeLog,
    clock: types.clock.Clock,
  ) => fakeLogs.FakeLog['append'],
  isRegistered = () => false,
): Promise<number> {
  const clock = types.virtualClock.createVirtualClock();
  const log = fakeLogs.createFakeLog('jobs');
  let appends = 0;
  const troubled = append(log, clock);
  const jobsLog = {
    ...log,
    append: (...call: Parameters<typeof troubled>) => {
      appends++;
      return troubled(...call);
    },
  };
  const stopping = new AbortController();
  void entryRegistration.registerEntry(
    {
      self: {
        entryId: types.ids.brand('a.1'),
        instance: 'a',
        domain: types.ids.brand('d1'),
        peerAddress: '127.0.0.1:1',
        cores: 1,
      },
      jobsLog,
      isRegistered,
      clock,
      logger: telemetry.logger.createLogger('silent'),
    },
    stopping.signal,
  );
  await clock.runUntil(SPAN_MS);
  stopping.abort();
  return appends;
}

// Guards against entries that start together and fill the line of a slow log
// with appends that they have given up.
test('an entry registers once through a line of appends', async () => {
  const appends = await countAppends((log, clock) => {
    const append = log.append.bind(log);
    return async (entries, options) => {
      const lineMs = Math.min(LINE_MS, options.timeoutMs);
      await types.clock.pause(clock, lineMs);
      if (lineMs < LINE_MS) log.trouble = 'answer_lost';
      return append(entries, options);
    };
  });
  assert.equal(appends, 1);
});

test('an entry that is refused asks less and less often', async () => {
  const refuse = (log: fakeLogs.FakeLog) => {
    log.trouble = 'down';
    return log.append.bind(log);
  };
  const appends = await countAppends(refuse);
  assert.ok(appends >= 4 && appends <= 8, `${appends} appends`);
});

test('an entry whose record is read does not register again', async () => {
  let registered = false;
  const loseAnswers = (log: fakeLogs.FakeLog) => {
    log.trouble = 'answer_lost';
    const append = log.append.bind(log);
    return (...call: Parameters<typeof append>) => {
      registered = true;
      return append(...call);
    };
  };
  assert.equal(await countAppends(loseAnswers, () => registered), 1);
});
