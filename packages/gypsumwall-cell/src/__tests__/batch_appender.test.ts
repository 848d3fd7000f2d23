/** Load: a store that holds or refuses the appends of one entry. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as fakeLogs from '../__fixtures__/fake_log.js';
import * as batchAppenders from '../batch_appender.js';
import type * as ports from '../ports.js';
import * as storeHealth from '../store_health.js';

const {test} = nodeTest;
const SEND_TIMEOUT_MS = 1_000;
const APPEND_TIMEOUT_MS = 2_400;
const ARRIVAL_MS = 50;

/** An appender whose calls the store first holds, or refuses, for a time. */
function createWorld(fault: 'holds' | 'refuses', faultMs: number) {
  const clock = types.virtualClock.createVirtualClock();
  const log = fakeLogs.createFakeLog();
  const append = log.append.bind(log);
  const soundAt = types.clock.after(clock.monotonic(), faultMs);
  log.append = async (entries, options) => {
    if (fault === 'holds') await clock.sleepUntil(soundAt);
    if (clock.monotonic() >= soundAt) return append(entries, options);
    return result.err<ports.AppendOutcome, types.stepError.StepError>({
      kind: 'refused',
      step: 'append',
      peer: 'store',
      effect: 'not_run',
      message: 'too many queued appends',
    });
  };
  const appender = batchAppenders.createBatchAppender({
    log,
    clock,
    storeHealth: storeHealth.createStoreHealth(),
    isStoreUnavailable: () => false,
    canForward: () => false,
    onAppended: () => {},
  });

  /** Appends one record now; returns the outcome and how long it took. */
  async function submit(nth: number) {
    const startedAt = clock.monotonic();
    const answer = await appender.append(
      {key: `j${nth}`, value: '{}'},
      {
        sendBy: types.clock.after(startedAt, SEND_TIMEOUT_MS),
        until: types.clock.after(startedAt, APPEND_TIMEOUT_MS),
      },
    );
    return {nth, answer, tookMs: clock.monotonic() - startedAt};
  }

  /** Appends records at regular intervals, and returns all outcomes. */
  async function submitEvery(count: number) {
    const calls: ReturnType<typeof submit>[] = [];
    for (let nth = 0; nth < count; nth++) {
      calls.push(submit(nth));
      await types.clock.sleepFor(clock, ARRIVAL_MS);
    }
    return Promise.all(calls);
  }

  return {clock, log, appender, submitEvery};
}

// Guards against callers who are held until their deadline behind an append
// that the store doesn't answer: 272 of them at a slow store.
test('a record that cannot be sent in time is refused, and is not sent', async () => {
  const {clock, log, submitEvery} = createWorld('holds', 2_200);
  const outcomes = submitEvery(40);
  await clock.runUntil(5_000);
  const refused = (await outcomes).filter(({answer}) => result.isErr(answer));
  const stored = new Set(log.records.map(({key}) => key));
  assert.ok(refused.length >= 25, `${refused.length} refused`);
  for (const {nth, answer, tookMs} of refused) {
    assert.ok(result.isErr(answer) && answer.error.effect === 'not_run');
    assert.ok(!stored.has(`j${nth}`), `j${nth} was refused and stored`);
    assert.ok(tookMs <= SEND_TIMEOUT_MS, `j${nth} was held for ${tookMs} ms`);
  }
  const late = (await outcomes)[30]!;
  assert.ok(late.tookMs < 10, `the 31st was held for ${late.tookMs} ms`);
});

// Guards against an entry whose one refused record takes the next free place in
// the store's queue, while the records that came after it wait.
test('records that arrive while the store refuses a batch are sent with it', async () => {
  const {clock, log, submitEvery} = createWorld('refuses', 600);
  const outcomes = submitEvery(10);
  await clock.runUntil(5_000);
  assert.ok((await outcomes).every(({answer}) => result.isOk(answer)));
  assert.equal(log.records.length, 10);
  assert.ok(log.appends <= 3, `${log.appends} accepted appends`);
});

// Guards against a Retry-After that comes before the queue can have drained.
test('the wait covers the open call, as far as earlier ones tell', async () => {
  const {clock, appender, submitEvery} = createWorld('holds', 900);
  const outcomes = submitEvery(1);
  await clock.runUntil(400);
  assert.ok(appender.waitMs() >= 400, `${appender.waitMs()} ms`);
  await clock.runUntil(2_000);
  assert.ok(result.isOk((await outcomes)[0]!.answer));
  assert.equal(appender.waitMs(), 0);
});
