/**
 * Runs the benchmarks: `npm run bench -- [--quick] [--only=NAME] [--out=NAME]`.
 * Prints the tables and writes bench-results/NAME.json and
 * bench-results/NAME.html. NAME is `full` or `quick` unless --out is given.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as util from 'node:util';
import type * as benchModule from '../bench_module.js';
import * as benchModules from '../bench_modules.js';
import * as formatTable from '../format_table.js';
import * as renderReport from '../render_report.js';

const RESULTS_DIR = 'bench-results';
const FULL_SEEDS = [11, 23, 37, 41, 59];

await main();

async function main(): Promise<void> {
  const {values} = util.parseArgs({
    options: {
      quick: {type: 'boolean', default: false},
      only: {type: 'string'},
      out: {type: 'string'},
    },
  });
  const options = {quick: values.quick, seeds: FULL_SEEDS};
  const selected = benchModules.BENCH_MODULES.filter(
    (each) => values.only === undefined || each.name === values.only,
  );
  if (selected.length === 0 && values.only !== undefined) {
    const names = benchModules.BENCH_MODULES.map((each) => each.name);
    console.error(
      `--only=${values.only}: no such bench; take one of ${names.join(', ')}`,
    );
    process.exitCode = 2;
    return;
  }
  // Read before the run, because the working tree may change during a long run.
  const commit = currentCommit();
  const sections = [];
  for (const each of selected) {
    sections.push({name: each.name, report: await runBench(each, options)});
  }
  const defaultName = values.quick ? 'quick' : 'full';
  writeResults(values.out ?? defaultName, commit, options, sections);
}

async function runBench(
  bench: benchModule.BenchModule,
  options: benchModule.BenchOptions,
): Promise<benchModule.BenchReport> {
  const startedAt = performance.now();
  const report = await bench.run(options);
  const seconds = (performance.now() - startedAt) / 1000;
  console.log(`== ${bench.name} (${seconds.toFixed(1)} s)`);
  for (const note of report.notes) console.log(`- ${note}`);
  for (const table of report.tables) {
    console.log(`\n${formatTable.formatTable(table)}`);
  }
  console.log('');
  return report;
}

function writeResults(
  name: string,
  commit: string,
  options: benchModule.BenchOptions,
  sections: readonly renderReport.ReportSection[],
): void {
  fs.mkdirSync(RESULTS_DIR, {recursive: true});
  const run = {
    command: `npm run bench -- ${process.argv.slice(2).join(' ')}`.trim(),
    commit,
    node: process.version,
    cpu: os.cpus()[0]?.model ?? 'unknown',
    cores: os.cpus().length,
    loadAverage: os.loadavg().map((each) => Number(each.toFixed(1))),
    ...options,
  };
  const json = path.join(RESULTS_DIR, `${name}.json`);
  fs.writeFileSync(json, JSON.stringify({run, sections}, null, 1) + '\n');
  const html = path.join(RESULTS_DIR, `${name}.html`);
  const title = `gypsumwall bench, commit ${run.commit}`;
  fs.writeFileSync(html, renderReport.renderReport(title, sections));
  console.log(`wrote ${json} and ${html}`);
}

/** Commit of the measured code; `+` marks uncommitted changes. */
function currentCommit(): string {
  const git = (...args: string[]) =>
    childProcess.execFileSync('git', args, {encoding: 'utf8'}).trim();
  const isDirty = git('status', '--porcelain', '--', 'packages') !== '';
  return git('rev-parse', '--short', 'HEAD') + (isDirty ? '+' : '');
}
