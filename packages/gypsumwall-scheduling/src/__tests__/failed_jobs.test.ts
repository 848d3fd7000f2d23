/**
 * Load: as in `crashing_worlds.test.ts`, with more tasks than room, tasks that
 * fail, and workers that leave or are cut off; holders are often killed beside
 * crashes.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fc from 'fast-check';
import * as crashChecks from '../__fixtures__/crash_checks.js';
import * as crashEvents from '../__fixtures__/crash_events.js';

const {test} = nodeTest;
const NUM_RUNS = 31;
/** Set FRESH_SEEDS to a number to try as many new seeds instead. */
const SEEDS = [1, 2];

function listSeeds(): readonly number[] {
  const fresh = Number(process.env.FRESH_SEEDS ?? 0);
  if (fresh === 0) return SEEDS;
  return Array.from({length: fresh}, () => Math.floor(Math.random() * 2 ** 31));
}

function runWorld(events: readonly crashEvents.CrashEvent[]): void {
  const world = crashChecks.createWorld(crashEvents.CROWDED_CELL);
  const drawn: crashEvents.DrawnJobs = {
    culprits: [],
    copiedCulprits: [],
    exhausted: [],
    healthy: [],
    longRunning: [],
  };
  for (const event of events) crashEvents.applyEvent(world, event, drawn);
  crashEvents.settle(world);
  crashChecks.assertFailedForCause(world);
  for (const id of drawn.culprits) crashChecks.assertGivenUp(world, id);
  for (const id of [...drawn.copiedCulprits, ...drawn.exhausted])
    assert.equal(world.stateOf(id), 'failed', id);
  crashChecks.assertHealthy(world, drawn.healthy, 'completed');
  crashChecks.assertHealthy(world, drawn.longRunning, 'running');
}

// Guards against jobs that are shown as failed for failures or crashes that no
// task of theirs has had, and against tasks that crash workers and are started
// forever.
test('a job fails only if a task of it has really failed or crashed workers', () => {
  const property = fc.property(
    fc.array(crashEvents.arbitraryEvent, {maxLength: 24, size: 'max'}),
    runWorld,
  );
  // Shrinking such a world takes minutes.
  for (const seed of listSeeds())
    fc.assert(property, {seed, numRuns: NUM_RUNS, endOnFailure: true});
});
