import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as stores from '../store.js';

const {test} = nodeTest;
const APPEND = {topic: 'jobs', entries: [{key: 'a', value: 'x'}]};
const LONG_MS = 100_000;

function createStoreFixture(options: Partial<stores.StoreOptions> = {}) {
  const clock = types.virtualClock.createVirtualClock();
  const store = stores.createStore({
    clock,
    random: types.random.createRandom(1),
    writesPerS: 1_000,
    readsPerS: 1_000,
    appendMs: 4,
    keepMs: LONG_MS,
    ...options,
  });
  return {clock, store};
}

async function answerTypes(
  clock: types.virtualClock.VirtualClock,
  calls: readonly Promise<{readonly type: string}>[],
): Promise<string[]> {
  const answers = Promise.all(calls);
  await clock.runUntil(LONG_MS);
  return (await answers).map((answer) => answer.type);
}

test('the rate limit applies to all callers together', async () => {
  const {clock, store} = createStoreFixture({writesPerS: 2});
  const calls = ['a', 'b', 'c'].map((caller) => store.append(caller, APPEND));
  assert.deepEqual(await answerTypes(clock, calls), [
    'answer',
    'answer',
    'throttled',
  ]);
});

test('a log with over two seconds of waiting appends refuses more', async () => {
  const {clock, store} = createStoreFixture({appendMs: 1_000});
  const calls = [1, 2, 3, 4].map(() => store.append('a', APPEND));
  assert.deepEqual(await answerTypes(clock, calls), [
    'answer',
    'answer',
    'answer',
    'unavailable',
  ]);
});

test('appends of a slow store wait for each other until the queue is full', async () => {
  const {clock, store} = createStoreFixture({appendMs: 20});
  store.setSlowdown(50);
  const calls = [1, 2, 3, 4].map(() => store.append('a', APPEND));
  assert.deepEqual(await answerTypes(clock, calls), [
    'answer',
    'answer',
    'answer',
    'unavailable',
  ]);
});

test('some calls that fail or whose connection is reset are carried out', async () => {
  for (const [fault, delivery] of [
    ['resetting', 'reset'],
    ['failing', 'failed'],
  ] as const) {
    const observed: string[] = [];
    const {clock, store} = createStoreFixture({
      onAppend: (caller) => void observed.push(caller),
    });
    store.setFault('a', {type: fault, share: 1});
    const calls = Array.from({length: 20}, () => store.append('a', APPEND));
    const answers = await answerTypes(clock, calls);
    assert.deepEqual([...new Set(answers)], [delivery]);
    const carriedOut = store.log(APPEND.topic).endOffset();
    assert.ok(carriedOut > 0 && carriedOut < calls.length);
    assert.equal(observed.length, carriedOut);
  }
});

test('a fault of one caller does not affect other callers', async () => {
  const {clock, store} = createStoreFixture();
  store.setFault('a', {type: 'unavailable'});
  const calls = ['a', 'b'].map((caller) => store.append(caller, APPEND));
  assert.deepEqual(await answerTypes(clock, calls), ['unavailable', 'answer']);
});

test('an append whose answer is lost is carried out, at once or later', async () => {
  for (const [lostShare, lateShare] of [
    [1, 0],
    [0, 1],
  ] as const) {
    const {clock, store} = createStoreFixture();
    const maxDelayMs = 3_000;
    store.setFault('all', {type: 'lossy', lostShare, lateShare, maxDelayMs});
    const calls = [store.append('a', APPEND)];
    assert.deepEqual(await answerTypes(clock, calls), ['lost']);
    assert.equal(store.log('jobs').endOffset(), 1);
  }
});

test("appends to the platform's own logs are forbidden", async () => {
  const {clock, store} = createStoreFixture();
  const topic = stores.WORKERS_TOPIC;
  const calls = [store.append('a', {...APPEND, topic})];
  assert.deepEqual(await answerTypes(clock, calls), ['forbidden']);
});

test('a read waits for the next record', async () => {
  const {clock, store} = createStoreFixture();
  const reading = store.read('a', {
    topic: 'jobs',
    from: 0,
    maxBytes: 1_000,
    waitMs: 5_000,
  });
  const calls = [store.append('b', APPEND)];
  await clock.runUntil(10);
  const answer = await reading;
  assert.ok(answer.type === 'answer' && answer.value.type === 'records');
  assert.equal(answer.value.records.length, 1);
  assert.equal((await Promise.all(calls)).length, 1);
});
