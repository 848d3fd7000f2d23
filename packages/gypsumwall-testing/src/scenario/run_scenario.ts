/** Runs one scenario on a cell of its own and judges what was recorded. */
import * as timers from 'node:timers/promises';
import type * as historyEvent from '../history_event.js';
import * as jobWatch from '../job_watch.js';
import type * as finding from '../judge/finding.js';
import * as judge from '../judge/judge.js';
import * as launchCell from '../launch_cell.js';
import type * as site from '../site.js';
import type * as exampleCell from '../example_cell.js';
import * as callSteps from './call_steps.js';
import * as conditions from './conditions.js';
import * as faultSteps from './fault_steps.js';
import type * as scenarioSchema from './scenario_schema.js';
import * as scenarioState from './scenario_state.js';

/** How a run ended. */
export interface ScenarioVerdict {
  /** Why a step failed; empty when none did. */
  readonly failure: string;
  readonly findings: readonly finding.Finding[];
  readonly events: readonly historyEvent.HistoryEvent[];
  readonly spanMs: number;
  /** Settings and logs of the cell; gone unless it was to be kept. */
  readonly folder: string;
}

/** Whether no step failed and no promise was broken. */
export function hasPassed(verdict: ScenarioVerdict): boolean {
  return verdict.failure === '' && verdict.findings.length === 0;
}

/** What to run it on. */
export interface RunOptions {
  readonly scenario: scenarioSchema.Scenario;
  readonly example: exampleCell.ExampleCell;
  readonly site: site.Site;
  readonly entryCommand: readonly string[];
  readonly keepFolder: boolean;
}

/** Runs it. Throws only when the cell doesn't come up. */
export async function runScenario(
  options: RunOptions,
): Promise<ScenarioVerdict> {
  const {scenario, example, entryCommand} = options;
  const startedAt = performance.now();
  const cell = await launchCell.launchCell({
    site: options.site,
    tokens: example.tokens,
    tree: example.tree,
    entryCommand,
    relayed: true,
    keepFolder: options.keepFolder,
    seed: scenario.seed,
  });
  const state = scenarioState.createScenarioState(cell, scenario);
  try {
    const failure = await runSteps(state);
    await endBackground(state);
    const events = await cell.history();
    const findings = judge.judge(events, scenario);
    const spanMs = performance.now() - startedAt;
    return {failure, findings, events, spanMs, folder: cell.folder};
  } finally {
    for (const id of state.frozen) cell.entry(id).child.sendSignal('SIGCONT');
    await cell.close();
  }
}

async function runSteps(state: scenarioState.ScenarioState): Promise<string> {
  const steps = [...state.scenario.steps];
  if (steps.at(-1)?.do !== 'settle') {
    steps.push({do: 'settle', withinMs: DEFAULT_SETTLE_MS});
  }
  for (const [index, step] of steps.entries()) {
    const text = `${index + 1} ${JSON.stringify(step)}`;
    state.cell.recorded.record({type: 'step', text});
    try {
      await runStep(state, step);
    } catch (thrown) {
      const message = thrown instanceof Error ? thrown.message : String(thrown);
      return `step ${text}: ${message}`;
    }
  }
  return '';
}

const DEFAULT_SETTLE_MS = 30_000;
const POLL_MS = 25;

async function runStep(
  state: scenarioState.ScenarioState,
  step: scenarioSchema.Step,
): Promise<void> {
  switch (step.do) {
    case 'request':
      return callSteps.request(state, step);
    case 'submit':
      return callSteps.submit(state, step);
    case 'cancel':
      return callSteps.cancel(state, step);
    case 'publish':
      return callSteps.publish(state, step);
    case 'watch_setting':
      return callSteps.watchSetting(state, step);
    case 'load':
      return callSteps.load(state, step);
    case 'stop_load':
      return callSteps.stopLoad(state, step);
    case 'kill':
      return faultSteps.kill(state, step);
    case 'freeze':
      return faultSteps.freeze(state, step);
    case 'thaw':
      return faultSteps.thaw(state, step);
    case 'stop':
      return faultSteps.stop(state, step);
    case 'start_entry':
      return faultSteps.startEntry(state, step);
    case 'replace_all':
      return faultSteps.replaceAll(state);
    case 'cut':
    case 'heal':
    case 'cut_one_way':
    case 'delay':
    case 'reset':
    case 'silence':
      return faultSteps.strikePaths(state, step);
    case 'log':
      return faultSteps.strikeLog(state, step);
    case 'drop_records':
      return faultSteps.dropRecords(state, step);
    case 'worker':
      return faultSteps.strikeWorker(state, step);
    case 'restart_worker':
      return faultSteps.restartWorker(state, step);
    case 'upstream':
      return faultSteps.strikeUpstream(state, step);
    case 'leave':
      return faultSteps.leave(state, step);
    case 'list_lag':
      return faultSteps.setListLag(state, step);
    case 'wait':
      return wait(state, step);
    case 'settle':
      return settle(state, step);
  }
}

async function wait(
  state: scenarioState.ScenarioState,
  step: scenarioSchema.StepOf<'wait'>,
): Promise<void> {
  const deadline = performance.now() + step.withinMs;
  const holds = conditions.createCheck(state, step.until);
  while (!(await holds())) {
    if (performance.now() > deadline) {
      throw scenarioState.stepFailure(`not within ${step.withinMs} ms`);
    }
    await timers.setTimeout(POLL_MS);
  }
}

async function settle(
  state: scenarioState.ScenarioState,
  step: scenarioSchema.StepOf<'settle'>,
): Promise<void> {
  const deadline = performance.now() + step.withinMs;
  await Promise.all([...state.loads.values()].map((load) => load.stop()));
  await Promise.all(state.background);
  const pick = () => scenarioState.nextClient(state);
  // The judge decides whether what is not settled counts as lost.
  await jobWatch.watchJobs([...state.jobs.values()], pick, deadline);
  state.cell.recorded.record({type: 'settled'});
}

/** Ends what a failed step left running, so that the cell can be closed. */
async function endBackground(
  state: scenarioState.ScenarioState,
): Promise<void> {
  await Promise.all([...state.watches].map((stop) => stop()));
  await Promise.all([...state.loads.values()].map((load) => load.stop()));
  await Promise.allSettled(state.background);
}
