import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as loopMonitor from '../loop_monitor.js';

nodeTest.test('the utilization is that of the newest span', () => {
  let now = 0;
  const reading = {active: 0, idle: 0, utilization: 0};
  const clock = {
    ...types.clock.createSystemClock(),
    monotonic: () => now as types.clock.MonotonicMs,
  };
  const monitor = loopMonitor.createLoopMonitor({
    clock,
    read: () => ({...reading}),
  });
  const advance = (active: number, idle: number) => {
    now += active + idle;
    reading.active += active;
    reading.idle += idle;
  };
  advance(300, 100);
  assert.equal(monitor.utilization(), 0.75);
  advance(0, 100);
  assert.equal(monitor.utilization(), 0.75, 'the span is too short');
  advance(100, 200);
  assert.equal(monitor.utilization(), 0.25);
});
