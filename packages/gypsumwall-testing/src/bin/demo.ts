/**
 * `npm run demo [-- --site addis] [--seconds N] [--seed N] [--trace]`: starts
 * an example cell, sends mixed work and prints a table, and with `--trace` also
 * the spans of one call. Exits with 1 if the judge finds a violation or jobs
 * have not ended in time.
 */
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as util from 'node:util';
import * as types from '@gypsumwall/types';
import * as demoStatistics from '../demo/demo_statistics.js';
import * as demoLoad from '../demo/demo_load.js';
import * as demoTable from '../demo/demo_table.js';
import * as exampleCell from '../example_cell.js';
import * as waitForJobs from '../wait_for_jobs.js';
import * as jsoncFile from '../jsonc_file.js';
import * as formatTrace from '../format_trace.js';
import * as judge from '../judge/judge.js';
import * as launchCell from '../launch_cell.js';
import * as scenarioReport from '../scenario/scenario_report.js';
import type * as site from '../site.js';
import * as traceCollector from '../trace_collector.js';
import * as workload from '../workload.js';

const PROGRESS_INTERVAL_MS = 1_000;
const SETTLE_TIMEOUT_MS = 30_000;
const TRACE_TIMEOUT_MS = 3_000;
const POLL_INTERVAL_MS = 50;

const {values} = util.parseArgs({
  options: {
    site: {type: 'string', default: 'skyroute'},
    seconds: {type: 'string', default: '8'},
    seed: {type: 'string', default: '1'},
    trace: {type: 'boolean', default: false},
  },
});

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Sends the load and prints its progress every second. */
async function sendLoad(
  cell: launchCell.Cell,
  work: workload.Workload,
): Promise<demoLoad.DemoLoad> {
  const load = demoLoad.startDemoLoad({
    cell,
    work,
    seconds: Number(values.seconds),
    random: types.random.createRandom(Number(values.seed)),
  });
  const startedAt = performance.now();
  const timer = setInterval(() => {
    const {sent, answered, done, accepted} = load.progress;
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(0);
    print(
      `  ${seconds} s: ${sent} sent, ${answered} answered (${done} done, ${accepted} jobs accepted)`,
    );
  }, PROGRESS_INTERVAL_MS);
  await load.finished;
  clearInterval(timer);
  return load;
}

/** Waits until the jobs have ended, and cancels the services. */
async function settle(
  cell: launchCell.Cell,
  load: demoLoad.DemoLoad,
): Promise<boolean> {
  let entryIndex = 0;
  const nextClient = () => {
    const entries = cell.entries();
    entryIndex += 1;
    const entry = entries[entryIndex % entries.length];
    if (entry === undefined) throw new Error('no entry is running');
    return entry.client;
  };
  const deadline = performance.now() + SETTLE_TIMEOUT_MS;
  const settled = await waitForJobs.waitForJobs(
    load.jobs,
    nextClient,
    deadline,
  );
  cell.recorded.record({type: 'settled'});
  for (const job of load.jobs) {
    if (job.kind === 'service') await nextClient().cancel(job.token, job.jobId);
  }
  return settled;
}

/** Returns the site with entries that export their traces to the collector. */
function withTraces(
  cellSite: site.Site,
  collector: traceCollector.TraceCollector | undefined,
): site.Site {
  if (collector === undefined) return cellSite;
  const entrySettings = {...cellSite.entrySettings, tracesUrl: collector.url};
  return {...cellSite, entrySettings};
}

/** Prints one trace, after waiting for the entries to export it. */
async function printTrace(
  collector: traceCollector.TraceCollector,
): Promise<void> {
  const deadline = performance.now() + TRACE_TIMEOUT_MS;
  while (collector.traces().size === 0 && performance.now() < deadline) {
    await timers.setTimeout(POLL_INTERVAL_MS);
  }
  const spans = formatTrace.longestTrace(collector.traces());
  if (spans === undefined) return print('\nNo trace was exported.');
  print(`\nTrace ${spans[0]?.traceId}:\n${formatTrace.formatTrace(spans)}`);
}

async function runDemo(): Promise<number> {
  const example = exampleCell.readExampleCell(values.site);
  const work = jsoncFile.requireJsoncFile(
    path.join(example.folder, 'workload.jsonc'),
    workload.workloadSchema,
  );
  print(`Starting the cell ${values.site} (seed ${values.seed}) ...`);
  const collector = values.trace
    ? await traceCollector.startTraceCollector()
    : undefined;
  const cell = await launchCell.launchCell({
    ...example,
    site: withTraces(example.site, collector),
    entryCommand: exampleCell.ENTRY_COMMAND,
    isRelayed: false,
    seed: Number(values.seed),
  });
  try {
    const entries = cell.entries();
    print(`${entries.length} entries are ready. Sending mixed work:`);
    const cpuBefore = entries.map((entry) => entry.cpuMs());
    const startedAt = performance.now();
    const load = await sendLoad(cell, work);
    print('Waiting for the jobs to end ...');
    const settled = await settle(cell, load);
    const elapsedMs = performance.now() - startedAt;
    const cpuMs = entries
      .map((entry, index) => entry.cpuMs() - (cpuBefore[index] ?? 0))
      .reduce((sum, one) => sum + one, 0);
    const events = await cell.history();
    const rows = load.classes.map((sent) =>
      demoStatistics.classStatistics(sent, events),
    );
    const packing = demoStatistics.packingStatistics(events);
    const tasks = events.filter((event) => event.type === 'task_ended').length;
    const units = load.progress.sent + tasks;
    print(`\n${demoTable.formatTable(rows)}`);
    print(
      `\npacking       ${demoTable.formatShare(packing.allocatedOfBusy)} of the processors of busy workers allocated; ${demoTable.formatShare(packing.usedOfAllocated)} of the allocated processors used`,
    );
    print(
      `control cost  ${(cpuMs / units).toFixed(2)} ms of entry processor time for each of ${units} requests, jobs and tasks; ${demoTable.formatShare(cpuMs / elapsedMs / entries.length)} of a core for each entry`,
    );
    if (collector !== undefined) await printTrace(collector);
    const findings = judge.judge(events);
    for (const found of findings) print(scenarioReport.formatFinding(found));
    if (!settled) print('\nSome accepted jobs had not ended in time.');
    print(
      findings.length === 0
        ? '\nThe judge found no broken promise.'
        : `\nThe judge found ${findings.length} broken promises.`,
    );
    return findings.length === 0 && settled ? 0 : 1;
  } finally {
    await cell.close();
    await collector?.close();
  }
}

try {
  process.exitCode = await runDemo();
} catch (thrown) {
  process.stderr.write(`the demo failed: ${String(thrown)}\n`);
  process.exitCode = 1;
}
