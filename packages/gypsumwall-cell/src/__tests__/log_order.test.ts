import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as fakeLogs from '../__fixtures__/fake_log.js';
import * as logFollower from '../log_follower.js';
import type * as ports from '../ports.js';
import * as storeHealth from '../store_health.js';

const {test} = nodeTest;

/** Wait of the reads of a running follower, told apart by it; milliseconds. */
const RUN_WAIT_MS = 10;

function createFollower(
  log: ports.KeyedLog,
  onRecords: (records: readonly ports.KeyedRecord[]) => void,
): logFollower.LogFollower {
  return logFollower.createLogFollower({
    log,
    clock: types.clock.createSystemClock(),
    logger: telemetry.logger.createLogger('silent'),
    storeHealth: storeHealth.createStoreHealth(),
    onRecords,
    pauseMs: () => 1,
    readWaitMs: RUN_WAIT_MS,
  });
}

interface Gate {
  readonly passed: Promise<void>;
  open(): void;
}

function createGate(): Gate {
  let open = () => {};
  const passed = new Promise<void>((resolve) => (open = resolve));
  return {passed, open: () => open()};
}

const pause = (spanMs: number) =>
  new Promise((resolve) => setTimeout(resolve, spanMs));

/** Keeps all records; those before `first` can't be read one by one. */
function createPagedLog() {
  const records: ports.KeyedRecord[] = [];
  const newestOfKeys = () => {
    const newest = new Map<string, ports.KeyedRecord>();
    for (const record of records) newest.set(record.key, record);
    return [...newest.values()].sort((a, b) => (a.key < b.key ? -1 : 1));
  };
  return {
    first: 0,
    add(key: string, value: string) {
      records.push({key, value, offset: records.length});
    },
    /** One record at a time. */
    read(from: number): ports.ReadOutcome {
      if (from < this.first) return {type: 'compacted'};
      const part = records.slice(from, from + 1);
      return {type: 'records', records: part, endOffset: records.length};
    },
    /** One key a page. */
    page(after: string | undefined): ports.NewestPage {
      const left = newestOfKeys().filter(({key}) => key > (after ?? ''));
      return {
        records: left.slice(0, 1),
        endOffset: records.length,
        nextAfter: left.length > 1 ? left[0]!.key : undefined,
      };
    },
  };
}

// A job that is done is told to run, for good. Two reads were on their way when
// the store dropped old records. The first brought a load, after which the log
// was read on. The second's answer came late and brought another load; it put
// what was read meanwhile back to what it was, and the position with it, and a
// read from the later position then passed over what lies between.
test('a late word of dropped records brings no old record back', async () => {
  const stored = createPagedLog();
  const [lateCompacted, heldPage, heldRead] = [1, 2, 3].map(createGate);
  let loads = 0;
  let held = false;
  const log: ports.KeyedLog = {
    ...fakeLogs.createFakeLog(),
    async newest(after) {
      if (after === undefined) loads++;
      const page = stored.page(after);
      await pause(1);
      if (after === 'a' && loads === 3) {
        held = true;
        await heldPage!.passed;
      }
      return result.ok(page);
    },
    async read(from, waitMs) {
      await pause(1);
      if (waitMs === RUN_WAIT_MS) await lateCompacted!.passed;
      const answer = stored.read(from);
      if (held && from === 4) await heldRead!.passed;
      return result.ok(answer);
    },
  };
  const known = new Map<string, string>();
  const follower = createFollower(log, (records) => {
    for (const {key, value} of records) known.set(key, value);
  });
  stored.add('a', '1');
  stored.add('k', 'runs');
  void follower.run();
  while (follower.position() !== 2) await pause(1);
  stored.add('x', '1');
  stored.first = 3;
  await follower.catchUp();
  assert.equal(follower.position(), 3);
  lateCompacted!.open();
  // Time for a second load, if there is to be one.
  await pause(50);
  stored.add('k', 'done');
  stored.add('z', '1');
  const caughtUp = follower.catchUp();
  while ((follower.position() ?? 0) < 4) await pause(1);
  heldPage!.open();
  await pause(20);
  heldRead!.open();
  assert.equal(await caughtUp, true);
  await pause(50);
  follower.stop();
  assert.ok(follower.completeUntil() !== undefined);
  assert.equal(known.get('k'), 'done');
});

// From one bad answer of the store on, some questions about jobs get 500, for
// good: whoever waited for the next reading when the bad one ended is still
// waited for, and so each later question that comes during a reading.
test('a reading that broke off is not shared for good', async () => {
  const log = fakeLogs.createFakeLog();
  const follower = createFollower(log, () => {});
  await follower.catchUp();
  const read = log.read.bind(log);
  log.read = async () => {
    await pause(1);
    throw new Error('the answer can not be read');
  };
  const broken = [follower.catchUp(), follower.catchUp()];
  await Promise.allSettled(broken);
  log.read = read;
  const later = await Promise.allSettled([
    follower.catchUp(),
    follower.catchUp(),
  ]);
  assert.deepEqual(
    later.map(({status}) => status),
    ['fulfilled', 'fulfilled'],
  );
});

// The number of waiting jobs lacks some, and is told as complete. One record
// couldn't be taken in; those that came with it count as known all the same.
test('a copy that lacks records does not count as complete', async () => {
  const log = fakeLogs.createFakeLog();
  const seen: string[] = [];
  const follower = createFollower(log, (records) => {
    for (const {key} of records) {
      if (key === 'bad' && !seen.includes(key)) {
        seen.push(key);
        throw new Error('a record that is none');
      }
      seen.push(key);
    }
  });
  await follower.catchUp();
  for (const key of ['bad', 'job']) {
    await log.append([{key, value: '1'}], {timeoutMs: 1});
  }
  await assert.rejects(follower.catchUp());
  const acknowledgedAt = performance.now();
  await follower.catchUp();
  const complete = (follower.completeUntil() ?? 0) >= acknowledgedAt;
  assert.ok(!complete || seen.includes('job'), 'the job was never handed on');
});

// The store is asked without a pause, by every entry: the next record is larger
// than the largest read, so each answer says that the log goes on, and brings
// nothing.
test('a log that goes on and brings nothing is not read without pause', async () => {
  const log = fakeLogs.createFakeLog();
  let reads = 0;
  log.read = async (from) => {
    reads++;
    await pause(1);
    return result.ok({type: 'records', records: [], endOffset: from + 1});
  };
  const follower = createFollower(log, () => {});
  void follower.run();
  await pause(500);
  follower.stop();
  assert.ok(reads < 20, `${reads} reads in half a second`);
});
