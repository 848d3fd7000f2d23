/** The demo: runs mixed jobs while a worker leaves and the holder is killed. */
import * as types from '@gypsumwall/types';
import type * as finding from '../judge/finding.js';
import * as judge from '../judge/judge.js';
import type * as history from '../model/history.js';
import type * as jobCatalog from '../model/job_catalog.js';
import type * as workerMachine from '../model/worker_machine.js';
import * as emulatedCell from '../rig/emulated_cell.js';
import * as jobTraffic from './job_traffic.js';
import * as organisationChanges from './organisation_changes.js';
import * as mixedJobs from './mixed_jobs.js';

/** Options of {@link runDemo}. */
export interface DemoOptions extends emulatedCell.EmulatedCellOptions {
  readonly durations: DemoDurations;
  /** Whether to keep the entries' logs; by default only if a promise was broken. */
  readonly keepsLogs?: boolean | undefined;
  /** Prints a line of progress. */
  readonly print: (line: string) => void;
}

/** Durations of the demo's phases and intervals of its jobs, in milliseconds. */
export interface DemoDurations {
  readonly shortJobIntervalMs: number;
  readonly gangIntervalMs: number;
  /** Time before the worker announces that it leaves. */
  readonly beforeDrainMs: number;
  /** Time between the worker's end and the kill of the holder. */
  readonly beforeKillMs: number;
  /** Time during which jobs are still sent after the kill. */
  readonly afterKillMs: number;
  /** Accepted jobs that haven't ended after this time are reported as lost. */
  readonly settleTimeoutMs: number;
}

/** The demo's history and its findings. */
export interface DemoResult {
  readonly findings: readonly finding.Finding[];
  readonly events: readonly history.HistoryEvent[];
  readonly kindOf: (jobId: string) => mixedJobs.JobKind | undefined;
  readonly storeCalls: {readonly reads: number; readonly writes: number};
}

const READY_TIMEOUT_MS = 15_000;
const HOLDER_TIMEOUT_MS = 5_000;
const POLL_MS = 200;

/** Runs the demo and judges its history. */
export async function runDemo(options: DemoOptions): Promise<DemoResult> {
  const cell = await emulatedCell.startEmulatedCell(options);
  let keepsLogs = true;
  try {
    const names = options.config.organisations.map(({name}) => name);
    const jobs = mixedJobs.createMixedJobs(options.config.seed, names);
    await runScenario(cell, jobs, options);
    const {history: eventHistory, store} = cell.model;
    eventHistory.record({type: 'history_closed'});
    const events = [...eventHistory.events()];
    const findings = judge.judge(events);
    keepsLogs = options.keepsLogs ?? findings.length > 0;
    const storeCalls = store.callCounts();
    return {
      events,
      findings,
      kindOf: (jobId) => jobs.kindOf(jobId),
      storeCalls,
    };
  } finally {
    await cell.close(keepsLogs);
    if (keepsLogs) options.print(`logs of the entries: ${cell.folder}`);
  }
}

async function runScenario(
  cell: emulatedCell.EmulatedCell,
  jobs: mixedJobs.MixedJobs,
  {durations, print}: DemoOptions,
): Promise<void> {
  const {clock, model} = cell;
  const deadlineAfter = (delayMs: number) =>
    types.clock.after(clock.monotonic(), delayMs);
  await cell.untilReady(deadlineAfter(READY_TIMEOUT_MS));
  const holder = await waitForHolder(cell, deadlineAfter(HOLDER_TIMEOUT_MS));
  print(
    `${cell.entries.length} entries are ready; ${holder.name} places work.`,
  );

  const longRunningJob = jobs.make('lasting');
  const result = await cell.callers.submit(longRunningJob);
  if (result !== 'accepted')
    throw new Error(`the long-running job is ${result}`);
  const stopSending = new AbortController();
  const streams = [
    jobTraffic.sendPeriodically(
      cell,
      () => jobs.make('short'),
      durations.shortJobIntervalMs,
      stopSending,
    ),
    jobTraffic.sendPeriodically(
      cell,
      () => jobs.make('gang'),
      durations.gangIntervalMs,
      stopSending,
    ),
  ];
  await types.clock.sleepFor(clock, durations.beforeDrainMs);

  const leavingMachine = findMachineRunning(cell, longRunningJob);
  print(`${leavingMachine.name} announces that it leaves.`);
  await leavingMachine.leave();
  print(`${leavingMachine.name} has left.`);
  organisationChanges.revokeFirstKey(cell, print);
  organisationChanges.halveQuotas(cell, print);
  await types.clock.sleepFor(clock, durations.beforeKillMs);

  const killedEntry = (await cell.findHolder()) ?? holder;
  model.history.record({
    type: 'disruption',
    what: `${killedEntry.name} killed`,
  });
  killedEntry.kill();
  print(`${killedEntry.name}, which placed the work, is killed.`);
  await types.clock.sleepFor(clock, durations.afterKillMs);
  stopSending.abort();
  const sent = [longRunningJob, ...(await Promise.all(streams)).flat()];
  print(`${sent.length} jobs were sent; waiting for the accepted ones.`);
  await jobTraffic.waitForFinalStates(
    cell,
    sent,
    deadlineAfter(durations.settleTimeoutMs),
  );
}

async function waitForHolder(
  cell: emulatedCell.EmulatedCell,
  deadline: types.clock.MonotonicMs,
): Promise<emulatedCell.EmulatedCell['entries'][number]> {
  for (;;) {
    const holder = await cell.findHolder();
    if (holder !== undefined) return holder;
    if (cell.clock.monotonic() >= deadline) {
      throw new Error('no entry places work');
    }
    await types.clock.sleepFor(cell.clock, POLL_MS);
  }
}

/** Finds a machine that runs a task of the job, or any machine if none does. */
function findMachineRunning(
  cell: emulatedCell.EmulatedCell,
  job: jobCatalog.JobSpec,
): workerMachine.WorkerMachine {
  const {machines} = cell.model;
  const runsTask = (machine: workerMachine.WorkerMachine) =>
    machine
      .worker()
      ?.running()
      .some((attempt) => attempt.taskId.startsWith(job.jobId));
  const machine = machines.find(runsTask) ?? machines[0];
  if (machine === undefined) throw new Error('the platform has no workers');
  return machine;
}
