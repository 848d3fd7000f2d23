/** Faults of generated scenarios, and the load that runs during the faults. */

/** A step, in the form of a scenario file. */
export type StepInput = Readonly<Record<string, unknown>>;

/** A fault: the steps that inject it and the steps that repair it. */
export interface Fault {
  readonly inject: readonly StepInput[];
  readonly repair: readonly StepInput[];
}

/** The failure domain that the faults affect. */
export const DOMAIN = 'bkk-a';
const OTHER_DOMAIN = 'bkk-b';

function startReplacementStep(entry: string): StepInput {
  const id = `${entry}-next`;
  return {do: 'start_entry', entry: id, failureDomain: DOMAIN, ready: false};
}

/** Faults of one entry of the domain. */
export function entryFaults(entry: string): Fault[] {
  const platform = [[entry], ['platform']];
  const outside = [[entry], ['platform', OTHER_DOMAIN]];
  const openConnections = [[entry], [DOMAIN, 'platform']];
  return [
    {inject: [{do: 'kill', entry}], repair: [startReplacementStep(entry)]},
    {inject: [{do: 'stop', entry}], repair: [startReplacementStep(entry)]},
    {inject: [{do: 'freeze', entry}], repair: [{do: 'thaw', entry}]},
    {
      inject: [{do: 'cut', between: platform}],
      repair: [{do: 'heal', between: platform}],
    },
    {
      inject: [{do: 'cut', between: outside}],
      repair: [{do: 'heal', between: outside}],
    },
    {inject: [{do: 'silence', between: openConnections}], repair: []},
  ];
}

/** Faults of the log. */
export function logFaults(): Fault[] {
  const repair = [{do: 'log', fault: {mode: 'up'}}];
  const faults = [
    {mode: 'down'},
    {mode: 'slow', delayMs: 700},
    {mode: 'lose_answers', appends: 10},
  ];
  return faults.map((fault) => ({inject: [{do: 'log', fault}], repair}));
}

/** Faults of one worker. */
export function workerFaults(worker: string): Fault[] {
  const repair = [{do: 'worker', worker, fault: {mode: 'none'}}];
  const faults = [
    {mode: 'frozen'},
    {mode: 'fail_all'},
    {mode: 'lose_start_answers', starts: 3},
  ];
  return [
    ...faults.map((fault) => ({
      inject: [{do: 'worker', worker, fault}],
      repair,
    })),
    {inject: [{do: 'restart_worker', worker}], repair: []},
  ];
}

/** Faults of one upstream. */
export function upstreamFaults(upstream: string): Fault[] {
  const repair = [{do: 'upstream', upstream, fault: {mode: 'none'}}];
  const faults = [
    {mode: 'slow', delayMs: 1_000},
    {mode: 'refusing', proved: false},
    {mode: 'truncated'},
    {mode: 'crossed'},
    {mode: 'silent'},
  ];
  return [
    ...faults.map((fault) => {
      return {inject: [{do: 'upstream', upstream, fault}], repair};
    }),
    {inject: [{do: 'leave', upstream}], repair: []},
  ];
}

/**
 * The steps that start the load: a batch job, a gang and a service, and
 * requests for the operations `airspace-check` and `file-plan`.
 */
export const LOAD: readonly StepInput[] = [
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

/**
 * Checks that file-plan requests succeed again and that every accepted job
 * ends.
 */
export const FINAL_STEPS: readonly StepInput[] = [
  {
    do: 'wait',
    until: {type: 'load_done', load: 'filings', atLeast: 10},
    withinMs: 30_000,
  },
  {do: 'settle', withinMs: 60_000},
];

/**
 * Returns a step that ends after `ms` milliseconds. Its time limit, after which
 * it would fail, is 1,000 ms longer.
 */
export function waitStep(ms: number): StepInput {
  return {do: 'wait', until: {type: 'passed', ms}, withinMs: ms + 1_000};
}
