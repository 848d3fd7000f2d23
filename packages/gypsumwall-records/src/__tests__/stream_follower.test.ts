import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as memoryLog from '../__fixtures__/memory_log.js';
import * as openStream from '../__fixtures__/open_stream.js';
import * as envelope from '../envelope.js';
import * as snapshotText from '../snapshot_text.js';

nodeTest.test('a late reader rebuilds from a snapshot', async (t) => {
  // A new entry holds all that was ever set, though retention dropped it.
  // Two records, a snapshot of them, one more record; then retention drops
  // the first two. The reader finds the gap and waits for the snapshot.
  const log = memoryLog.createMemoryLog();
  const first = openStream.openStream(t, log);
  await first.append('a');
  const second = await first.append('b');
  assert.ok(second.isOk && (await first.seen(second.value.offset)));
  const bodies = snapshotText.toBodies(first.follower.snapshot());
  await first.append('c');
  await log.append({stream: 's', producer: 'w', sequence: 0, bodies});
  const last = await first.append('d');
  assert.ok(last.isOk);
  log.dropBelow(2);
  const late = openStream.openStream(t, log, 'entry-2');
  assert.ok(await late.seen(last.value.offset));
  assert.deepEqual(late.fold.applied, ['a', 'b', 'c', 'd']);
});

nodeTest.test('a reader without a snapshot says it is behind', async (t) => {
  // The entry is not ready, rather than ready with a hole in its state.
  // Retention drops a record that no snapshot covers.
  const log = memoryLog.createMemoryLog();
  const first = openStream.openStream(t, log);
  await first.append('a');
  const kept = await first.append('b');
  assert.ok(kept.isOk);
  log.dropBelow(1);
  const late = openStream.openStream(t, log, 'entry-2');
  while (late.follower.lastAnswerAt() === undefined) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.equal(late.follower.caughtUp(), false);
  assert.deepEqual(late.fold.applied, []);
});

nodeTest.test('a peer never takes a reader back', async (t) => {
  // What an entry has applied stays in force, whatever a peer holds.
  // A peer that froze for long offers its old state; it is not taken.
  const log = memoryLog.createMemoryLog();
  const reader = openStream.openStream(t, log);
  const first = await reader.append('a');
  assert.ok(first.isOk && (await reader.seen(first.value.offset)));
  const old = reader.follower.snapshot();
  const second = await reader.append('b');
  assert.ok(second.isOk && (await reader.seen(second.value.offset)));
  assert.equal(reader.follower.adopt(old), false);
  assert.deepEqual(reader.fold.applied, ['a', 'b']);
});

nodeTest.test('records it can not read do not stop it', async (t) => {
  // Settings go on taking effect after a newer release, or a stray hand, has
  // written to the stream: such records are passed over and stay in the log.
  const log = memoryLog.createMemoryLog();
  const reader = openStream.openStream(t, log);
  const newer = JSON.stringify({
    type: 'record',
    v: envelope.RECORD_VERSION + 1,
    record: {name: 'newer'},
  });
  const bodies = [newer, 'not json', '[]', 'null'];
  await log.append({stream: 's', producer: 'other', sequence: 0, bodies});
  const next = await reader.append('known');
  assert.ok(next.isOk && (await reader.seen(next.value.offset)));
  assert.deepEqual(reader.fold.applied, ['known']);
});

nodeTest.test('a peer fills the gap that retention left', async (t) => {
  // A new entry is ready although no snapshot stands in the log yet.
  // Retention drops the first record, the log has the second, a peer has all
  // but the third: its state and the records after it make up the whole.
  const log = memoryLog.createMemoryLog();
  const peer = openStream.openStream(t, log);
  await peer.append('a');
  const second = await peer.append('b');
  assert.ok(second.isOk && (await peer.seen(second.value.offset)));
  const held = peer.follower.snapshot();
  const third = await peer.append('c');
  assert.ok(third.isOk && (await peer.seen(third.value.offset)));
  log.dropBelow(1);
  const late = openStream.openStream(t, log, 'entry-2');
  while (late.follower.nextOffset() < 3) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.equal(late.follower.isRebuildable(), false);
  assert.ok(late.follower.adopt(held));
  assert.deepEqual(late.fold.applied, ['a', 'b', 'c']);
  assert.equal(late.follower.caughtUp(), true);
});

nodeTest.test(
  'a snapshot that comes late covers only what it holds',
  async (t) => {
    // A new entry must be able to start. A snapshot of the first record hangs
    // on its way, two more records come, it arrives, and retention drops the
    // first two: a reader that starts now finds no state, so one is due.
    const log = memoryLog.createMemoryLog();
    const reader = openStream.openStream(t, log);
    const first = await reader.append('a');
    assert.ok(first.isOk && (await reader.seen(first.value.offset)));
    const bodies = snapshotText.toBodies(reader.follower.snapshot());
    await reader.append('b');
    await log.append({stream: 's', producer: 'w', sequence: 0, bodies});
    log.dropBelow(2);
    const last = await reader.append('c');
    assert.ok(last.isOk && (await reader.seen(last.value.offset)));
    assert.equal(reader.follower.isRebuildable(), false);
  },
);
