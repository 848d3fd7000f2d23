/**
 * `npm run scenarios [-- NAME ...] [--history]`: runs the scenarios one after
 * another, a line each, and ends with 1 if a promise was broken, 2 if a file
 * is bad.
 */
import * as util from 'node:util';
import * as exampleCell from '../example_cell.js';
import * as history from '../history.js';
import type * as finding from '../judge/finding.js';
import * as runScenario from '../scenario/run_scenario.js';
import * as scenarioFile from '../scenario/scenario_file.js';

const {values, positionals} = util.parseArgs({
  allowPositionals: true,
  options: {
    history: {type: 'boolean', default: false},
    /** Another built tree whose entries are to be run. */
    'entry-main': {type: 'string'},
  },
});

const FINDINGS_SHOWN = 5;
const EVIDENCE_SHOWN = 20;

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

function showFinding({promise, message, evidence}: finding.Finding): void {
  say(`  BROKEN ${promise}: ${message}`);
  const from = evidence[0]?.at;
  if (from === undefined) return;
  for (const event of evidence.slice(0, EVIDENCE_SHOWN)) {
    say(`    ${history.describe(event, from)}`);
  }
}

function showVerdict(verdict: runScenario.ScenarioVerdict): void {
  if (verdict.failure !== '') say(`  FAILED ${verdict.failure}`);
  verdict.findings.slice(0, FINDINGS_SHOWN).forEach(showFinding);
  const more = verdict.findings.length - FINDINGS_SHOWN;
  if (more > 0) say(`  and ${more} more broken promises`);
}

function showHistory(verdict: runScenario.ScenarioVerdict): void {
  const from = verdict.events[0]?.at;
  if (from === undefined) return;
  for (const event of verdict.events) say(history.describe(event, from));
}

/** Runs one; whether it passed. */
async function runOne(
  name: string,
  read: scenarioFile.ReadScenario,
): Promise<boolean> {
  const {scenario} = read;
  const main = values['entry-main'];
  const entryCommand =
    main === undefined
      ? exampleCell.ENTRY_COMMAND
      : [main, ...exampleCell.ENTRY_COMMAND.slice(1)];
  try {
    const verdict = await runScenario.runScenario({
      scenario,
      site: read.site,
      example: exampleCell.readExampleCell(scenario.example),
      entryCommand,
    });
    const passed = verdict.failure === '' && verdict.findings.length === 0;
    const seconds = (verdict.spanMs / 1_000).toFixed(1);
    const word = passed ? 'pass' : 'FAIL';
    say(`${word}  ${name}  (seed ${scenario.seed}, ${seconds} s)`);
    if (values.history) showHistory(verdict);
    if (!passed) showVerdict(verdict);
    return passed;
  } catch (thrown) {
    say(`FAIL  ${name}: the cell did not come up: ${String(thrown)}`);
    return false;
  }
}

async function runAll(): Promise<number> {
  const names =
    positionals.length > 0 ? positionals : scenarioFile.scenarioNames();
  const all = names.map((name) => {
    return {name, read: scenarioFile.readScenario(name)};
  });
  const bad = all.flatMap(({read}) => (read.isErr ? [read.error] : []));
  for (const error of bad) process.stderr.write(`${error}\n`);
  if (bad.length > 0) return 2;
  let failed = 0;
  for (const {name, read} of all) {
    if (read.isErr) continue;
    if (!(await runOne(name, read.value))) failed += 1;
  }
  say(`${all.length - failed} of ${all.length} scenarios passed`);
  return failed === 0 ? 0 : 1;
}

process.exitCode = await runAll();
