/**
 * `npm run scenarios [-- NAME ...] [--history]`: runs the scenarios one after
 * another and prints a line for each. Exits with 1 if a scenario failed, and
 * with 2 if a file is invalid. `--random N [--seed S]` runs N generated
 * scenarios instead. `--without SAFEGUARD` builds the product without a
 * safeguard and runs the scenarios that name it: each of them must fail.
 */
import * as util from 'node:util';
import * as exampleCell from '../example_cell.js';
import * as runScenario from '../scenario/run_scenario.js';
import * as scenarioFile from '../scenario/scenario_file.js';
import * as scenarioReport from '../scenario/scenario_report.js';
import * as buildWithoutSafeguard from '../scenario/build_without_safeguard.js';

const {values, positionals} = util.parseArgs({
  allowPositionals: true,
  options: {
    history: {type: 'boolean', default: false},
    without: {type: 'string'},
    /** Generates this many scenarios with two faults each, from the seed. */
    random: {type: 'string'},
    seed: {type: 'string', default: '1'},
    /** Keeps the settings and logs of each cell and prints their folder. */
    keep: {type: 'boolean', default: false},
  },
});

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

interface NamedScenario {
  readonly name: string;
  readonly loaded: scenarioFile.LoadedScenario;
}

/** Runs a scenario and returns whether it passed. */
async function runOne(
  {name, loaded}: NamedScenario,
  entryCommand: readonly string[],
): Promise<boolean> {
  const {scenario} = loaded;
  try {
    const verdict = await runScenario.runScenario({
      scenario,
      site: loaded.site,
      example: exampleCell.readExampleCell(scenario.example),
      entryCommand,
      keepFolder: values.keep,
    });
    print(scenarioReport.formatVerdict(name, scenario.seed, verdict));
    if (values.random !== undefined) print(`  ${scenario.story.join(' ')}`);
    if (values.keep) print(`  settings and logs: ${verdict.folder}`);
    if (values.history) print(scenarioReport.formatHistory(verdict.events));
    return runScenario.hasPassed(verdict);
  } catch (thrown) {
    print(`FAIL  ${name}: the cell failed to start: ${String(thrown)}`);
    return false;
  }
}

async function runAll(scenarios: readonly NamedScenario[]): Promise<number> {
  let passed = 0;
  for (const scenario of scenarios) {
    if (await runOne(scenario, exampleCell.ENTRY_COMMAND)) passed += 1;
  }
  print(`${passed} of ${scenarios.length} scenarios passed`);
  return passed === scenarios.length ? 0 : 1;
}

/** Checks that each scenario that names the safeguard fails without it. */
async function runWithout(
  safeguard: string,
  scenarios: readonly NamedScenario[],
): Promise<number> {
  const selected = scenarios.filter(({loaded}) =>
    loaded.scenario.without.includes(safeguard),
  );
  if (selected.length === 0) {
    const known = buildWithoutSafeguard.safeguardNames().join(', ');
    print(`no scenario names the safeguard "${safeguard}"; there are ${known}`);
    return 2;
  }
  const built = buildWithoutSafeguard.buildWithoutSafeguard(safeguard);
  const command = [built.main, ...exampleCell.ENTRY_COMMAND.slice(1)];
  let failedCount = 0;
  try {
    for (const scenario of selected) {
      if (!(await runOne(scenario, command))) failedCount += 1;
    }
  } finally {
    built.remove();
  }
  print(
    `without ${safeguard}: ${failedCount} of ${selected.length} turned red`,
  );
  return failedCount === selected.length ? 0 : 1;
}

/**
 * Returns the scenarios from the files or the generated ones; prints errors and
 * returns undefined if there are any.
 */
function chooseScenarios(): NamedScenario[] | undefined {
  if (values.random !== undefined) {
    const {seed} = values;
    const generated = scenarioFile.generateScenarios(
      Number(values.random),
      Number(seed),
    );
    if (generated.isErr) {
      process.stderr.write(`${generated.error}\n`);
      return undefined;
    }
    return generated.value.map((loaded, index) => {
      return {name: `random-${seed}-${index + 1}`, loaded};
    });
  }
  const names =
    positionals.length > 0 ? positionals : scenarioFile.scenarioNames();
  const scenarios: NamedScenario[] = [];
  for (const name of names) {
    const read = scenarioFile.readScenario(name);
    if (read.isErr) process.stderr.write(`${read.error}\n`);
    else scenarios.push({name, loaded: read.value});
  }
  return scenarios.length === names.length ? scenarios : undefined;
}

async function main(): Promise<number> {
  const scenarios = chooseScenarios();
  if (scenarios === undefined) return 2;
  return values.without === undefined
    ? runAll(scenarios)
    : runWithout(values.without, scenarios);
}

process.exitCode = await main();
