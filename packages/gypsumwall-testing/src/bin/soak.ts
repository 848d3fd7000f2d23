/**
 * `npm run soak [-- --seeds N] [--from S]`: runs all seeds that failed in the
 * past, then N scenarios of overlapping faults with the seeds from S on, and
 * prints a line for each. Without `--from`, S is random. `--seed S` runs one
 * seed and prints its history. Exits with 1 if a scenario failed.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as util from 'node:util';
import * as zod from 'zod';
import * as exampleCell from '../example_cell.js';
import * as jsoncFile from '../jsonc_file.js';
import * as runScenario from '../scenario/run_scenario.js';
import * as scenarioFile from '../scenario/scenario_file.js';
import * as scenarioReport from '../scenario/scenario_report.js';
import * as soakScenario from '../scenario/soak_scenario.js';

/** File of the seeds that failed in the past, each with its cause. */
const FAILED_FILE = path.join('scenarios', 'soak', 'failed_seeds.jsonc');
const failedSchema = zod.array(
  zod.strictObject({seed: zod.number().int(), cause: zod.string().min(1)}),
);
const MAX_SEED = 1_000_000;

const {values} = util.parseArgs({
  options: {
    seeds: {type: 'string', default: '5'},
    from: {type: 'string'},
    seed: {type: 'string'},
  },
});

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/**
 * Reads the seeds that failed in the past; throws with the line of an error and
 * how to correct it.
 */
function failedSeeds(): number[] {
  const full = path.join(exampleCell.REPOSITORY, FAILED_FILE);
  const text = fs.readFileSync(full, 'utf8');
  const read = jsoncFile.parseJsonc(FAILED_FILE, text, failedSchema);
  if (read.isErr) throw new Error(read.error);
  return read.value.map((row) => row.seed);
}

/**
 * Parses a whole number; throws with the option, its value and how to correct
 * it.
 */
function wholeNumber(option: string, value: string): number {
  if (/^\d+$/.test(value)) return Number(value);
  throw new Error(`--${option}=${value}: give a whole number from 0`);
}

function chosenSeeds(): number[] {
  const {seed, from: first, seeds} = values;
  if (seed !== undefined) return [wholeNumber('seed', seed)];
  const fresh = () => crypto.randomInt(MAX_SEED);
  const from = first === undefined ? fresh() : wholeNumber('from', first);
  const count = wholeNumber('seeds', seeds);
  const newSeeds = Array.from({length: count}, (_, nth) => from + nth);
  return [...failedSeeds(), ...newSeeds];
}

/** Runs one seed and returns whether its scenario passed. */
async function runSeed(seed: number): Promise<boolean> {
  const scenario = soakScenario.soakScenario(seed);
  const where = scenarioFile.readSite();
  if (where.isErr) throw new Error(where.error);
  const verdict = await runScenario.runScenario({
    scenario,
    site: where.value,
    example: exampleCell.readExampleCell(scenario.example),
    entryCommand: exampleCell.ENTRY_COMMAND,
    keepFolder: false,
  });
  print(scenarioReport.formatVerdict(`soak-${seed}`, seed, verdict));
  if (values.seed !== undefined) {
    print(scenarioReport.formatHistory(verdict.events));
  }
  return runScenario.hasPassed(verdict);
}

async function main(): Promise<number> {
  const failed: number[] = [];
  const seeds = chosenSeeds();
  for (const seed of seeds) if (!(await runSeed(seed))) failed.push(seed);
  print(`${seeds.length - failed.length} of ${seeds.length} seeds passed`);
  if (failed.length > 0) print(`red: ${failed.join(', ')}`);
  return failed.length === 0 ? 0 : 1;
}

process.exitCode = await main();
