import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as fc from 'fast-check';
import * as specs from '../__fixtures__/specs.js';
import * as domainAllocations from '../domain_allocations.js';
import * as workerIndex from '../worker_index.js';

nodeTest.describe('createWorkerIndex', () => {
  nodeTest.it('finds a worker exactly if one has enough free resources', () => {
    const amount = fc.record({
      cpuMillis: fc.integer({min: 0, max: 8}),
      memoryMb: fc.integer({min: 0, max: 8}),
      accelerators: fc.integer({min: 0, max: 2}),
    });
    const workers = fc.array(fc.tuple(amount, fc.boolean()), {maxLength: 100});
    const from = fc.double({min: 0, max: 0.99, noNaN: true});
    fc.assert(
      fc.property(workers, amount, from, (all, need, start) => {
        const index = workerIndex.createWorkerIndex();
        const made = domainAllocations.createDomainAllocations((worker) =>
          index.update(worker, worker.isSchedulable),
        );
        all.forEach(([capacity, open], n) => {
          const worker = made.setWorker(specs.worker(n, capacity));
          made.setSchedulable(worker, open);
        });
        const found = index.find({need, from: start, limit: 1});
        const fitsSome = all.some(
          ([capacity, open]) => open && types.resources.fits(need, capacity),
        );
        assert.equal(found.length, fitsSome ? 1 : 0);
        for (const each of found) {
          assert.ok(
            each.isSchedulable && types.resources.fits(need, each.free),
          );
        }
      }),
      {seed: 7, numRuns: 500},
    );
  });
});
