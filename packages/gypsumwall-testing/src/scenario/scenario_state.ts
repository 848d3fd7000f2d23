/** What a running scenario knows: its cell and the names that steps gave. */
import * as entryClient from '../entry_client.js';
import type * as entryProcess from '../entry_process.js';
import type * as historyEvent from '../history_event.js';
import type * as waitForJobs from '../wait_for_jobs.js';
import type * as launchCell from '../launch_cell.js';
import type * as scenarioSchema from './scenario_schema.js';

/** A job that a step handed in and that was accepted. */
export interface NamedJob extends waitForJobs.AcceptedJob {
  readonly label: string;
}

/** A steady load of requests. */
export interface RunningLoad {
  /** Sends nothing more and waits until every caller was told. */
  stop(): Promise<void>;
  readonly counts: {sent: number; done: number};
}

/** What callers were told, by the name of their step. */
export type AnyOutcome =
  | historyEvent.RequestOutcome
  | historyEvent.JobOutcome
  | historyEvent.PublishOutcome;

/** State of one run. */
export interface ScenarioState {
  readonly cell: launchCell.Cell;
  readonly scenario: scenarioSchema.Scenario;
  /** Entry ids by the names that `as` gave. */
  readonly aliases: Map<string, string>;
  readonly frozen: Set<string>;
  readonly jobs: Map<string, NamedJob>;
  readonly bodies: Map<string, Buffer>;
  readonly outcomes: Map<string, AnyOutcome>;
  readonly loads: Map<string, RunningLoad>;
  /** Background steps, to be waited for at the end. */
  readonly background: Set<Promise<void>>;
  readonly stopWatches: Set<() => Promise<void>>;
}

/** A step that could not be done or was answered against its expectation. */
export function createStepFailure(message: string): Error {
  return new Error(message);
}

/** Makes the state of a run. */
export function createScenarioState(
  cell: launchCell.Cell,
  scenario: scenarioSchema.Scenario,
): ScenarioState {
  return {
    cell,
    scenario,
    aliases: new Map(),
    frozen: new Set(),
    jobs: new Map(),
    bodies: new Map(),
    outcomes: new Map(),
    loads: new Map(),
    background: new Set(),
    stopWatches: new Set(),
  };
}

/** The token of a team. */
export function tokenOf(state: ScenarioState, team: string): string {
  const token = state.cell.options.tokens.teams[team];
  if (token === undefined) throw createStepFailure(`no team "${team}"`);
  return token;
}

/** Entries that run and are not frozen. */
export function activeEntries(
  state: ScenarioState,
): entryProcess.EntryProcess[] {
  return state.cell
    .entries()
    .filter((entry) => !state.frozen.has(entry.entry.id));
}

/** Entries that hold their failure domain, as they say themselves. */
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

/** The id of the entry that a step means. */
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
    throw createStepFailure(`no entry fits ${JSON.stringify(ref)}`);
  }
  return found;
}

let nextEntryIndex = 0;

/** A caller of the given entry, or of the next one in turn. */
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
 * A caller of one of these entries in turn, as a balancer picks it: one that
 * runs, or any that is awake.
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

/** A caller of the next awake entry in turn. */
export function nextClient(state: ScenarioState): entryClient.EntryClient {
  const active = activeEntries(state);
  nextEntryIndex += 1;
  const entry = active[nextEntryIndex % active.length];
  if (entry === undefined) throw createStepFailure('no entry is awake');
  return entry.client;
}

/** Runs a step to its end, or in the background. */
export async function runMaybeInBackground(
  state: ScenarioState,
  background: boolean,
  run: () => Promise<void>,
): Promise<void> {
  const running = run();
  if (!background) return running;
  state.background.add(running);
  // Its failure shows when the scenario settles.
  running.catch(() => undefined);
}
