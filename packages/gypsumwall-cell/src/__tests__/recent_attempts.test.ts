import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as organisations from '@gypsumwall/organisations';
import * as types from '@gypsumwall/types';
import * as recentAttempts from '../recent_attempts.js';

const {test} = nodeTest;
const id = types.ids.brand<types.ids.JobId>('job');
const REFUSED = {type: 'not_run', retryAfterMs: 1_000} as const;
const UNKNOWN = {type: 'unknown'} as const;
const OK = {type: 'ok', value: undefined} as const;

/** Makes a call whose only attempt ends so, and returns the caller's answer. */
async function answerTo(
  attempts: recentAttempts.RecentAttempts,
  jobId: types.ids.JobId,
  own: typeof REFUSED | typeof UNKNOWN | typeof OK,
): Promise<string> {
  const call = attempts.open(jobId, undefined);
  await call.runLocally('own', () => Promise.resolve(own));
  return call.conclude(own).type;
}

// Guards against a caller who is never told when to retry: each of its calls
// kept an unanswered one in memory that the store can't carry out any more.
test('an unanswered call does not count for ever while its caller repeats it', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const attempts = recentAttempts.createRecentAttempts(clock);
  assert.equal(await answerTo(attempts, id, UNKNOWN), 'unknown');
  for (let now = 10_000; now <= 60_000; now += 10_000) {
    await clock.runUntil(now);
    const answer = await answerTo(attempts, id, REFUSED);
    if (now > 30_000) assert.equal(answer, 'not_run', `after ${now} ms`);
  }
});

// Guards against a refusal of a job that may be stored: accepted jobs, for
// which nothing needs to be remembered, have displaced its unanswered call.
test('accepted jobs do not displace an unanswered call', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const attempts = recentAttempts.createRecentAttempts(clock);
  assert.equal(await answerTo(attempts, id, UNKNOWN), 'unknown');
  for (let nth = 0; nth < 10_000; nth++)
    await answerTo(attempts, types.ids.brand(`${nth}`), OK);
  assert.equal(await answerTo(attempts, id, REFUSED), 'unknown');
});

// Guards against a refusal of a job that a call in progress stores.
test('a call is not refused while an earlier one is in progress', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const attempts = recentAttempts.createRecentAttempts(clock);
  const first = attempts.open(id, undefined);
  assert.equal(await answerTo(attempts, id, REFUSED), 'unknown');
  assert.equal(first.conclude(REFUSED).type, 'not_run');
  assert.equal(await answerTo(attempts, id, REFUSED), 'not_run');
});

// Guards against callers without Retry-After: another caller's call with the
// same id is about another job, and an old call can't be carried out any more.
test('a call of another organisation and an old one do not count', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const attempts = recentAttempts.createRecentAttempts(clock);
  const callerOf = (name: string): organisations.keyDirectory.Caller => ({
    organisation: types.ids.brand(name),
    configVersion: 1,
  });
  const north = callerOf('north');
  const south = callerOf('south');
  const answerOf = async (
    caller: organisations.keyDirectory.Caller,
    own: typeof REFUSED | typeof UNKNOWN,
  ) => {
    const call = attempts.open(id, caller);
    await call.runLocally('own', () => Promise.resolve(own));
    return call.conclude(own).type;
  };
  assert.equal(await answerOf(north, UNKNOWN), 'unknown');
  assert.equal(await answerOf(south, REFUSED), 'not_run');
  assert.equal(await answerOf(north, REFUSED), 'unknown');
  await clock.runUntil(60_000);
  assert.equal(await answerOf(north, REFUSED), 'not_run');
});

// Guards against memory that grows while the store answers nothing.
test('the number of jobs with unanswered calls is limited', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const attempts = recentAttempts.createRecentAttempts(clock);
  assert.equal(await answerTo(attempts, id, UNKNOWN), 'unknown');
  for (let nth = 0; nth < 100_000; nth++)
    await answerTo(attempts, types.ids.brand(`${nth}`), UNKNOWN);
  assert.equal(await answerTo(attempts, id, REFUSED), 'not_run');
});

// Guards against a caller that sends a job twice at the same time, is told that
// it is accepted, and then that it never runs.
test('a call beside an accepted one is not refused', async () => {
  const clock = types.virtualClock.createVirtualClock();
  const attempts = recentAttempts.createRecentAttempts(clock);
  const first = attempts.open(id, undefined);
  const second = attempts.open(id, undefined);
  await first.runLocally('own', () => Promise.resolve(OK));
  assert.equal(first.conclude(OK).type, 'ok');
  await second.runLocally('own', () => Promise.resolve(REFUSED));
  assert.notEqual(second.conclude(REFUSED).type, 'not_run');
});
