import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as batchDelay from '../batch_delay.js';

const {test} = nodeTest;

test('work is collected for longer only under load', () => {
  assert.equal(batchDelay.batchDelayMs(3, 0), 3);
  assert.equal(batchDelay.batchDelayMs(3, 0.6), 3);
  assert.ok(batchDelay.batchDelayMs(3, 0.8) > 20);
  assert.ok(batchDelay.batchDelayMs(3, 1) <= 50);
});
