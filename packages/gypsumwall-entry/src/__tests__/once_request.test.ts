import * as assert from 'node:assert/strict';
import * as stream from 'node:stream';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as records from '@gypsumwall/records';
import type * as routing from '@gypsumwall/routing';
import * as types from '@gypsumwall/types';
import * as onceRequest from '../once_request.js';

const clock = types.clock.createSystemClock();
const team = types.ids.brand<types.ids.TeamId>('filing');
const key = types.ids.brand<types.ids.IdempotencyKey>('sortie-118');

/** Runs requests over an in-memory log; append `hangingAppend` never ends. */
function createHarness(hangingAppend = Infinity) {
  const requests = records.requestFold.createRequestFold(clock);
  let offset = 0;
  let attemptCount = 0;
  const applyRecord = (record: object) => {
    requests.apply(offset, record, clock.monotonic());
    offset += 1;
    return offset - 1;
  };
  const router = {
    route: () => {
      attemptCount += 1;
      const body = stream.Readable.from([Buffer.from('filed')]);
      return Promise.resolve(result.ok({contentType: 'text/plain', body}));
    },
  } as unknown as routing.router.Router;
  let appendCount = 0;
  const runOnce = onceRequest.createOnceRequest({
    self: types.ids.brand<types.ids.EntryId>('e1'),
    clock,
    requests,
    router,
    follower: {
      waitFor: () => Promise.resolve(true),
    } as unknown as records.streamFollower.StreamFollower,
    appender: {
      observe: () => undefined,
      outage: () => undefined,
      append: (body) => {
        appendCount += 1;
        if (appendCount === hangingAppend) return new Promise(() => undefined);
        const {record} = JSON.parse(body) as {record: object};
        return Promise.resolve(result.ok({offset: applyRecord(record)}));
      },
    },
  });
  const send = (timeoutMs = 5_000) =>
    runOnce({
      requestId: `request-${appendCount}`,
      team,
      key,
      operation: 'file-plan',
      urgency: 'urgent',
      idempotent: false,
      estimateMs: 10,
      body: Buffer.from('plan'),
      deadline: types.clock.after(clock.monotonic(), timeoutMs),
    });
  return {send, applyRecord, attempts: () => attemptCount};
}

nodeTest.test('a repeated call gets the answer of the first one', async () => {
  const harness = createHarness();
  const first = await harness.send();
  const second = await harness.send();
  assert.equal(harness.attempts(), 1);
  for (const answer of [first, second]) {
    assert.ok(answer.isOk);
    assert.equal(Buffer.from(answer.value.body).toString(), 'filed');
  }
});

nodeTest.test('a log that hangs does not delay the answer', async () => {
  // The log stops answering after the attempt and before its outcome is
  // recorded. The answer is available and must be returned without the record.
  const harness = createHarness(2);
  const startedAt = performance.now();
  const answer = await harness.send();
  assert.ok(answer.isOk);
  assert.ok(performance.now() - startedAt < 3_000);
  assert.equal(harness.attempts(), 1);
});

nodeTest.test('an entry whose intent is second runs nothing', async () => {
  // The log has another entry's intent before this one's. That entry crashed,
  // so there will be no outcome and the result is unknown.
  const harness = createHarness();
  harness.applyRecord({
    type: 'intent',
    team,
    key,
    requestId: 'other',
    entryId: 'e2',
    operation: 'file-plan',
    bodyHash:
      '64879f7d6b960a01909762d911a32d4582c20010c5641ee90278b644a9e3b525',
    windowMs: 20,
    acceptedAt: 0,
  });
  const answer = await harness.send(200);
  assert.equal(harness.attempts(), 0);
  assert.equal(answer.isErr && answer.error.outcome, 'unknown');
});
