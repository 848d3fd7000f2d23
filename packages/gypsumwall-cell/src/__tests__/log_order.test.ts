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

/**
 * How long reads of a running follower wait, by which they can be recognised;
 * milliseconds.
 */
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

/** Stores all records; those before `first` count as compacted. */
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
    /** Returns one record at a time. */
    read(from: number): ports.ReadOutcome {
      if (from < this.first) return {type: 'compacted'};
      const part = records.slice(from, from + 1);
      return {type: 'records', records: part, endOffset: records.length};
    },
    /** Returns one key per page. */
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

// Guards against a finished job that is reported as running for good. Two reads
// were in flight when the store compacted old records. The first caused a load,
// after which the log was read on. The second was answered late and caused
// another load, which reset the records read meanwhile and the position; a read
// from the later position then skipped the records between.
test('a late answer about compacted records restores no old record', async () => {
  const stored = createPagedLog();
  const [lateCompacted, heldPage, heldRead] = [1, 2, 3].map(createGate);
  let loads = 0;
  let isPageHeld = false;
  const log: ports.KeyedLog = {
    ...fakeLogs.createFakeLog(),
    async newest(after) {
      if (after === undefined) loads++;
      const page = stored.page(after);
      await pause(1);
      if (after === 'a' && loads === 3) {
        isPageHeld = true;
        await heldPage!.passed;
      }
      return result.ok(page);
    },
    async read(from, waitMs) {
      await pause(1);
      if (waitMs === RUN_WAIT_MS) await lateCompacted!.passed;
      const answer = stored.read(from);
      if (isPageHeld && from === 4) await heldRead!.passed;
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
  // Time for a second load, in case there is one.
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

// Guards against queries about jobs that fail with 500 for good after one bad
// answer of the store. The promise of a queued read was rejected together with
// the read before it and never cleared, so all later queries shared the
// rejection.
test('a failed read is not shared for good', async () => {
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

// Guards against an incomplete count of pending jobs that is returned as
// complete: one record couldn't be applied, and those read together with it
// counted as known.
test('a replica that lacks records does not count as complete', async () => {
  const log = fakeLogs.createFakeLog();
  const seen: string[] = [];
  const follower = createFollower(log, (records) => {
    for (const {key} of records) {
      if (key === 'bad' && !seen.includes(key)) {
        seen.push(key);
        throw new Error('not a record');
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
  assert.ok(!complete || seen.includes('job'), 'the job was never passed on');
});

// Guards against entries that read without a pause. The next record is larger
// than the largest read, so each answer says that the log goes on but contains
// no record.
test('a log whose next record is never returned is not read without pause', async () => {
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
