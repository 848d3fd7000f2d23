import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as memoryLog from '../__fixtures__/memory_log.js';
import * as openStream from '../__fixtures__/open_stream.js';

nodeTest.test('concurrent records share one append', async (t) => {
  const log = memoryLog.createMemoryLog();
  const {append} = openStream.openStream(t, log);
  const names = Array.from({length: 100}, (_, index) => `r${index}`);
  const answers = await Promise.all(names.map(append));
  assert.ok(answers.every((answer) => answer.isOk));
  assert.ok(log.appends() <= 2, `${log.appends()} appends for 100 records`);
});

nodeTest.test('an append whose answer was lost succeeds', async (t) => {
  // The log stores the record, but its answer is lost. The appender fences its
  // sequence with a void record, and the follower then sees the record before
  // it. If the append were simply repeated, the record would be stored twice.
  const log = memoryLog.createMemoryLog();
  const {append, fold} = openStream.openStream(t, log);
  log.failNextAppends('lost_answer');
  const answer = await append('kept');
  assert.deepEqual(answer.isOk && answer.value, {offset: 0});
  assert.deepEqual(fold.applied, ['kept']);
});

nodeTest.test('an append that was lost fails with not_run', async (t) => {
  // The append never arrives, but the void record does. Records that are not in
  // the log before it are void for every reader, even if they arrive later, so
  // `not_run` stays true.
  const log = memoryLog.createMemoryLog();
  const {append, fold} = openStream.openStream(t, log);
  log.failNextAppends('lost_request');
  const answer = await append('lost');
  assert.equal(answer.isErr && answer.error.effect, 'not_run');
  assert.deepEqual(fold.applied, []);
});

nodeTest.test('a record that arrives late stays void', async (t) => {
  // The append is delayed in the network. The appender fences it and fails it
  // with `not_run`. When the log stores the old append after that, readers
  // must drop it, because its sequence is below that of the void record.
  const log = memoryLog.createMemoryLog();
  const {append, fold, waitFor} = openStream.openStream(t, log);
  log.failNextAppends('late');
  const answer = await append('late');
  assert.equal(answer.isErr && answer.error.effect, 'not_run');
  log.deliverDelayed();
  const next = await append('next');
  assert.ok(next.isOk && (await waitFor(next.value.offset)));
  assert.deepEqual(fold.applied, ['next']);
});

nodeTest.test(
  'under load the minimum gap between appends applies',
  async (t) => {
    // All entries share the log, so a busy entry must send larger batches
    // instead of more of them. Here records arrive one by one for a while.
    const gapMs = 30;
    const log = memoryLog.createMemoryLog();
    const {append} = openStream.openStream(t, log, 'entry-1', gapMs);
    const startedAt = performance.now();
    const answers = [];
    while (performance.now() < startedAt + 10 * gapMs) {
      answers.push(append('record'));
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
    await Promise.all(answers);
    const maxAppends = (performance.now() - startedAt) / gapMs + 2;
    assert.ok(
      log.appends() <= maxAppends,
      `${log.appends()} appends, at most ${maxAppends}`,
    );
  },
);
