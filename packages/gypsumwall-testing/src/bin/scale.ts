/**
 * `npm run scale`: measures one failure domain of real entries at several
 * sizes, and how soon a published setting takes effect, for docs/CAPACITY.md.
 * Writes bench-results/scale.json.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as measureDomain from '../scale/measure_domain.js';
import * as measureSettings from '../scale/measure_settings.js';

const SIZES = [30, 100, 300, 1_000];
const TASKS_PER_WORKER = 14;
const IDLE_MS = 8_000;
const PUBLISHES = 60;
const RESULT = 'bench-results/scale.json';

const rows: measureDomain.DomainMeasurement[] = [];
for (const workers of SIZES) {
  const figures = await measureDomain.measureDomain({
    workers,
    tasksPerWorker: TASKS_PER_WORKER,
    idleMs: IDLE_MS,
  });
  rows.push(figures);
  process.stdout.write(`${JSON.stringify(figures)}\n`);
}
const settings = await measureSettings.measureSettings(PUBLISHES);
process.stdout.write(`${JSON.stringify(settings)}\n`);
const commit = childProcess
  .execFileSync('git', ['rev-parse', '--short', 'HEAD'], {encoding: 'utf8'})
  .trim();
const run = {
  command: 'npm run scale',
  commit,
  node: process.version,
  cores: os.cpus().length,
  loadAverage: os.loadavg(),
};
fs.writeFileSync(RESULT, `${JSON.stringify({run, rows, settings}, null, 1)}\n`);
