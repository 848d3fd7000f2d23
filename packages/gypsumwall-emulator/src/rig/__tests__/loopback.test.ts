import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as loopback from '../loopback.js';

const {test} = nodeTest;
const COUNT = 500;

// Guards against an entry that can't start because two of its ports are the
// same: its process exits at each start.
test('free ports are different from each other', async () => {
  const ports = await loopback.findFreePorts('127.0.0.1', COUNT);
  assert.equal(new Set(ports).size, COUNT);
});
