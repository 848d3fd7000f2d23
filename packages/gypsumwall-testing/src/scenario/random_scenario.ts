/**
 * Generates scenarios with two random faults on a mixed load; the second is
 * injected while the first is still active. A seed always gives the same
 * scenarios.
 */
import * as fastCheck from 'fast-check';
import * as randomFaults from './random_faults.js';
import * as scenarioSchema from './scenario_schema.js';

/** The two faults affect different instances of the failure domain. */
const WORKERS = ['bkk-a-rack1-worker1', 'bkk-a-rack1-worker2'];
const UPSTREAMS = ['bkk-a-upstream1', 'bkk-a-upstream2'];

/** Generates the fault with the index 0 or 1 of the two. */
function faultsOf(index: 0 | 1): fastCheck.Arbitrary<randomFaults.Fault> {
  const entry = `${randomFaults.DOMAIN}-entry${index + 1}`;
  return fastCheck.constantFrom(
    ...randomFaults.entryFaults(entry),
    ...randomFaults.logFaults(),
    ...randomFaults.workerFaults(WORKERS[index] ?? ''),
    ...randomFaults.upstreamFaults(UPSTREAMS[index] ?? ''),
  );
}

const interval = fastCheck.integer({min: 100, max: 4_000});

const faultPair = fastCheck.record({
  first: faultsOf(0),
  second: faultsOf(1),
  beforeSecondMs: interval,
  holdMs: interval,
});

/** Generates `count` scenarios from the seed. */
export function randomScenarios(
  count: number,
  seed: number,
): scenarioSchema.Scenario[] {
  const pairs = fastCheck.sample(faultPair, {numRuns: count, seed});
  return pairs.map(({first, second, beforeSecondMs, holdMs}) =>
    scenarioSchema.scenarioSchema.parse({
      promise: 'All promises hold under two faults at once.',
      story: [
        `First ${JSON.stringify(first.inject)}.`,
        `After ${beforeSecondMs} ms ${JSON.stringify(second.inject)}, both repaired after ${holdMs} ms.`,
      ],
      seed,
      steps: [
        ...randomFaults.LOAD,
        ...first.inject,
        randomFaults.waitStep(beforeSecondMs),
        ...second.inject,
        randomFaults.waitStep(holdMs),
        ...first.repair,
        ...second.repair,
        ...randomFaults.FINAL_STEPS,
      ],
    }),
  );
}
