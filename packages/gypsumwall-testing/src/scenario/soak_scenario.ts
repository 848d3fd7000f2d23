/**
 * Scenarios of the soak: series of faults drawn at random that overlap, on a
 * mixed load whose clients keep their connections. Each end that a series
 * strikes has two faults one after the other; all series run at once. A seed
 * gives the same scenario again.
 */
import * as fastCheck from 'fast-check';
import * as randomFaults from './random_faults.js';
import * as scenarioSchema from './scenario_schema.js';

const {DOMAIN} = randomFaults;
/** The fewest series that run at once. */
const MIN_SERIES = 3;
/**
 * Spans from one strike or mend to the next, in milliseconds: from well below
 * a lease of the scenarios' site, which is 3 s, to above it.
 */
const MIN_INTERVAL_MS = 100;
const MAX_INTERVAL_MS = 4_000;
/** Delays of a slow path: of another region, and of a path that is choked. */
const DELAYS_MS = [30, 250];

/** Something that happens at a moment after the load has begun. */
interface TimedSteps {
  readonly atMs: number;
  readonly steps: readonly randomFaults.StepInput[];
}

/** Faults of the paths between an entry and its surroundings. */
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

/** The ends that may be struck, each with its faults. */
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

/** Two faults of one end; what ends an entry or an upstream is the last. */
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

/** The scenario of a seed. */
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
      `Seed ${seed}: ${timedSteps?.length} strikes and mends in ${elapsedMs} ms.`,
      'Callers go on all the while, and all that was accepted must end.',
    ],
    seed,
    steps: [...steps, ...randomFaults.FINAL_STEPS],
  });
}
