import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fc from 'fast-check';
import * as indexRanges from '../index_ranges.js';

nodeTest.describe('createIndexRanges', () => {
  nodeTest.it('contains the same indexes as a plain set', () => {
    const step = fc.tuple(fc.boolean(), fc.nat(30));
    fc.assert(
      fc.property(fc.array(step, {maxLength: 200}), (steps) => {
        const ranges = indexRanges.createIndexRanges();
        const plain = new Set<number>();
        for (const [adds, index] of steps) {
          if (adds) {
            indexRanges.add(ranges, index);
            plain.add(index);
          } else {
            indexRanges.remove(ranges, index);
            plain.delete(index);
          }
          assert.equal(ranges.size, plain.size);
        }
        const sorted = [...plain].sort((left, right) => left - right);
        for (const index of sorted) {
          assert.equal(indexRanges.lowest(ranges), index);
          indexRanges.remove(ranges, index);
        }
        assert.equal(indexRanges.lowest(ranges), undefined);
      }),
      {seed: 3, numRuns: 500},
    );
  });
});
