/**
 * State of a running scenario: its cell and the names that its steps defined.
 */
import * as entryClient from '../entry_client.js';
import type * as entryProcess from '../entry_process.js';
import type * as historyEvent from '../history_event.js';
import type * as waitForJobs from '../wait_for_jobs.js';
import type * as launchCell from '../launch_cell.js';
import type * as scenarioSchema from './scenario_schema.js';

/** An accepted job that a step submitted. */
export interface NamedJob extends waitForJobs.AcceptedJob {
  readonly label: string;
}

/** A running load of requests. */
export interface RunningLoad {
  /** Stops sending and waits until every call has an outcome. */
  stop(): Promise<void>;
  readonly counts: {sent: number; done: number};
}

/** The outcome of any call. */
export type AnyOutcome =
  | historyEvent.RequestOutcome
  | historyEvent.JobOutcome
  | historyEvent.PublishOutcome;

/** State of one scenario's run. */
export interface ScenarioState {
  readonly cell: launchCell.Cell;
  readonly scenario: scenarioSchema.Scenario;
  /** Entry ids by the names that `as` defined. */
  readonly aliases: Map<string, string>;
  readonly frozenIds: Set<string>;
  readonly jobs: Map<string, NamedJob>;
  readonly bodies: Map<string, Buffer>;
  readonly outcomes: Map<string, AnyOutcome>;
  readonly loads: Map<string, RunningLoad>;
  /** Background steps to wait for at the end. */
  readonly backgroundSteps: Set<Promise<void>>;
  readonly stopWatches: Set<() => Promise<void>>;
}

/**
 * Creates the error of a step that couldn't run or had an unexpected outcome.
 */
export function createStepFailure(message: string): Error {
  return new Error(message);
}

/** Creates the state of a run. */
export function createScenarioState(
  cell: launchCell.Cell,
  scenario: scenarioSchema.Scenario,
): ScenarioState {
  return {
    cell,
    scenario,
    aliases: new Map(),
    frozenIds: new Set(),
    jobs: new Map(),
    bodies: new Map(),
    outcomes: new Map(),
    loads: new Map(),
    backgroundSteps: new Set(),
    stopWatches: new Set(),
  };
}

/** Returns the token of a team. */
export function tokenOf(state: ScenarioState, team: string): string {
  const token = state.cell.options.tokens.teams[team];
  if (token === undefined) throw createStepFailure(`no team "${team}"`);
  return token;
}

/** Returns the entries that are running and not frozen. */
export function activeEntries(
  state: ScenarioState,
): entryProcess.EntryProcess[] {
  return state.cell
    .entries()
    .filter((entry) => !state.frozenIds.has(entry.entry.id));
}

/**
 * Returns the entries that hold the failure domain, according to their own
 * status.
 */
export async function holdersOf(
  state: ScenarioState,
  domain: string,
): Promise<string[]> {
  const inDomain = activeEntries(state).filter(
    (entry) => entry.entry.failureDomain === domain,
  );
  const token = state.cell.options.tokens.rootOperator;
  const holders = await Promise.all(
    inDomain.map(async ({entry, client}) => {
      const status = (await client.status(token)) as
        {scheduler?: unknown} | undefined;
      const isHolder =
        status?.scheduler !== undefined && status.scheduler !== null;
      return isHolder ? [entry.id] : [];
    }),
  );
  return holders.flat();
}

/** Returns the id of the entry that a step refers to. */
export async function resolveEntry(
  state: ScenarioState,
  ref: scenarioSchema.EntryRef,
): Promise<string> {
  if (typeof ref === 'string') return state.aliases.get(ref) ?? ref;
  const domain = 'holderOf' in ref ? ref.holderOf : ref.notHolderOf;
  const holders = await holdersOf(state, domain);
  const found =
    'holderOf' in ref
      ? holders[0]
      : activeEntries(state)
          .filter((entry) => entry.entry.failureDomain === domain)
          .map((entry) => entry.entry.id)
          .find((id) => !holders.includes(id));
  if (found === undefined) {
    throw createStepFailure(`no entry matches ${JSON.stringify(ref)}`);
  }
  return found;
}

let nextEntryIndex = 0;

/** Returns a client of the given entry, or of the next active one. */
export async function clientFor(
  state: ScenarioState,
  ref: scenarioSchema.EntryRef | undefined,
): Promise<entryClient.EntryClient> {
  if (ref !== undefined) {
    return state.cell.entry(await resolveEntry(state, ref)).client;
  }
  return nextClient(state);
}

/**
 * Returns a client of one of these entries that is running, chosen by `index`
 * as a balancer does; if none of them is, a client of the next active entry.
 */
export async function nextClientOf(
  state: ScenarioState,
  refs: readonly scenarioSchema.EntryRef[],
  index: number,
): Promise<entryClient.EntryClient> {
  const ids = await Promise.all(refs.map((ref) => resolveEntry(state, ref)));
  const running = state.cell.entries().filter(({entry}) => {
    return ids.includes(entry.id);
  });
  const chosen = running[index % running.length];
  return chosen?.client ?? nextClient(state);
}

/** Returns a client of the next active entry, in turn. */
export function nextClient(state: ScenarioState): entryClient.EntryClient {
  const active = activeEntries(state);
  nextEntryIndex += 1;
  const entry = active[nextEntryIndex % active.length];
  if (entry === undefined) throw createStepFailure('no entry is active');
  return entry.client;
}

/** Runs a step, and waits for it unless it is a background step. */
export async function runMaybeInBackground(
  state: ScenarioState,
  background: boolean,
  run: () => Promise<void>,
): Promise<void> {
  const running = run();
  if (!background) return running;
  state.backgroundSteps.add(running);
  // A failure is reported when the scenario settles.
  running.catch(() => undefined);
}
