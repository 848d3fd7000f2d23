/** What a report of a worker costs beside many jobs. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as schedulerWorlds from '../__fixtures__/scheduler_world.js';

const {test} = nodeTest;
const REPORTS = 100;

/** Shortest of ten means of the time of a report; milliseconds. */
function reportMs(jobs: number): number {
  const world = schedulerWorlds.createSchedulerWorld();
  const worker = world.addWorker('w1', 4);
  for (let nth = 0; nth < jobs; nth++)
    world.submit(`job-${nth}`, [schedulerWorlds.step()]);
  let shortest = Infinity;
  for (let round = 0; round < 10; round++) {
    const startedAt = performance.now();
    for (let nth = 0; nth < REPORTS; nth++) world.report(worker, []);
    shortest = Math.min(shortest, (performance.now() - startedAt) / REPORTS);
  }
  return shortest;
}

// Guards against a holder that looks at all jobs at each report: workers send
// thousands of these a second. The bound is far above the time without jobs.
test('a report of a worker does not cost more beside many jobs', () => {
  reportMs(0);
  const spanMs = reportMs(10_000);
  assert.ok(spanMs < 0.05, `${spanMs.toFixed(3)} ms a report`);
});
