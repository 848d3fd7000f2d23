import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as pollDelays from '../poll_delay.js';
import * as pollWithRetry from '../poll_with_retry.js';
import type * as ports from '../ports.js';

const {test} = nodeTest;

const WAIT_MS = 20;
const REPORT: ports.PollAnswer = {
  type: 'report',
  clockMs: 0,
  running: [],
  ends: [],
  hasMoreEnds: false,
};

// Guards against a busy holder that sends almost every poll twice, as each
// answer passes through queues.
test('polls that are all answered late are not repeated', async () => {
  const clock = types.clock.createSystemClock();
  const delay = pollDelays.createPollDelay();
  let polls = 0;
  const link: ports.WorkerLink = {
    async poll({waitMs}) {
      polls++;
      await types.clock.sleepFor(clock, waitMs + 180);
      return result.ok(REPORT);
    },
    start: () => assert.fail('start'),
    stop: () => assert.fail('stop'),
    close: () => {},
  };
  const call = {token: 1, acknowledged: 0, waitMs: WAIT_MS, timeoutMs: 700};
  const pollOnce = () => pollWithRetry.pollWithRetry(link, call, clock, delay);
  await Promise.all(Array.from({length: 20}, pollOnce));
  polls = 0;
  await Promise.all(Array.from({length: 20}, pollOnce));
  assert.equal(polls, 20);
});

// Guards against lost polls that a busy holder repeats only after they have
// failed, so that it takes the worker for unreachable.
test('a poll is repeated before it fails, however late answers come', () => {
  const delay = pollDelays.createPollDelay();
  for (let nth = 0; nth < 50; nth++) delay.record(nth % 2 === 0 ? 20 : 350);
  assert.ok(delay.overdueMs() < 500, `${delay.overdueMs()} ms`);
});
