import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as clientLimits from '../client_limits.js';

const {test} = nodeTest;
const MIB = 1_048_576;

// Guards against a limit that one ordinary request meets on the smallest
// machine: a body of 256 KiB, with what its chunks cost.
test('a body within the limits of the configuration can be held', () => {
  const limits = clientLimits.deriveClientLimits({
    memoryBytes: 160 * MIB,
    heapBytes: 128 * MIB,
    descriptors: 4_100,
  });
  assert.ok(limits.maxHeldBytes >= 8 * MIB);
});
