/**
 * Load: a log with appends in line for two seconds, of a store whose reads are
 * quick; and a store that loses answers.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as hedge from '../hedge.js';
import * as storeHealths from '../store_health.js';

const {test} = nodeTest;
const LINE_MS = 2_000;
const USUAL_MS = 5;
const PATIENCE_MS = 2_400;
const READ_EVERY_MS = 50;

/** A hedger beside which the log is read all the time, quickly. */
function createHedgerBesideReads() {
  const clock = types.virtualClock.createVirtualClock();
  const health = storeHealths.createStoreHealth();
  const hedger = hedge.createHedger(clock, health);
  async function readAllTheTime(endMs: number): Promise<void> {
    while (clock.monotonic() < endMs) {
      const sentAt = clock.monotonic();
      await types.clock.pause(clock, USUAL_MS);
      health.noteRead(sentAt, clock.monotonic());
      await types.clock.pause(clock, READ_EVERY_MS);
    }
  }
  return {clock, hedger, readAllTheTime};
}

// Guards against a line of appends that keeps itself full: each append in it
// was sent again up to twenty times, since reads don't wait in that line.
test('appends that wait in line are not sent again and again', async () => {
  const {clock, hedger, readAllTheTime} = createHedgerBesideReads();
  const sent: number[] = [];
  async function submit(): Promise<void> {
    let calls = 0;
    const answer = await hedger.hedged({
      until: types.clock.after(clock.monotonic(), PATIENCE_MS),
      async call() {
        calls++;
        await types.clock.pause(clock, LINE_MS);
        return result.ok(undefined);
      },
    });
    assert.ok(result.isOk(answer));
    sent.push(calls);
  }
  async function submitTwice(): Promise<void> {
    await submit();
    await submit();
  }
  void readAllTheTime(10_000);
  const submitted = submitTwice();
  await clock.runUntil(10_000);
  await submitted;
  assert.ok(sent[0]! <= 5, `first append: ${sent[0]} calls`);
  assert.equal(sent[1], 1, 'the line is known');
});

test('an append whose answer is lost is sent again soon', async () => {
  const {clock, hedger, readAllTheTime} = createHedgerBesideReads();
  let calls = 0;
  let tookMs = Infinity;
  async function submit(): Promise<void> {
    const answer = await hedger.hedged<undefined>({
      until: types.clock.after(clock.monotonic(), PATIENCE_MS),
      async call() {
        calls++;
        await types.clock.pause(clock, calls <= 2 ? PATIENCE_MS : USUAL_MS);
        return result.ok(undefined);
      },
    });
    assert.ok(result.isOk(answer));
    tookMs = clock.monotonic();
  }
  void readAllTheTime(5_000);
  const submitted = submit();
  await clock.runUntil(5_000);
  await submitted;
  assert.equal(calls, 3);
  assert.ok(tookMs < 500, `answered after ${tookMs} ms`);
});
