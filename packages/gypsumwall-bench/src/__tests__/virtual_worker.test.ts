import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as virtualWorker from '../virtual_worker.js';

const SIZE = {cpuMillis: 1000, memoryMb: 100, accelerators: 0};

function task(name: string, cores: number): virtualWorker.VirtualTask {
  return {
    taskId: types.ids.brand(name),
    actual: {cpuMillis: cores * 1000, memoryMb: 100, runMs: 100},
    size: SIZE,
    startedAt: 0,
    remainingMs: 100,
    throttleMillis: 0,
  };
}

nodeTest.describe('createVirtualWorker', () => {
  nodeTest.it('slows tasks that together need more than the capacity', () => {
    const worker = virtualWorker.createVirtualWorker({
      ...SIZE,
      cpuMillis: 2000,
    });
    worker.start(task('a', 2), 0);
    assert.equal(worker.nextEndAt(0), 100);
    worker.start(task('b', 2), 50);
    assert.ok(worker.isCrowded());
    // Task `a` ran alone for its first half; its second half takes twice as
    // long.
    assert.equal(worker.nextEndAt(50), 150);
    assert.equal(worker.findEndedTask(150)?.taskId, 'a');
    worker.stop(types.ids.brand('a'), 150);
    assert.equal(worker.nextEndAt(150), 200);
  });

  nodeTest.it('limits a task to its throttle', () => {
    const worker = virtualWorker.createVirtualWorker(SIZE);
    worker.start(task('a', 1), 0);
    worker.throttle(types.ids.brand('a'), 250, 0);
    assert.equal(worker.usedMillis(), 250);
    assert.equal(worker.nextEndAt(0), 400);
  });
});
