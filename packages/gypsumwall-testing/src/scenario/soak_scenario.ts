/**
 * Generates the scenarios of the soak test: series of random faults that
 * overlap, on a mixed load whose clients keep their connections open. Each
 * affected target gets two faults one after the other, and all series run at
 * the same time. A seed always gives the same scenario.
 */
import * as fastCheck from 'fast-check';
import * as randomFaults from './random_faults.js';
import * as scenarioSchema from './scenario_schema.js';

const {DOMAIN} = randomFaults;
/** Minimum number of series that run at the same time. */
const MIN_SERIES = 3;
/**
 * Intervals between the steps of a series, in milliseconds: from well below the
 * lease on the scenarios' site, which is 3 s, to above it.
 */
const MIN_INTERVAL_MS = 100;
const MAX_INTERVAL_MS = 4_000;
/**
 * Delays of a slow path in milliseconds: that of a path to another region, and
 * that of a congested path.
 */
const DELAYS_MS = [30, 250];

/** Steps that run at a time after the load has started. */
interface TimedSteps {
  readonly atMs: number;
  readonly steps: readonly randomFaults.StepInput[];
}

/** Faults of the paths between an entry and the instances that it calls. */
function pathFaults(entry: string): randomFaults.Fault[] {
  const between = [[entry], [DOMAIN, 'platform']];
  const repair = [{do: 'heal', between}];
  return [
    {inject: [{do: 'cut_one_way', between}], repair},
    {inject: [{do: 'reset', between}], repair: []},
    {inject: [{do: 'silence', between}], repair: []},
    ...DELAYS_MS.map((ms) => ({inject: [{do: 'delay', between, ms}], repair})),
  ];
}

/** The targets that may be affected, each with its faults. */
const FAULT_TARGETS: readonly (readonly randomFaults.Fault[])[] = [
  randomFaults.entryFaults(`${DOMAIN}-entry1`),
  pathFaults(`${DOMAIN}-entry2`),
  randomFaults.logFaults(),
  randomFaults.workerFaults(`${DOMAIN}-rack1-worker1`),
  randomFaults.workerFaults(`${DOMAIN}-rack1-worker2`),
  randomFaults.upstreamFaults(`${DOMAIN}-upstream1`),
];

const interval = fastCheck.integer({
  min: MIN_INTERVAL_MS,
  max: MAX_INTERVAL_MS,
});

/**
 * Generates two faults of one target; only the second may end an entry or an
 * upstream, because a later fault of it would fail.
 */
function faultSeries(
  faults: readonly randomFaults.Fault[],
): fastCheck.Arbitrary<TimedSteps[]> {
  const nonTerminal = faults.filter((fault) => !isTerminal(fault));
  const timedFault = (among: readonly randomFaults.Fault[]) =>
    fastCheck.record({
      fault: fastCheck.constantFrom(...among),
      afterMs: interval,
      holdMs: interval,
    });
  return fastCheck
    .tuple(timedFault(nonTerminal), timedFault(faults))
    .map((timedFaults) => toTimedSteps(timedFaults));
}

function isTerminal({inject}: randomFaults.Fault): boolean {
  const ending = ['kill', 'stop', 'leave'];
  return inject.some((step) => ending.includes(String(step['do'])));
}

function toTimedSteps(
  timedFaults: readonly {
    readonly fault: randomFaults.Fault;
    readonly afterMs: number;
    readonly holdMs: number;
  }[],
): TimedSteps[] {
  const timedSteps: TimedSteps[] = [];
  let atMs = 0;
  for (const {fault, afterMs, holdMs} of timedFaults) {
    atMs += afterMs;
    timedSteps.push({atMs, steps: fault.inject});
    atMs += holdMs;
    timedSteps.push({atMs, steps: fault.repair});
  }
  return timedSteps;
}

const overlappingSeries = fastCheck
  .subarray([...FAULT_TARGETS], {minLength: MIN_SERIES})
  .chain((targets) => fastCheck.tuple(...targets.map(faultSeries)))
  .map((series) => series.flat().sort((a, b) => a.atMs - b.atMs));

/** Generates the scenario of a seed. */
export function soakScenario(seed: number): scenarioSchema.Scenario {
  const [timedSteps] = fastCheck.sample(overlappingSeries, {numRuns: 1, seed});
  const steps: randomFaults.StepInput[] = [...randomFaults.LOAD];
  let elapsedMs = 0;
  for (const {atMs, steps: stepsNow} of timedSteps ?? []) {
    if (atMs > elapsedMs) steps.push(randomFaults.waitStep(atMs - elapsedMs));
    elapsedMs = Math.max(elapsedMs, atMs);
    steps.push(...stepsNow);
  }
  return scenarioSchema.scenarioSchema.parse({
    promise: 'All promises hold under series of faults that overlap.',
    story: [
      `Seed ${seed}: ${timedSteps?.length} injections and repairs in ${elapsedMs} ms.`,
      'Callers keep sending, and every accepted job must end.',
    ],
    seed,
    steps: [...steps, ...randomFaults.FINAL_STEPS],
  });
}
