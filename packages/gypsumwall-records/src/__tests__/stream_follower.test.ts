import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as memoryLog from '../__fixtures__/memory_log.js';
import * as openStream from '../__fixtures__/open_stream.js';
import * as envelope from '../envelope.js';
import * as snapshotText from '../snapshot_text.js';

nodeTest.test('a late reader rebuilds its state from a snapshot', async (t) => {
  // A new entry must have the whole state although retention dropped records.
  // The stream has two records, a snapshot of them and further records; then
  // retention drops the first two. The reader waits for the snapshot.
  const log = memoryLog.createMemoryLog();
  const first = openStream.openStream(t, log);
  await first.append('a');
  const second = await first.append('b');
  assert.ok(second.isOk && (await first.waitFor(second.value.offset)));
  const bodies = snapshotText.toBodies(first.follower.snapshot());
  await first.append('c');
  await log.append({stream: 's', producer: 'w', sequence: 0, bodies});
  const last = await first.append('d');
  assert.ok(last.isOk);
  log.dropBelow(2);
  const late = openStream.openStream(t, log, 'entry-2');
  assert.ok(await late.waitFor(last.value.offset));
  assert.deepEqual(late.fold.applied, ['a', 'b', 'c', 'd']);
});

nodeTest.test('a reader without a snapshot is not caught up', async (t) => {
  // Retention drops a record that no snapshot covers. The entry must not become
  // ready with an incomplete state.
  const log = memoryLog.createMemoryLog();
  const first = openStream.openStream(t, log);
  await first.append('a');
  const retained = await first.append('b');
  assert.ok(retained.isOk);
  log.dropBelow(1);
  const late = openStream.openStream(t, log, 'entry-2');
  while (late.follower.lastAnswerAt() === undefined) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.equal(late.follower.isCaughtUp(), false);
  assert.deepEqual(late.fold.applied, []);
});

nodeTest.test("a peer's older state is not adopted", async (t) => {
  // A peer that was frozen for a long time offers its old state. Records that
  // this reader has applied must stay in force.
  const log = memoryLog.createMemoryLog();
  const reader = openStream.openStream(t, log);
  const first = await reader.append('a');
  assert.ok(first.isOk && (await reader.waitFor(first.value.offset)));
  const oldSnapshot = reader.follower.snapshot();
  const second = await reader.append('b');
  assert.ok(second.isOk && (await reader.waitFor(second.value.offset)));
  assert.equal(reader.follower.adopt(oldSnapshot), false);
  assert.deepEqual(reader.fold.applied, ['a', 'b']);
});

nodeTest.test('unreadable records do not stop the follower', async (t) => {
  // A newer release, or a person by mistake, has written to the stream. Such
  // records are skipped and stay in the log; later ones must take effect.
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
  assert.ok(next.isOk && (await reader.waitFor(next.value.offset)));
  assert.deepEqual(reader.fold.applied, ['known']);
});

nodeTest.test("a peer's state replaces dropped records", async (t) => {
  // A new entry must become ready although the log has no snapshot yet.
  // Retention has dropped the first record. A peer's state covers the first
  // two, and the third is in the log: together they are the whole state.
  const log = memoryLog.createMemoryLog();
  const peer = openStream.openStream(t, log);
  await peer.append('a');
  const second = await peer.append('b');
  assert.ok(second.isOk && (await peer.waitFor(second.value.offset)));
  const peerSnapshot = peer.follower.snapshot();
  const third = await peer.append('c');
  assert.ok(third.isOk && (await peer.waitFor(third.value.offset)));
  log.dropBelow(1);
  const late = openStream.openStream(t, log, 'entry-2');
  while (late.follower.nextOffset() < 3) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.equal(late.follower.isRebuildable(), false);
  assert.ok(late.follower.adopt(peerSnapshot));
  assert.deepEqual(late.fold.applied, ['a', 'b', 'c']);
  assert.equal(late.follower.isCaughtUp(), true);
});

nodeTest.test('a late snapshot covers only its own records', async (t) => {
  // A snapshot of the first record is delayed and arrives after the second
  // one. Then retention drops both records. A reader that starts now can't
  // rebuild the state, so the follower must report that a snapshot is needed.
  const log = memoryLog.createMemoryLog();
  const reader = openStream.openStream(t, log);
  const first = await reader.append('a');
  assert.ok(first.isOk && (await reader.waitFor(first.value.offset)));
  const bodies = snapshotText.toBodies(reader.follower.snapshot());
  await reader.append('b');
  await log.append({stream: 's', producer: 'w', sequence: 0, bodies});
  log.dropBelow(2);
  const last = await reader.append('c');
  assert.ok(last.isOk && (await reader.waitFor(last.value.offset)));
  assert.equal(reader.follower.isRebuildable(), false);
});
