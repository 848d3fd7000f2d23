import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as memoryLog from '../__fixtures__/memory_log.js';
import * as openStream from '../__fixtures__/open_stream.js';

nodeTest.test('records that come together share one append', async (t) => {
  const log = memoryLog.createMemoryLog();
  const {append} = openStream.openStream(t, log);
  const names = Array.from({length: 100}, (_, index) => `r${index}`);
  const answers = await Promise.all(names.map(append));
  assert.ok(answers.every((answer) => answer.isOk));
  assert.ok(log.appends() <= 2, `${log.appends()} appends for 100 records`);
});

nodeTest.test('an append whose answer was lost is told as done', async (t) => {
  // The caller is told ok with the record's offset, once.
  // The log takes the record and the answer is lost; the appender fences its
  // count with a void record, and the follower then sees the record before
  // it. Sending it again blindly would have put it there twice.
  const log = memoryLog.createMemoryLog();
  const {append, fold} = openStream.openStream(t, log);
  log.failNextAppends('lost_answer');
  const answer = await append('kept');
  assert.deepEqual(answer.isOk && answer.value, {offset: 0});
  assert.deepEqual(fold.applied, ['kept']);
});

nodeTest.test('an append that was lost is told as not run', async (t) => {
  // The caller is told not_run, and that stays true.
  // The request never arrives; the void record does, and what does not stand
  // before it is void for every reader, whenever it may turn up.
  const log = memoryLog.createMemoryLog();
  const {append, fold} = openStream.openStream(t, log);
  log.failNextAppends('lost_request');
  const answer = await append('lost');
  assert.equal(answer.isErr && answer.error.effect, 'not_run');
  assert.deepEqual(fold.applied, []);
});

nodeTest.test('a record that turns up late stays void', async (t) => {
  // The caller was told not_run; no reader may act on the record afterwards.
  // The append hangs between the ends, the appender fences and answers, then
  // the log takes the old append. Readers drop it: its sequence has passed.
  const log = memoryLog.createMemoryLog();
  const {append, fold, seen} = openStream.openStream(t, log);
  log.failNextAppends('late');
  const answer = await append('late');
  assert.equal(answer.isErr && answer.error.effect, 'not_run');
  log.deliverDelayed();
  const next = await append('next');
  assert.ok(next.isOk && (await seen(next.value.offset)));
  assert.deepEqual(fold.applied, ['next']);
});

nodeTest.test('under load appends keep their distance', async (t) => {
  // The log is shared by all entries: a busy one fills its batches instead of
  // sending more of them. Records that come one by one for a while.
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
  const most = (performance.now() - startedAt) / gapMs + 2;
  assert.ok(log.appends() <= most, `${log.appends()} appends, at most ${most}`);
});
