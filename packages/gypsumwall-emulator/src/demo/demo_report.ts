/** The demo's report: counts of jobs, start times, and which promises held. */
import * as hdr from 'hdr-histogram-js';
import * as finding from '../judge/finding.js';
import * as organisationUsage from '../judge/organisation_usage.js';
import * as taskAttempts from '../judge/task_attempts.js';
import type * as history from '../model/history.js';
import * as mixedJobs from './mixed_jobs.js';
import type * as runDemo from './run_demo.js';

interface Row {
  readonly kind: mixedJobs.JobKind;
  sent: number;
  accepted: number;
  refused: number;
  unknown: number;
  completed: number;
  /** Times from sending a job to the start of its first task, in milliseconds. */
  readonly startTimesMs: hdr.Histogram;
}

const COLUMN_WIDTH = 10;
const MAX_DETAILS = 5;

/** Formats the report. */
export function formatReport(result: runDemo.DemoResult): string {
  const rows = collectRows(result);
  const {reads, writes} = result.storeCalls;
  const lines = [
    formatLine(
      'kind',
      ...['sent', 'accepted', 'refused', 'unknown', 'completed'],
      ...['start p50', 'start p95', 'start max'],
    ),
    ...rows.map(formatRow),
    '',
    `ends of runs: ${countEnds(result.events)}`,
    ...listPeaks(result.events),
    `calls to the store: ${reads} reads, ${writes} writes`,
    '',
    ...finding.PROMISES.map((promise) =>
      formatVerdict(promise, result.findings),
    ),
  ];
  return lines.join('\n');
}

/** The most that each organisation had running, beside its first quota. */
function listPeaks(events: readonly history.HistoryEvent[]): string[] {
  const config = events.find((event) => event.type === 'config_published');
  const usage = organisationUsage.listUsage(events);
  return (config?.organisations ?? []).map(({name, quota}) => {
    const used = usage
      .filter(({organisation}) => organisation === name)
      .map((one) => one.used.cpuMillis);
    const limit = quota.cpuMillis === 0 ? 'no quota' : `${quota.cpuMillis} m`;
    return `${name}: at most ${Math.max(0, ...used)} m in use, ${limit}`;
  });
}

function collectRows(result: runDemo.DemoResult): Row[] {
  const rows = new Map(
    mixedJobs.KINDS.map((kind) => [kind, createEmptyRow(kind)]),
  );
  const findRow = (jobId: string) =>
    rows.get(result.kindOf(jobId) ?? 'short') ?? createEmptyRow('short');
  const completed = new Set<string>();
  for (const event of result.events) {
    if (event.type === 'job_sent') findRow(event.job.jobId).sent += 1;
    else if (event.type === 'job_told') findRow(event.jobId)[event.told] += 1;
    else if (event.type === 'state_shown' && event.state === 'completed') {
      completed.add(event.jobId);
    }
  }
  for (const jobId of completed) findRow(jobId).completed += 1;
  for (const [jobId, waitedMs] of collectStartWaits(result.events)) {
    findRow(jobId).startTimesMs.recordValue(Math.max(1, Math.round(waitedMs)));
  }
  return [...rows.values()];
}

function createEmptyRow(kind: mixedJobs.JobKind): Row {
  const zeroCounts = {
    sent: 0,
    accepted: 0,
    refused: 0,
    unknown: 0,
    completed: 0,
  };
  return {kind, ...zeroCounts, startTimesMs: hdr.build()};
}

function collectStartWaits(
  events: readonly history.HistoryEvent[],
): Map<string, number> {
  const sentAt = new Map<string, number>();
  const waitsMs = new Map<string, number>();
  for (const event of events) {
    if (event.type === 'job_sent') sentAt.set(event.job.jobId, event.at);
    if (event.type !== 'run_started') continue;
    const jobId = event.taskId.split('.', 1)[0] ?? '';
    const sent = sentAt.get(jobId);
    if (sent !== undefined && !waitsMs.has(jobId)) {
      waitsMs.set(jobId, event.at - sent);
    }
  }
  return waitsMs;
}

function formatRow(row: Row): string {
  const {startTimesMs} = row;
  const formatPercentile = (percentile: number) =>
    startTimesMs.totalCount === 0
      ? '-'
      : `${startTimesMs.getValueAtPercentile(percentile)} ms`;
  const counts = [
    row.sent,
    row.accepted,
    row.refused,
    row.unknown,
    // A long-running job doesn't complete.
    row.kind === 'lasting' ? '-' : row.completed,
  ];
  return formatLine(
    row.kind,
    ...counts,
    formatPercentile(50),
    formatPercentile(95),
    formatPercentile(100),
  );
}

function formatLine(
  first: string,
  ...rest: readonly (string | number)[]
): string {
  const cells = rest.map((cell) => String(cell).padStart(COLUMN_WIDTH));
  return first.padEnd(COLUMN_WIDTH) + cells.join(' ');
}

function countEnds(events: readonly history.HistoryEvent[]): string {
  const counts = new Map<string, number>();
  for (const attempt of [
    ...taskAttempts.collectTaskAttempts(events).values(),
  ].flat()) {
    counts.set(attempt.how, (counts.get(attempt.how) ?? 0) + 1);
  }
  return [...counts].map(([how, count]) => `${count} ${how}`).join(', ');
}

function formatVerdict(
  promise: finding.PromiseName,
  findings: readonly finding.Finding[],
): string {
  const violations = findings.filter((one) => one.promise === promise);
  if (violations.length === 0) return `held    ${promise}`;
  const details = violations
    .slice(0, MAX_DETAILS)
    .map(({detail}) => `          ${detail}`);
  const hiddenCount = violations.length - details.length;
  if (hiddenCount > 0) details.push(`          and ${hiddenCount} more`);
  return [`BROKEN  ${promise}`, ...details].join('\n');
}
