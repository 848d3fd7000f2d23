/** The faults that random scenarios are made of, and the load beneath them. */

/** A step as a scenario's file has it. */
export type StepInput = Readonly<Record<string, unknown>>;

/** A fault, by the steps that bring it and the steps that mend it. */
export interface Fault {
  readonly strike: readonly StepInput[];
  readonly mend: readonly StepInput[];
}

/** The faults strike this domain. */
export const DOMAIN = 'bkk-a';
const OTHER_DOMAIN = 'bkk-b';

function replacement(entry: string): StepInput {
  const id = `${entry}-next`;
  return {do: 'start_entry', entry: id, failureDomain: DOMAIN, ready: false};
}

/** Faults of one entry of the domain. */
export function entryFaults(entry: string): Fault[] {
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

/** Faults of the log. */
export function logFaults(): Fault[] {
  const up = [{do: 'log', fault: {mode: 'up'}}];
  const faults = [
    {mode: 'down'},
    {mode: 'slow', delayMs: 700},
    {mode: 'lose_answers', appends: 10},
  ];
  return faults.map((fault) => ({strike: [{do: 'log', fault}], mend: up}));
}

/** Faults of one worker. */
export function workerFaults(worker: string): Fault[] {
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

/** Faults of one upstream. */
export function upstreamFaults(upstream: string): Fault[] {
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

/** Jobs of each kind, quick requests and filings. */
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

/** Filings are served again, and all that was accepted ends. */
export const AFTERWARDS: readonly StepInput[] = [
  {
    do: 'wait',
    until: {type: 'load_done', load: 'filings', atLeast: 10},
    withinMs: 30_000,
  },
  {do: 'settle', withinMs: 60_000},
];

/** Waits for a span. */
export function pause(ms: number): StepInput {
  return {do: 'wait', until: {type: 'passed', ms}, withinMs: ms + 1_000};
}
