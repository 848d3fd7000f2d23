/**
 * Scenarios with two faults drawn at random, on a mixed load: the second
 * strikes while the first still holds. A seed gives the same scenario again.
 */
import * as fastCheck from 'fast-check';
import * as scenarioSchema from './scenario_schema.js';

type StepInput = Readonly<Record<string, unknown>>;

/** A fault, by the steps that bring it and the steps that mend it. */
interface Fault {
  readonly strike: readonly StepInput[];
  readonly mend: readonly StepInput[];
}

/** The two faults strike different entries of this domain. */
const DOMAIN = 'bkk-a';
const OTHER_DOMAIN = 'bkk-b';
const WORKERS = ['bkk-a-rack1-worker1', 'bkk-a-rack1-worker2'];
const UPSTREAMS = ['bkk-a-upstream1', 'bkk-a-upstream2'];

function replacement(entry: string): StepInput {
  const id = `${entry}-next`;
  return {do: 'start_entry', entry: id, failureDomain: DOMAIN, ready: false};
}

/** Faults of one entry. */
function entryFaults(entry: string): Fault[] {
  const platform = [[entry], ['platform']];
  const outside = [[entry], ['platform', OTHER_DOMAIN]];
  const open = [[entry], [DOMAIN, 'platform']];
  return [
    {strike: [{do: 'kill', entry}], mend: [replacement(entry)]},
    {strike: [{do: 'stop', entry}], mend: [replacement(entry)]},
    {strike: [{do: 'freeze', entry}], mend: [{do: 'thaw', entry}]},
    {
      strike: [{do: 'cut', between: platform}],
      mend: [{do: 'heal', between: platform}],
    },
    {
      strike: [{do: 'cut', between: outside}],
      mend: [{do: 'heal', between: outside}],
    },
    {strike: [{do: 'silence', between: open}], mend: []},
  ];
}

function logFaults(): Fault[] {
  const up = [{do: 'log', fault: {mode: 'up'}}];
  const faults = [
    {mode: 'down'},
    {mode: 'slow', delayMs: 700},
    {mode: 'lose_answers', appends: 10},
  ];
  return faults.map((fault) => ({strike: [{do: 'log', fault}], mend: up}));
}

function workerFaults(worker: string): Fault[] {
  const mend = [{do: 'worker', worker, fault: {mode: 'none'}}];
  const faults = [
    {mode: 'frozen'},
    {mode: 'fail_all'},
    {mode: 'lose_start_answers', starts: 3},
  ];
  return [
    ...faults.map((fault) => ({strike: [{do: 'worker', worker, fault}], mend})),
    {strike: [{do: 'restart_worker', worker}], mend: []},
  ];
}

function upstreamFaults(upstream: string): Fault[] {
  const mend = [{do: 'upstream', upstream, fault: {mode: 'none'}}];
  const faults = [
    {mode: 'slow', delayMs: 1_000},
    {mode: 'refusing', proved: false},
    {mode: 'truncated'},
    {mode: 'crossed'},
    {mode: 'silent'},
  ];
  return [
    ...faults.map((fault) => {
      return {strike: [{do: 'upstream', upstream, fault}], mend};
    }),
    {strike: [{do: 'leave', upstream}], mend: []},
  ];
}

/** All faults that the `index`-th of the two may be. */
function faultsOf(index: 0 | 1): fastCheck.Arbitrary<Fault> {
  const entry = `${DOMAIN}-entry${index + 1}`;
  return fastCheck.constantFrom(
    ...entryFaults(entry),
    ...logFaults(),
    ...workerFaults(WORKERS[index] ?? ''),
    ...upstreamFaults(UPSTREAMS[index] ?? ''),
  );
}

const span = fastCheck.integer({min: 100, max: 4_000});

const faultPair = fastCheck.record({
  first: faultsOf(0),
  second: faultsOf(1),
  beforeSecondMs: span,
  holdMs: span,
});

const LOAD: readonly StepInput[] = [
  {do: 'watch_setting', path: 'teams/filing'},
  {
    do: 'submit',
    name: 'packs',
    team: 'briefing-packs',
    shape: {kind: 'batch', tasks: 24},
    runMs: 1_200,
    to: `${DOMAIN}-entry1`,
    expect: ['accepted'],
  },
  {
    do: 'submit',
    name: 'winds',
    team: 'route-optimisation',
    shape: {kind: 'gang', tasks: 2},
    runMs: 2_000,
    to: `${DOMAIN}-entry2`,
    expect: ['accepted'],
  },
  {
    do: 'submit',
    name: 'maps',
    team: 'airspace-desk',
    shape: {kind: 'service', replicas: 2},
    size: {cpuMillis: 500, memoryMb: 128, accelerators: 0},
    runMs: 3_600_000,
    to: `${DOMAIN}-entry1`,
    expect: ['accepted'],
  },
  {
    do: 'load',
    name: 'checks',
    team: 'airspace-desk',
    operation: 'airspace-check',
    perSecond: 20,
  },
  {
    do: 'load',
    name: 'filings',
    team: 'filing',
    operation: 'file-plan',
    keyed: true,
    perSecond: 8,
  },
  {do: 'wait', until: {type: 'tasks_started', job: 'packs', atLeast: 4}},
];

const AFTERWARDS: readonly StepInput[] = [
  {
    do: 'wait',
    until: {type: 'load_done', load: 'filings', atLeast: 10},
    withinMs: 30_000,
  },
  {do: 'settle', withinMs: 60_000},
];

function pause(ms: number): StepInput {
  return {do: 'wait', until: {type: 'passed', ms}, withinMs: ms + 1_000};
}

/** A number of scenarios drawn from the seed. */
export function randomScenarios(
  count: number,
  seed: number,
): scenarioSchema.Scenario[] {
  const pairs = fastCheck.sample(faultPair, {numRuns: count, seed});
  return pairs.map(({first, second, beforeSecondMs, holdMs}) =>
    scenarioSchema.scenarioSchema.parse({
      promise: 'All promises hold under two faults at once.',
      story: [
        `First ${JSON.stringify(first.strike)}.`,
        `After ${beforeSecondMs} ms ${JSON.stringify(second.strike)}, both mended after ${holdMs} ms.`,
      ],
      seed,
      steps: [
        ...LOAD,
        ...first.strike,
        pause(beforeSecondMs),
        ...second.strike,
        pause(holdMs),
        ...first.mend,
        ...second.mend,
        ...AFTERWARDS,
      ],
    }),
  );
}
