import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as bodyCollector from '../body_collector.js';

const {test} = nodeTest;
const LIMIT = 100_000;

function createCollector(maxCharge = Infinity) {
  let charged = 0;
  const pool = bodyCollector.createSegmentPool();
  const create = () =>
    bodyCollector.createBodyCollector({
      pool,
      limit: LIMIT,
      charge: {
        add(bytes) {
          charged += bytes;
          return charged <= maxCharge;
        },
      },
    });
  return {collector: create(), create, pool, charged: () => charged};
}

test('a body is the same in chunks of any size', () => {
  const text = 'añ€😀'.repeat(5_000);
  const bytes = Buffer.from(text);
  for (const size of [1, 7, 4_096, 16_384, 60_000, bytes.length]) {
    const {collector} = createCollector();
    for (let start = 0; start < bytes.length; start += size) {
      const chunk = bytes.subarray(start, start + size);
      assert.equal(collector.add(chunk), 'collected');
    }
    assert.equal(collector.take(), text, `chunks of ${size}`);
  }
});

test('a body over the limit is given up', () => {
  const {collector} = createCollector();
  assert.equal(collector.add(Buffer.alloc(LIMIT)), 'collected');
  assert.equal(collector.add(Buffer.alloc(1)), 'too_long');
  assert.equal(collector.add(Buffer.alloc(1)), 'discarded');
});

// Guards against memory that grows with the bodies that were given up.
test('segments of a discarded body are used again', () => {
  const {collector, create, pool} = createCollector();
  collector.add(Buffer.alloc(LIMIT, 'a'));
  collector.discard();
  const reused = pool.take();
  assert.equal(reused.at(0), 'a'.charCodeAt(0));
  pool.give([reused]);
  const next = create();
  next.add(Buffer.alloc(5_000, 'b'));
  assert.equal(next.take(), 'b'.repeat(5_000));
});

// Guards against bodies in tiny chunks, which hold little and cost much time.
test('each chunk is charged whatever its size', () => {
  const {collector, charged} = createCollector();
  for (let nth = 0; nth < 50_000; nth++) collector.add(Buffer.alloc(1));
  assert.ok(charged() > 50_000 * 15, `${charged()} bytes`);
});

test('a body that may not be held is given up', () => {
  const {collector} = createCollector(20_000);
  assert.equal(collector.add(Buffer.alloc(16_000)), 'collected');
  assert.equal(collector.add(Buffer.alloc(16_000)), 'discarded');
});
