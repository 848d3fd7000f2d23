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
const FEWEST_SERIES = 3;
/**
 * Spans from one strike or mend to the next, in milliseconds: from well below
 * a lease of the scenarios' site, which is 3 s, to above it.
 */
const SHORTEST_MS = 100;
const LONGEST_MS = 4_000;
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
  const mend = [{do: 'heal', between}];
  return [
    {strike: [{do: 'cut_one_way', between}], mend},
    {strike: [{do: 'reset', between}], mend: []},
    {strike: [{do: 'silence', between}], mend: []},
    ...DELAYS_MS.map((ms) => ({strike: [{do: 'delay', between, ms}], mend})),
  ];
}

/** The ends that may be struck, each with its faults. */
const STRUCK: readonly (readonly randomFaults.Fault[])[] = [
  randomFaults.entryFaults(`${DOMAIN}-entry1`),
  pathFaults(`${DOMAIN}-entry2`),
  randomFaults.logFaults(),
  randomFaults.workerFaults(`${DOMAIN}-rack1-worker1`),
  randomFaults.workerFaults(`${DOMAIN}-rack1-worker2`),
  randomFaults.upstreamFaults(`${DOMAIN}-upstream1`),
];

const span = fastCheck.integer({min: SHORTEST_MS, max: LONGEST_MS});

/** Two faults of one end; what ends an entry or an upstream is the last. */
function seriesOf(
  faults: readonly randomFaults.Fault[],
): fastCheck.Arbitrary<TimedSteps[]> {
  const passing = faults.filter((fault) => !endsSomething(fault));
  const strike = (among: readonly randomFaults.Fault[]) =>
    fastCheck.record({
      fault: fastCheck.constantFrom(...among),
      afterMs: span,
      holdMs: span,
    });
  return fastCheck
    .tuple(strike(passing), strike(faults))
    .map((strikes) => timed(strikes));
}

function endsSomething({strike}: randomFaults.Fault): boolean {
  const ending = ['kill', 'stop', 'leave'];
  return strike.some((step) => ending.includes(String(step['do'])));
}

function timed(
  strikes: readonly {
    readonly fault: randomFaults.Fault;
    readonly afterMs: number;
    readonly holdMs: number;
  }[],
): TimedSteps[] {
  const found: TimedSteps[] = [];
  let atMs = 0;
  for (const {fault, afterMs, holdMs} of strikes) {
    atMs += afterMs;
    found.push({atMs, steps: fault.strike});
    atMs += holdMs;
    found.push({atMs, steps: fault.mend});
  }
  return found;
}

const overlapping = fastCheck
  .subarray([...STRUCK], {minLength: FEWEST_SERIES})
  .chain((struck) => fastCheck.tuple(...struck.map(seriesOf)))
  .map((series) => series.flat().sort((a, b) => a.atMs - b.atMs));

/** The scenario of a seed. */
export function soakScenario(seed: number): scenarioSchema.Scenario {
  const [happenings] = fastCheck.sample(overlapping, {numRuns: 1, seed});
  const steps: randomFaults.StepInput[] = [...randomFaults.LOAD];
  let passedMs = 0;
  for (const {atMs, steps: now} of happenings ?? []) {
    if (atMs > passedMs) steps.push(randomFaults.pause(atMs - passedMs));
    passedMs = Math.max(passedMs, atMs);
    steps.push(...now);
  }
  return scenarioSchema.scenarioSchema.parse({
    promise: 'All promises hold under series of faults that overlap.',
    story: [
      `Seed ${seed}: ${happenings?.length} strikes and mends in ${passedMs} ms.`,
      'Callers go on all the while, and all that was accepted must end.',
    ],
    seed,
    steps: [...steps, ...randomFaults.AFTERWARDS],
  });
}
