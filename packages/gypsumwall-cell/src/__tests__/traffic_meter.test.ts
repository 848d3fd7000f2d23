import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as trafficMeter from '../traffic_meter.js';

nodeTest.test('calls are counted by the kind of server', () => {
  const meter = trafficMeter.createTrafficMeter();
  meter.record({step: 'store.read jobs', sentBytes: 10, receivedBytes: 100});
  meter.record({step: 'store.append cell', sentBytes: 5, receivedBytes: 1});
  meter.record({step: 'peer.ping', sentBytes: 2, receivedBytes: undefined});
  assert.deepEqual(Object.fromEntries(meter.totals()), {
    store: {calls: 2, failedCalls: 0, sentBytes: 15, receivedBytes: 101},
    peer: {calls: 1, failedCalls: 1, sentBytes: 2, receivedBytes: 0},
  });
});
