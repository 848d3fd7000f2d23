import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as advisers from '../adviser.js';

const {test} = nodeTest;
const POLICY = {callMs: 100, perWorkerMs: 10, validMs: 2_000};
const WORKERS = Array.from({length: 40}, (_, nth) => `w${nth}`);

function createFixture(refusedShare = 0) {
  const clock = types.virtualClock.createVirtualClock();
  const adviser = advisers.createAdviser({
    clock,
    seed: 1,
    refusedShare,
    policies: new Map([['plans', POLICY]]),
    findQueue: () => 'plans',
  });
  return {clock, adviser};
}

test('calls of one caller run one at a time, independent of other callers', async () => {
  const {clock, adviser} = createFixture();
  const ended: string[] = [];
  const ask = async (caller: string) => {
    await adviser.ask(caller, 'job.0.0', ['w1']);
    ended.push(`${caller} ${clock.monotonic()}`);
  };
  const allCalls = Promise.all([ask('a'), ask('a'), ask('b')]);
  await clock.runUntil(1_000);
  await allCalls;
  assert.deepEqual(ended.sort(), ['a 110', 'a 220', 'b 110']);
});

test('a caller with 32 calls waiting is throttled', async () => {
  const {clock, adviser} = createFixture();
  const calls = Array.from({length: 33}, () => adviser.ask('a', 's', []));
  await clock.runUntil(10_000);
  const answers = await Promise.all(calls);
  const throttled = answers.filter((answer) => answer.type === 'throttled');
  assert.equal(throttled.length, 1);
});

test('a step is always refused the same workers, another step different ones', async () => {
  const {clock, adviser} = createFixture(0.5);
  const askApprovedWorkers = async (step: string) => {
    const asked = adviser.ask('a', step, WORKERS);
    await clock.runUntil(clock.monotonic() + 1_000);
    const answer = await asked;
    assert.ok(answer.type === 'approved');
    return answer.tickets.map(([workerId]) => workerId);
  };
  const first = await askApprovedWorkers('job.0.0');
  assert.ok(first.length > 0 && first.length < WORKERS.length);
  assert.deepEqual(await askApprovedWorkers('job.0.0'), first);
  assert.notDeepEqual(await askApprovedWorkers('job.0.1'), first);
});

test('a ticket is valid only for its step and worker, and expires', async () => {
  const {clock, adviser} = createFixture();
  const asked = adviser.ask('a', 's', ['w1']);
  await clock.runUntil(200);
  const answer = await asked;
  assert.ok(answer.type === 'approved');
  const ticket = answer.tickets[0]?.[1] ?? '';
  assert.equal(adviser.acceptsTicket(ticket, 's', 'w1'), true);
  assert.equal(adviser.acceptsTicket(ticket, 's', 'w2'), false);
  await clock.runUntil(110 + POLICY.validMs);
  assert.equal(adviser.acceptsTicket(ticket, 's', 'w1'), false);
});
