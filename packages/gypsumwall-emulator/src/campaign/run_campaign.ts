/** Runs the campaign of one seed and judges its history. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as types from '@gypsumwall/types';
import * as jobTraffic from '../demo/job_traffic.js';
import type * as finding from '../judge/finding.js';
import * as judge from '../judge/judge.js';
import type * as history from '../model/history.js';
import * as emulatedCell from '../rig/emulated_cell.js';
import * as campaignConfig from './campaign_config.js';
import * as faultInjector from './fault_injector.js';
import * as faultPlan from './fault_plan.js';
import * as jobStream from './job_stream.js';
import * as jobTrace from './job_trace.js';

/** Written beside the kept logs: the history, then the callers' tries. */
const HISTORY_FILE = 'history.jsonl';
/** A job's id starts the details of findings about its tasks. */
const JOB_ID_PATTERN = /^[0-9a-f]{16}/;

/** Options of {@link runCampaign}. */
export interface CampaignOptions {
  readonly seed: number;
  readonly entries: number;
  /** 0 for programs that don't know organisations. */
  readonly organisations: number;
  /** Processor share of an entry's instance, as its settings say. */
  readonly cpuShare?: number;
  /** How long faults are injected, in milliseconds. */
  readonly durationMs: number;
  /**
   * Whether workers often crash beside losses of the holder, while jobs have
   * tasks that wait.
   */
  readonly crashesBesideKills?: boolean;
  readonly deployFile: string;
  /** Folder of the built program, if it isn't the one that the file names. */
  readonly builtInto?: string | undefined;
}

/** The findings of a campaign. */
export interface CampaignResult {
  readonly findings: readonly finding.Finding[];
  readonly counts: Readonly<Record<'accepted' | 'refused' | 'unknown', number>>;
  /** The traces of the jobs that the findings name. */
  readonly traces: readonly {
    readonly jobId: string;
    readonly summary: string;
    readonly lines: string;
  }[];
  /** The logs of the entries; undefined if nothing was found. */
  readonly folder: string | undefined;
}

const READY_TIMEOUT_MS = 15_000;
const JOB_INTERVAL_MS = 20;
const WIDE_JOB_INTERVAL_MS = 16_000;
const SETTLE_TIMEOUT_MS = 30_000;
/** Time for starts that nothing should have caused. */
const QUIET_MS = 3_000;

/** Runs it; keeps the logs of the entries if a promise was broken. */
export async function runCampaign(
  options: CampaignOptions,
): Promise<CampaignResult> {
  const {seed, entries, organisations, durationMs} = options;
  const {crashesBesideKills = false} = options;
  const config = campaignConfig.createCampaignConfig(
    seed,
    entries,
    organisations,
    options.cpuShare,
  );
  const trace = jobTrace.createJobTrace();
  const cell = await emulatedCell.startEmulatedCell({
    config,
    deployFile: options.deployFile,
    builtInto: options.builtInto,
    onAppend: trace.recordAppend,
  });
  let keepsLogs = true;
  try {
    const {clock, model} = cell;
    const after = (delayMs: number) =>
      types.clock.after(clock.monotonic(), delayMs);
    await cell.untilReady(after(READY_TIMEOUT_MS));
    const stream = jobStream.createJobStream(cell, campaignConfig.QUEUE, seed);
    const plan = faultPlan.drawFaultPlan({
      seed,
      entries,
      machines: model.machines.length,
      organisations,
      durationMs,
      crashesBesideKills,
    });
    const stop = new AbortController();
    const sending = stream.sendPeriodically(JOB_INTERVAL_MS, stop.signal);
    const sendingWide = crashesBesideKills
      ? sendWideJobs(clock, stream, stop.signal)
      : undefined;
    await faultInjector.injectFaults({
      cell,
      config,
      plan,
      sendBurst(jobs) {
        for (let nth = 0; nth < jobs; nth++) stream.sendOne();
      },
      note: trace.note,
    });
    stop.abort();
    await sending;
    await sendingWide;
    const jobs = await stream.settled();
    await jobTraffic.waitForFinalStates(cell, jobs, after(SETTLE_TIMEOUT_MS));
    await stream.showWide();
    await types.clock.sleepFor(clock, QUIET_MS);
    model.history.record({type: 'history_closed'});
    const events = model.history.events();
    const findings = judge.judge(events);
    keepsLogs = findings.length > 0;
    const sources = {cell, tries: stream.tries};
    const jobIds = new Set(
      findings.flatMap(({detail}) => JOB_ID_PATTERN.exec(detail) ?? []),
    );
    if (keepsLogs) {
      const lines = [...events, ...stream.tries].map((one) =>
        JSON.stringify(one),
      );
      const file = path.join(cell.folder, HISTORY_FILE);
      fs.writeFileSync(file, `${lines.join('\n')}\n`);
    }
    return {
      findings,
      counts: countResults(events),
      traces: [...jobIds].map((jobId) => ({
        jobId,
        summary: trace.summarize(jobId, sources),
        lines: trace.format(jobId, sources),
      })),
      folder: keepsLogs ? cell.folder : undefined,
    };
  } finally {
    await cell.close(keepsLogs);
  }
}

async function sendWideJobs(
  clock: types.clock.Clock,
  stream: jobStream.JobStream,
  stop: AbortSignal,
): Promise<void> {
  while (!stop.aborted) {
    stream.sendWide();
    await types.clock.sleepFor(clock, WIDE_JOB_INTERVAL_MS, stop);
  }
}

function countResults(
  events: readonly history.HistoryEvent[],
): CampaignResult['counts'] {
  const counts = {accepted: 0, refused: 0, unknown: 0};
  for (const event of events) {
    if (event.type === 'job_told') counts[event.told] += 1;
  }
  return counts;
}
