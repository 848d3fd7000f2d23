import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fc from 'fast-check';
import * as indexRanges from '../index_ranges.js';

nodeTest.describe('createIndexRanges', () => {
  nodeTest.it('holds the same as a plain set', () => {
    const step = fc.tuple(fc.boolean(), fc.nat(30));
    fc.assert(
      fc.property(fc.array(step, {maxLength: 200}), (steps) => {
        const ranges = indexRanges.createIndexRanges([]);
        const plain = new Set<number>();
        for (const [adds, index] of steps) {
          if (adds) {
            ranges.add(index);
            plain.add(index);
          } else {
            ranges.remove(index);
            plain.delete(index);
          }
          assert.equal(ranges.size(), plain.size);
        }
        const sorted = [...plain].sort((left, right) => left - right);
        assert.deepEqual(
          sorted.map(() => ranges.take()),
          sorted,
        );
        assert.equal(ranges.take(), undefined);
      }),
      {seed: 3, numRuns: 500},
    );
  });
});
