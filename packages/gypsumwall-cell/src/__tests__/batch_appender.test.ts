/** Load: a store that takes long for each append, and callers with deadlines. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as fakeLogs from '../__fixtures__/fake_log.js';
import * as batchAppenders from '../batch_appender.js';
import * as jobServices from '../job_service.js';
import * as jobTables from '../job_table.js';
import type * as logFollower from '../log_follower.js';
import type * as ports from '../ports.js';
import * as storeHealths from '../store_health.js';

const {test} = nodeTest;
const APPEND_MS = 800;
const LINE_MS = 2_000;

/** A log that takes long for each append. */
function createLongLog(clock: types.clock.Clock, appendMs = APPEND_MS) {
  const log = fakeLogs.createFakeLog('jobs');
  const append = log.append.bind(log);
  const sent: string[][] = [];
  log.append = async (entries, options) => {
    sent.push(entries.map(({key}) => key));
    await types.clock.pause(clock, appendMs);
    return append(entries, options);
  };
  return {log, sent};
}

function describe(answer: Awaited<ports.Answer<ports.AppendOutcome>>): string {
  return result.isOk(answer) ? answer.value.type : answer.error.effect;
}

test('a record is answered at its deadline, and refused if it was not sent', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const {log, sent} = createLongLog(clock);
  const appender = batchAppenders.createBatchAppender({
    log,
    clock,
    storeHealth: storeHealths.createStoreHealth(),
    isStoreAway: () => false,
    mayHandOn: () => false,
  });
  const answers: Record<string, string> = {};
  async function append(key: string, withinMs: number): Promise<void> {
    const until = types.clock.after(clock.monotonic(), withinMs);
    const answer = await appender.append({key, value: 'x'}, until);
    answers[key] = `${describe(answer)} at ${clock.monotonic()}`;
  }
  void append('first', 2_000);
  await clock.runUntil(100);
  void append('waits', 1_800);
  void append('late', 300);
  await clock.runUntil(1_700);
  void append('in flight', 3_000);
  await clock.runUntil(1_750);
  void append('hopeless', 200);
  void append('unanswered', 1_000);
  await clock.runUntil(6_000);
  assert.deepEqual(answers, {
    late: 'not_run at 400',
    first: 'appended at 800',
    waits: 'appended at 1600',
    hopeless: 'not_run at 1750',
    'in flight': 'appended at 2500',
    unanswered: 'unknown at 2750',
  });
  const keys = sent.flat();
  assert.ok(!keys.includes('late') && !keys.includes('hopeless'));
});

// Guards against a line of appends whose callers have all been answered.
test('a batch waits for the one before it, whatever its deadline', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const {log, sent} = createLongLog(clock, LINE_MS);
  const appender = batchAppenders.createBatchAppender({
    log,
    clock,
    storeHealth: storeHealths.createStoreHealth(),
    isStoreAway: () => false,
    mayHandOn: () => false,
  });
  const append = (key: string, withinMs: number) =>
    appender.append(
      {key, value: 'x'},
      types.clock.after(clock.monotonic(), withinMs),
    );
  const first = append('first', 500);
  await clock.runUntil(700);
  assert.equal(describe(await first), 'unknown');
  void append('second', 3_000);
  await clock.runUntil(1_100);
  assert.deepEqual(sent.flat(), ['first']);
  await clock.runUntil(5_000);
  assert.equal(sent.flat().at(-1), 'second');
});

// Guards against a longer line by those who wait in it: a caller that is given
// no answer asks again with the same id.
test('a repeat shares the append of the call before it', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const {log, sent} = createLongLog(clock);
  const follower = {
    reachableSince: () => clock.monotonic(),
    catchUp: () => Promise.resolve(true),
  } as unknown as logFollower.LogFollower;
  const service = jobServices.createJobService({
    jobsLog: log,
    jobs: jobTables.createJobTable({onAdded: () => {}, onCancelled: () => {}}),
    follower,
    pulse: storeHealths.createStoreHealth(),
    copyAgeMs: () => 0,
    catchUp: () => Promise.resolve(true),
    refreshStates: () => Promise.resolve(true),
    mayHandOn: () => false,
    clock,
    logger: telemetry.logger.createLogger('silent'),
    couldEverFit: () => true,
  });
  const id = types.ids.brand<types.ids.JobId>('job');
  const answers: string[] = [];
  async function submit(): Promise<void> {
    const answer = await service.submit(id, worlds.POLICY, worlds.request(1));
    answers.push(answer.type);
  }
  void submit();
  await clock.runUntil(300);
  void submit();
  await clock.runUntil(3_000);
  assert.deepEqual(answers, ['ok', 'ok']);
  assert.equal(sent.length, 1);
});
