/**
 * The conditions that steps wait for. They depend only on the history and on
 * the answers that callers receive.
 */
import type * as historyEvent from '../history_event.js';
import * as finding from '../judge/finding.js';
import * as upstreamAnswer from '../upstream_answer.js';
import type * as scenarioSchema from './scenario_schema.js';
import * as scenarioState from './scenario_state.js';

type State = scenarioState.ScenarioState;

/** Creates a check that is repeated until it returns true. */
export function createCheck(
  state: State,
  condition: scenarioSchema.Condition,
): () => Promise<boolean> {
  const startedAt = performance.now();
  switch (condition.type) {
    case 'job':
      return async () => {
        const job = state.jobs.get(condition.job);
        if (job === undefined) return false;
        const client = scenarioState.nextClient(state);
        const view = await client.job(job.token, job.jobId);
        return view !== undefined && condition.states.includes(view.state);
      };
    case 'tasks_running':
      return async () => {
        const events = await state.cell.history();
        const running = runningTasks(events, condition.job);
        return running >= condition.atLeast && running <= condition.atMost;
      };
    case 'tasks_started':
      return async () => {
        const events = await state.cell.history();
        return startsOf(events, condition.job).length >= condition.atLeast;
      };
    case 'tasks_ended':
      return async () => {
        const events = await state.cell.history();
        const ends = endsOf(events, condition.job);
        const matching = ends.filter((end) => end.cause === condition.cause);
        return matching.length >= condition.atLeast;
      };
    case 'executing':
      return async () => {
        const body = state.bodies.get(condition.request);
        if (body === undefined) return false;
        const bodyHash = upstreamAnswer.sha256Hex(body);
        const events = await state.cell.history();
        const started = finding.eventsOf(events, 'execution_started');
        return started.some((event) => event.bodyHash === bodyHash);
      };
    case 'told':
      return () => {
        const outcome = state.outcomes.get(condition.call);
        const isExpected =
          outcome !== undefined && condition.outcomes.includes(outcome.type);
        return Promise.resolve(isExpected);
      };
    case 'load_done': {
      const counts = state.loads.get(condition.load)?.counts;
      const before = counts?.done ?? 0;
      return () => {
        const newlyDone = (counts?.done ?? 0) - before;
        return Promise.resolve(newlyDone >= condition.atLeast);
      };
    }
    case 'holder':
      return async () => {
        const {domain, other} = condition;
        const holders = await scenarioState.holdersOf(state, domain);
        if (other === undefined) return holders.length > 0;
        const excluded = await scenarioState.resolveEntry(state, other);
        return holders.some((holder) => holder !== excluded);
      };
    case 'ready':
      return async () => {
        const client = await scenarioState.clientFor(state, condition.entry);
        return client.isReady();
      };
    case 'in_force':
      return () => isInForce(state, condition.path);
    case 'passed':
      return () =>
        Promise.resolve(performance.now() - startedAt >= condition.ms);
  }
}

type Events = readonly historyEvent.HistoryEvent[];

function startsOf(events: Events, label: string) {
  const starts = finding.eventsOf(events, 'task_started');
  return starts.filter((start) => start.label === label);
}

function endsOf(events: Events, label: string) {
  const ownTaskIds = new Set(
    startsOf(events, label).map((start) => start.taskId),
  );
  const ends = finding.eventsOf(events, 'task_ended');
  return ends.filter((end) => ownTaskIds.has(end.taskId));
}

function runningTasks(events: Events, label: string): number {
  return startsOf(events, label).length - endsOf(events, label).length;
}

async function isInForce(state: State, path: string): Promise<boolean> {
  const events = state.cell.recorded.since(0);
  const accepted = finding
    .eventsOf(events, 'publish_told')
    .flatMap(({path: published, told}) =>
      published === path && told.type === 'accepted' ? [told.revision] : [],
    );
  const newest = Math.max(-1, ...accepted);
  const token = state.cell.options.tokens.rootOperator;
  const settings = await Promise.all(
    scenarioState
      .activeEntries(state)
      .map(({client}) => client.setting(token, path)),
  );
  return settings.every(
    (setting) => setting !== undefined && setting.revision >= newest,
  );
}
