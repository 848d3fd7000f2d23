/**
 * `npm run demo:platform [-- --config FILE] [--seed N] [--keep-logs]
 * [--program FOLDER]`: runs three deployed entries on the emulated platform
 * with mixed jobs, while a worker leaves and the holder is killed. Exits with 1
 * if a promise was broken. `--program` is the folder of another build.
 */
import * as path from 'node:path';
import * as url from 'node:url';
import * as util from 'node:util';
import * as emulatorConfig from '../config/emulator_config.js';
import * as demoReport from '../demo/demo_report.js';
import * as runDemo from '../demo/run_demo.js';

/** The package's folder, resolved from the compiled file. */
const PACKAGE_FOLDER = url.fileURLToPath(new URL('../../', import.meta.url));
const DEMO_CONFIG = path.join(PACKAGE_FOLDER, 'examples/organisations.jsonc');
const DEPLOY_FILE = 'deploy/system.toml';
const DURATIONS: runDemo.DemoDurations = {
  shortJobIntervalMs: 100,
  gangIntervalMs: 5_000,
  beforeDrainMs: 4_000,
  beforeKillMs: 4_000,
  afterKillMs: 12_000,
  settleTimeoutMs: 15_000,
};

const {values} = util.parseArgs({
  options: {
    config: {type: 'string', default: DEMO_CONFIG},
    seed: {type: 'string'},
    'keep-logs': {type: 'boolean'},
    program: {type: 'string'},
  },
});

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function main(): Promise<number> {
  const fileConfig = emulatorConfig.readEmulatorConfig(values.config);
  const seed =
    values.seed === undefined ? fileConfig.seed : Number(values.seed);
  if (!Number.isInteger(seed)) {
    throw new Error(`--seed = ${values.seed}: give a whole number`);
  }
  const startedAt = performance.now();
  const printWithTime = (line: string) => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
    printLine(`${seconds.padStart(5)} s  ${line}`);
  };
  const result = await runDemo.runDemo({
    config: {...fileConfig, seed},
    deployFile: DEPLOY_FILE,
    builtInto: values.program,
    durations: DURATIONS,
    keepsLogs: values['keep-logs'],
    print: printWithTime,
  });
  printLine(`\n${demoReport.formatReport(result)}`);
  return result.findings.length === 0 ? 0 : 1;
}

try {
  process.exitCode = await main();
} catch (thrown) {
  process.stderr.write(`the demo failed: ${String(thrown)}\n`);
  process.exitCode = 1;
}
