/**
 * `npm run demo [-- --site addis] [--seconds N] [--seed N] [--trace]`: starts
 * an example cell, sends mixed work, prints a table, with `--trace` also the
 * spans of one call, and ends with 1 if the judge finds a broken promise.
 */
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as util from 'node:util';
import * as types from '@gypsumwall/types';
import * as demoFigures from '../demo/demo_figures.js';
import * as demoLoad from '../demo/demo_load.js';
import * as demoTable from '../demo/demo_table.js';
import * as exampleCell from '../example_cell.js';
import * as jobWatch from '../job_watch.js';
import * as jsoncFile from '../jsonc_file.js';
import * as formatTrace from '../format_trace.js';
import * as judge from '../judge/judge.js';
import * as launchCell from '../launch_cell.js';
import * as scenarioReport from '../scenario/scenario_report.js';
import type * as site from '../site.js';
import * as traceCollector from '../trace_collector.js';
import * as workload from '../workload.js';

const PROGRESS_MS = 1_000;
const SETTLE_MS = 30_000;
const TRACE_WAIT_MS = 3_000;
const POLL_MS = 50;

const {values} = util.parseArgs({
  options: {
    site: {type: 'string', default: 'skyroute'},
    seconds: {type: 'string', default: '8'},
    seed: {type: 'string', default: '1'},
    trace: {type: 'boolean', default: false},
  },
});

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Sends the load with a line of progress every second. */
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
    const {sent, told, done, accepted} = load.progress;
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(0);
    say(
      `  ${seconds} s: ${sent} sent, ${told} told (${done} done, ${accepted} jobs accepted)`,
    );
  }, PROGRESS_MS);
  await load.finished;
  clearInterval(timer);
  return load;
}

/** Waits for the jobs' ends and cancels the services. */
async function settle(
  cell: launchCell.Cell,
  load: demoLoad.DemoLoad,
): Promise<boolean> {
  let turn = 0;
  const pick = () => {
    const entries = cell.entries();
    turn += 1;
    const entry = entries[turn % entries.length];
    if (entry === undefined) throw new Error('no entry runs');
    return entry.client;
  };
  const deadline = performance.now() + SETTLE_MS;
  const settled = await jobWatch.watchJobs(load.jobs, pick, deadline);
  cell.recorded.record({type: 'settled'});
  for (const job of load.jobs) {
    if (job.kind === 'service') await pick().cancel(job.token, job.jobId);
  }
  return settled;
}

/** The site with entries that export their traces to the collector. */
function withTraces(
  where: site.Site,
  collector: traceCollector.TraceCollector | undefined,
): site.Site {
  if (collector === undefined) return where;
  const entrySettings = {...where.entrySettings, tracesUrl: collector.url};
  return {...where, entrySettings};
}

/** Prints one trace; entries export theirs with a little delay. */
async function sayTrace(
  collector: traceCollector.TraceCollector,
): Promise<void> {
  const deadline = performance.now() + TRACE_WAIT_MS;
  while (collector.traces().size === 0 && performance.now() < deadline) {
    await timers.setTimeout(POLL_MS);
  }
  const spans = formatTrace.longestTrace(collector.traces());
  if (spans === undefined) return say('\nNo trace was exported.');
  say(`\nTrace ${spans[0]?.traceId}:\n${formatTrace.formatTrace(spans)}`);
}

async function runDemo(): Promise<number> {
  const example = exampleCell.readExampleCell(values.site);
  const work = jsoncFile.requireJsoncFile(
    path.join(example.folder, 'workload.jsonc'),
    workload.workloadSchema,
  );
  say(`Starting the cell ${values.site} (seed ${values.seed}) ...`);
  const collector = values.trace
    ? await traceCollector.startTraceCollector()
    : undefined;
  const cell = await launchCell.launchCell({
    ...example,
    site: withTraces(example.site, collector),
    entryCommand: exampleCell.ENTRY_COMMAND,
    relayed: false,
    seed: Number(values.seed),
  });
  try {
    const entries = cell.entries();
    say(`${entries.length} entries are ready. Sending mixed work:`);
    const cpuBefore = entries.map((entry) => entry.cpuMs());
    const startedAt = performance.now();
    const load = await sendLoad(cell, work);
    say('Waiting for the jobs to end ...');
    const settled = await settle(cell, load);
    const spanMs = performance.now() - startedAt;
    const cpuMs = entries
      .map((entry, index) => entry.cpuMs() - (cpuBefore[index] ?? 0))
      .reduce((sum, one) => sum + one, 0);
    const events = await cell.history();
    const rows = load.classes.map((sent) =>
      demoFigures.classFigures(sent, events),
    );
    const packing = demoFigures.packingFigures(events);
    const tasks = events.filter((event) => event.type === 'task_ended').length;
    const units = load.progress.sent + tasks;
    say(`\n${demoTable.formatTable(rows)}`);
    say(
      `\npacking       ${demoTable.formatShare(packing.heldOfBusy)} of the processors of busy workers held; ${demoTable.formatShare(packing.usedOfHeld)} of what was held was used`,
    );
    say(
      `control cost  ${(cpuMs / units).toFixed(2)} ms of entry processor time for each of ${units} requests, jobs and tasks; ${demoTable.formatShare(cpuMs / spanMs / entries.length)} of a core for each entry`,
    );
    if (collector !== undefined) await sayTrace(collector);
    const findings = judge.judge(events);
    for (const found of findings) say(scenarioReport.formatFinding(found));
    if (!settled) say('\nSome accepted jobs had not ended in time.');
    say(
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
  process.stderr.write(`the demo broke off: ${String(thrown)}\n`);
  process.exitCode = 1;
}
