import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as hedge from '../hedge.js';
import type * as ports from '../ports.js';
import * as storeHealth from '../store_health.js';

const {test} = nodeTest;
const CALL_MS = 2;
const DEADLINE_MS = 2_000;

// Load: a store that loses the first call and refuses the others at once. Each
// refusal was followed by another call without a pause, 500 a second.
test('refused calls are repeated with pauses while an earlier one is open', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const health = storeHealth.createStoreHealth();
  let calls = 0;
  const call = async (): ports.Answer<never> => {
    calls++;
    await types.clock.sleepFor(clock, calls === 1 ? DEADLINE_MS : CALL_MS);
    return result.err({
      kind: 'refused',
      step: 'append',
      peer: 'store',
      effect: 'not_run',
      message: 'too many queued appends',
    });
  };
  const until = types.clock.after(clock.monotonic(), DEADLINE_MS);
  const answer = hedge.createHedger(clock, health).hedge({call, until});
  await clock.runUntil(DEADLINE_MS * 2);
  assert.ok(result.isErr(await answer));
  assert.ok(calls <= DEADLINE_MS / 40, `${calls} calls`);
});

// Guards against a store that answers each call with an error and gets 25 calls
// a second from every entry for each of its appends.
test('the pause between refused calls grows', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const health = storeHealth.createStoreHealth();
  let calls = 0;
  const call = (): ports.Answer<never> => {
    calls++;
    return Promise.resolve(
      result.err({
        kind: 'invalid',
        step: 'append',
        peer: 'store',
        effect: 'unknown',
        message: 'status 500',
      }),
    );
  };
  const until = types.clock.after(clock.monotonic(), 2_400);
  const answer = hedge.createHedger(clock, health).hedge({call, until});
  await clock.runUntil(3_000);
  assert.ok(result.isErr(await answer));
  assert.ok(calls <= 20, `${calls} calls in 2.4 s`);
});

const ENTRIES = 100;
const APPEND_MS = 4;
const BACKLOG_MS = 600;
const ROUND_MS = 1_000;
const ROUNDS = 5;

// Guards against a queue of appends that outlives its cause: reads don't wait in
// it and stay quick, so 97 entries sent their appends again every 120 ms, and
// the log took 480 appends a second for 60 jobs.
test('appends that queue behind others are not sent again and again', async () => {
  const clock = types.virtualClock.createVirtualClock();
  let freeAt: number = clock.monotonic() + BACKLOG_MS;
  let calls = 0;
  let lastRoundMs = 0;
  const append = async (): ports.Answer<void> => {
    calls++;
    freeAt = Math.max(freeAt, clock.monotonic()) + APPEND_MS;
    await types.clock.sleepFor(clock, freeAt - clock.monotonic());
    return result.ok(undefined);
  };
  async function runEntry(nth: number): Promise<void> {
    const hedger = hedge.createHedger(clock, {
      ...storeHealth.createStoreHealth(),
      hasQuickReadSince: () => true,
    });
    await types.clock.sleepFor(clock, (nth * ROUND_MS) / ENTRIES);
    for (let round = 0; round < ROUNDS; round++) {
      const startedAt = clock.monotonic();
      const until = types.clock.after(startedAt, DEADLINE_MS);
      await hedger.hedge({call: append, until});
      lastRoundMs = clock.monotonic() - startedAt;
      await types.clock.sleepFor(clock, ROUND_MS - lastRoundMs);
    }
  }
  const entries = Array.from({length: ENTRIES}, (_, nth) => runEntry(nth));
  await clock.runUntil(ROUNDS * DEADLINE_MS + BACKLOG_MS);
  await Promise.all(entries);
  assert.ok(calls <= ENTRIES * ROUNDS * 1.5, `${calls} calls`);
  assert.ok(lastRoundMs <= 100, `the last append took ${lastRoundMs} ms`);
});

// Guards against a holder that is replaced while the store loses a third of its
// answers: three of them in a row kept it silent for 0.84 s.
test('the only writer of a log does not back off while answers are lost', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const health = {
    ...storeHealth.createStoreHealth(),
    hasQuickReadSince: () => true,
  };
  let calls = 0;
  const call = async (): ports.Answer<void> => {
    calls++;
    await types.clock.sleepFor(clock, calls <= 3 ? DEADLINE_MS : CALL_MS);
    return result.ok(undefined);
  };
  const startedAt = clock.monotonic();
  const until = types.clock.after(startedAt, DEADLINE_MS);
  const answer = hedge
    .createHedger(clock, health, {hasSingleWriter: true})
    .hedge({call, until})
    .then(() => clock.monotonic() - startedAt);
  await clock.runUntil(DEADLINE_MS * 2);
  const tookMs = await answer;
  assert.ok(tookMs <= 500, `answered after ${tookMs} ms`);
});

// Guards against batches of the only writer that queue behind repeats of the
// earlier ones, at a store whose appends take longer than the shortest timeout.
test('the only writer of a log does not keep a slow store busy', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const appendMs = 240;
  const batches = 20;
  let freeAt: number = clock.monotonic();
  let calls = 0;
  let lastMs = 0;
  const call = async (): ports.Answer<void> => {
    calls++;
    freeAt = Math.max(freeAt, clock.monotonic()) + appendMs;
    await types.clock.sleepFor(clock, freeAt - clock.monotonic());
    return result.ok(undefined);
  };
  const hedger = hedge.createHedger(
    clock,
    {...storeHealth.createStoreHealth(), hasQuickReadSince: () => true},
    {hasSingleWriter: true},
  );
  async function write(): Promise<void> {
    for (let nth = 0; nth < batches; nth++) {
      const startedAt = clock.monotonic();
      const until = types.clock.after(startedAt, 4_000);
      await hedger.hedge({call, until});
      lastMs = clock.monotonic() - startedAt;
    }
  }
  const written = write();
  await clock.runUntil(60_000);
  await written;
  assert.ok(calls <= batches * 1.5, `${calls} calls`);
  assert.ok(lastMs <= appendMs * 2, `the last batch took ${lastMs} ms`);
});

// Guards against a holder that falls silent because the late answer of a call
// whose repeat was answered raised the timeout of the next ones.
test('a late answer does not delay the repeats of later calls', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const delaysMs = [1_000, CALL_MS, DEADLINE_MS, DEADLINE_MS, CALL_MS];
  const call = async (): ports.Answer<void> => {
    await types.clock.sleepFor(clock, delaysMs.shift() ?? CALL_MS);
    return result.ok(undefined);
  };
  const hedger = hedge.createHedger(
    clock,
    {...storeHealth.createStoreHealth(), hasQuickReadSince: () => true},
    {hasSingleWriter: true},
  );
  async function write(): Promise<number> {
    const startedAt = clock.monotonic();
    const until = types.clock.after(startedAt, DEADLINE_MS);
    await hedger.hedge({call, until});
    return clock.monotonic() - startedAt;
  }
  async function run(): Promise<number> {
    await write();
    await types.clock.sleepFor(clock, 1_000);
    return write();
  }
  const tookMs = run();
  await clock.runUntil(10_000);
  assert.ok((await tookMs) <= 500, `answered after ${await tookMs} ms`);
});
