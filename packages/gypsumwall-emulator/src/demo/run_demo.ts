/** The demo: mixed work while a worker leaves and the holder is killed. */
import * as types from '@gypsumwall/types';
import type * as finding from '../judge/finding.js';
import * as judge from '../judge/judge.js';
import type * as history from '../model/history.js';
import type * as jobCatalog from '../model/job_catalog.js';
import type * as workerMachine from '../model/worker_machine.js';
import * as emulatedCell from '../rig/emulated_cell.js';
import * as jobTraffic from './job_traffic.js';
import * as mixedJobs from './mixed_jobs.js';

/** How the demo is played. */
export interface DemoOptions extends emulatedCell.EmulatedCellOptions {
  readonly spans: DemoSpans;
  /** By default the entries' logs stay only if a promise was broken. */
  readonly keepsLogs?: boolean | undefined;
  /** Takes a line of progress. */
  readonly say: (line: string) => void;
}

/** How long its parts take, in milliseconds. */
export interface DemoSpans {
  readonly shortJobEveryMs: number;
  readonly gangEveryMs: number;
  /** Work before the worker leaves. */
  readonly beforeLeavingMs: number;
  /** Work between the worker's leaving and the holder's end. */
  readonly beforeKillMs: number;
  /** Work after the holder's end. */
  readonly afterKillMs: number;
  /** Accepted jobs that haven't ended by then are found to be lost. */
  readonly settleMs: number;
}

/** What the demo saw. */
export interface DemoResult {
  readonly findings: readonly finding.Finding[];
  readonly events: readonly history.HistoryEvent[];
  readonly kindOf: (jobId: string) => mixedJobs.JobKind | undefined;
  readonly storeCalls: {readonly reads: number; readonly writes: number};
}

const READY_WITHIN_MS = 15_000;
const HOLDER_WITHIN_MS = 5_000;
const POLL_MS = 200;

/** Plays the demo and judges it. */
export async function runDemo(options: DemoOptions): Promise<DemoResult> {
  const cell = await emulatedCell.startEmulatedCell(options);
  let keepsLogs = true;
  try {
    const jobs = mixedJobs.createMixedJobs(options.config.seed);
    await play(cell, jobs, options);
    const {history: seen, store} = cell.model;
    seen.record({type: 'history_closed'});
    const events = [...seen.events()];
    const findings = judge.judge(events);
    keepsLogs = options.keepsLogs ?? findings.length > 0;
    const storeCalls = store.calls();
    return {
      events,
      findings,
      kindOf: (jobId) => jobs.kindOf(jobId),
      storeCalls,
    };
  } finally {
    await cell.close(keepsLogs);
    if (keepsLogs) options.say(`logs of the entries: ${cell.folder}`);
  }
}

async function play(
  cell: emulatedCell.EmulatedCell,
  jobs: mixedJobs.MixedJobs,
  {spans, say}: DemoOptions,
): Promise<void> {
  const {clock, model} = cell;
  const within = (spanMs: number) =>
    types.clock.after(clock.monotonic(), spanMs);
  await cell.untilReady(within(READY_WITHIN_MS));
  const holder = await untilHolder(cell, within(HOLDER_WITHIN_MS));
  say(`${cell.entries.length} entries are ready; ${holder.name} places work.`);

  const lasting = jobs.make('lasting');
  const told = await cell.callers.submit(lasting);
  if (told !== 'accepted') throw new Error(`the lasting job is ${told}`);
  const over = new AbortController();
  const streams = [
    jobTraffic.sendEvery(
      cell,
      () => jobs.make('short'),
      spans.shortJobEveryMs,
      over,
    ),
    jobTraffic.sendEvery(
      cell,
      () => jobs.make('gang'),
      spans.gangEveryMs,
      over,
    ),
  ];
  await types.clock.sleepFor(clock, spans.beforeLeavingMs);

  const leaver = machineOf(cell, lasting);
  say(`${leaver.name} announces that it leaves.`);
  await leaver.leave();
  say(`${leaver.name} has left.`);
  await types.clock.sleepFor(clock, spans.beforeKillMs);

  const killed = (await cell.findHolder()) ?? holder;
  model.history.record({type: 'disruption', what: `${killed.name} killed`});
  killed.kill();
  say(`${killed.name}, which placed the work, is killed.`);
  await types.clock.sleepFor(clock, spans.afterKillMs);
  over.abort();
  const sent = [lasting, ...(await Promise.all(streams)).flat()];
  say(`${sent.length} jobs were sent; waiting for the accepted ones.`);
  await jobTraffic.settle(cell, sent, within(spans.settleMs));
}

async function untilHolder(
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

/** A machine that runs a task of the job; any if none does. */
function machineOf(
  cell: emulatedCell.EmulatedCell,
  job: jobCatalog.JobSpec,
): workerMachine.WorkerMachine {
  const {machines} = cell.model;
  const runs = (machine: workerMachine.WorkerMachine) =>
    machine
      .worker()
      ?.running()
      .some((run) => run.taskId.startsWith(job.jobId));
  const found = machines.find(runs) ?? machines[0];
  if (found === undefined) throw new Error('the platform has no workers');
  return found;
}
