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

/** An entry's part over a log in memory; `hangsAt` is the append that hangs. */
function createHarness(hangsAt = Infinity) {
  const requests = records.requestFold.createRequestFold(clock);
  let offset = 0;
  let runs = 0;
  const put = (record: object) => {
    requests.apply(offset, record, clock.monotonic());
    offset += 1;
    return offset - 1;
  };
  const router = {
    route: () => {
      runs += 1;
      const body = stream.Readable.from([Buffer.from('filed')]);
      return Promise.resolve(result.ok({contentType: 'text/plain', body}));
    },
  } as unknown as routing.router.Router;
  let appends = 0;
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
        appends += 1;
        if (appends === hangsAt) return new Promise(() => undefined);
        const {record} = JSON.parse(body) as {record: object};
        return Promise.resolve(result.ok({offset: put(record)}));
      },
    },
  });
  const ask = (spanMs = 5_000) =>
    runOnce({
      requestId: `request-${appends}`,
      team,
      key,
      operation: 'file-plan',
      urgency: 'urgent',
      idempotent: false,
      estimateMs: 10,
      body: Buffer.from('plan'),
      deadline: types.clock.after(clock.monotonic(), spanMs),
    });
  return {ask, put, runs: () => runs};
}

nodeTest.test('a repeated call gets the answer of the one run', async () => {
  const harness = createHarness();
  const first = await harness.ask();
  const second = await harness.ask();
  assert.equal(harness.runs(), 1);
  for (const told of [first, second]) {
    assert.ok(told.isOk);
    assert.equal(Buffer.from(told.value.body).toString(), 'filed');
  }
});

nodeTest.test('a log that hangs does not hold the answer back', async () => {
  // The pilot hears at once that the plan is filed. The log stops answering
  // between the run and the record of its outcome; the answer is there and
  // has nothing to wait for.
  const harness = createHarness(2);
  const startedAt = performance.now();
  const told = await harness.ask();
  assert.ok(told.isOk);
  assert.ok(performance.now() - startedAt < 3_000);
  assert.equal(harness.runs(), 1);
});

nodeTest.test('an entry that comes second runs nothing', async () => {
  // The plan is filed once. Another entry's intent stands in the log before
  // this one's; its entry died, so no outcome comes and the end is unknown.
  const harness = createHarness();
  harness.put({
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
  const told = await harness.ask(200);
  assert.equal(harness.runs(), 0);
  assert.equal(told.isErr && told.error.outcome, 'unknown');
});
