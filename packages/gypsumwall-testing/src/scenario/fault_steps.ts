/**
 * Scenario steps that inject faults into the cell or repair them. Each fault is
 * recorded in the history.
 */
import * as launchCell from '../launch_cell.js';
import * as site from '../site.js';
import type * as scenarioSchema from './scenario_schema.js';
import * as scenarioState from './scenario_state.js';

type State = scenarioState.ScenarioState;

function recordFault(state: State, text: string): void {
  state.cell.recorded.record({type: 'fault', text});
}

/** Resolves the step's entry and binds its id to the name in `as`. */
async function resolveAndBind(
  state: State,
  step: {
    readonly entry: scenarioSchema.EntryRef;
    readonly as?: string | undefined;
  },
): Promise<string> {
  const id = await scenarioState.resolveEntry(state, step.entry);
  if (step.as !== undefined) state.aliases.set(step.as, id);
  return id;
}

/** Kills an entry immediately. */
export async function kill(
  state: State,
  step: scenarioSchema.StepOf<'kill'>,
): Promise<void> {
  const id = await resolveAndBind(state, step);
  recordFault(state, `kill ${id}`);
  await state.cell.killEntry(id);
  state.frozenIds.delete(id);
}

/** Pauses an entry's process. */
export async function freeze(
  state: State,
  step: scenarioSchema.StepOf<'freeze'>,
): Promise<void> {
  const id = await resolveAndBind(state, step);
  recordFault(state, `freeze ${id}`);
  state.cell.entry(id).child.sendSignal('SIGSTOP');
  state.frozenIds.add(id);
}

/** Resumes a paused entry. */
export async function thaw(
  state: State,
  step: scenarioSchema.StepOf<'thaw'>,
): Promise<void> {
  const id = await scenarioState.resolveEntry(state, step.entry);
  recordFault(state, `thaw ${id}`);
  state.cell.entry(id).child.sendSignal('SIGCONT');
  state.frozenIds.delete(id);
}

/** Stops an entry as planned. */
export async function stop(
  state: State,
  step: scenarioSchema.StepOf<'stop'>,
): Promise<void> {
  const id = await resolveAndBind(state, step);
  await scenarioState.runMaybeInBackground(state, step.background, () =>
    state.cell.stopEntry(id),
  );
}

/** Starts an additional entry. */
export async function startEntry(
  state: State,
  step: scenarioSchema.StepOf<'start_entry'>,
): Promise<void> {
  recordFault(state, `start ${step.entry}`);
  const id = step.entry;
  const failureDomain = step.failureDomain as site.SiteEntry['failureDomain'];
  await state.cell.startEntry({id, failureDomain});
  if (step.ready) await launchCell.waitUntilReady(state.cell);
}

/** Kills all entries and starts as many new ones, which have no state. */
export async function replaceAll(state: State): Promise<void> {
  recordFault(state, 'replace all entries');
  const old = state.cell.entries();
  await Promise.all(old.map(({entry}) => state.cell.killEntry(entry.id)));
  state.frozenIds.clear();
  await Promise.all(
    old.map(({entry}) => {
      const {failureDomain} = entry;
      return state.cell.startEntry({id: `${entry.id}-new`, failureDomain});
    }),
  );
  await launchCell.waitUntilReady(state.cell);
}

type Endpoints = readonly scenarioSchema.EntryRef[];

/** Expands the endpoints of a path to the ids of single instances. */
async function expandEndpoints(
  state: State,
  endpoints: Endpoints,
): Promise<string[]> {
  const names = await Promise.all(
    endpoints.map(async (end) => {
      if (typeof end !== 'string') {
        return [await scenarioState.resolveEntry(state, end)];
      }
      if (end === 'platform') return ['log', 'list'];
      const inDomain = state.cell.registry.ofDomain(end);
      if (inDomain.length > 0) return inDomain;
      return [state.aliases.get(end) ?? end];
    }),
  );
  return names.flat();
}

/** Applies a step that cuts, delays, resets, silences or heals paths. */
export async function applyPathStep(
  state: State,
  step:
    | scenarioSchema.StepOf<'cut'>
    | scenarioSchema.StepOf<'cut_one_way'>
    | scenarioSchema.StepOf<'delay'>
    | scenarioSchema.StepOf<'reset'>
    | scenarioSchema.StepOf<'heal'>
    | scenarioSchema.StepOf<'silence'>,
): Promise<void> {
  const left = await expandEndpoints(state, step.between[0]);
  const right = await expandEndpoints(state, step.between[1]);
  recordFault(state, `${step.do} ${left.join(',')} | ${right.join(',')}`);
  switch (step.do) {
    case 'cut':
      return state.cell.network.cut(left, right);
    case 'cut_one_way':
      return state.cell.network.cutOneWay(left, right);
    case 'delay':
      return state.cell.network.delay(left, right, step.ms);
    case 'reset':
      return state.cell.network.reset(left, right);
    case 'heal':
      return state.cell.network.heal(left, right);
    case 'silence':
      return state.cell.network.silenceOpen(left, right);
  }
}

/** Drops records of a stream, as retention does. */
export async function dropRecords(
  state: State,
  step: scenarioSchema.StepOf<'drop_records'>,
): Promise<void> {
  recordFault(state, `drop records of ${step.stream}, keep ${step.keep}`);
  const {stream, keep} = step;
  await state.cell.standIns.control('platform', 'log/drop', {stream, keep});
}

/** Sets a fault of the log. */
export async function setLogFault(
  state: State,
  step: scenarioSchema.StepOf<'log'>,
): Promise<void> {
  recordFault(state, `log ${JSON.stringify(step.fault)}`);
  await state.cell.standIns.control('platform', 'log', step.fault);
}

/** Sets a fault of a worker. */
export async function setWorkerFault(
  state: State,
  step: scenarioSchema.StepOf<'worker'>,
): Promise<void> {
  recordFault(state, `worker ${step.worker} ${JSON.stringify(step.fault)}`);
  const path = `workers/${step.worker}/fault`;
  await state.cell.standIns.control('workers', path, step.fault);
}

/** Restarts a worker's process. */
export async function restartWorker(
  state: State,
  step: scenarioSchema.StepOf<'restart_worker'>,
): Promise<void> {
  recordFault(state, `restart ${step.worker}`);
  const path = `workers/${step.worker}/restart`;
  await state.cell.standIns.control('workers', path, {});
}

/** Sets a fault of an upstream. */
export async function setUpstreamFault(
  state: State,
  step: scenarioSchema.StepOf<'upstream'>,
): Promise<void> {
  recordFault(state, `upstream ${step.upstream} ${JSON.stringify(step.fault)}`);
  const path = `upstreams/${step.upstream}/fault`;
  await state.cell.standIns.control('upstreams', path, step.fault);
}

/** Lists an upstream as leaving. */
export async function markLeaving(
  state: State,
  step: scenarioSchema.StepOf<'leave'>,
): Promise<void> {
  const upstreamId = step.upstream;
  state.cell.recorded.record({type: 'upstream_leaving', upstreamId});
  state.cell.registry.setState(upstreamId, 'leaving');
  await state.cell.updateList();
}

/** Sets the delay of the platform's list. */
export async function setListLag(
  state: State,
  step: scenarioSchema.StepOf<'list_lag'>,
): Promise<void> {
  recordFault(state, `list lags ${step.lagMs} ms`);
  const {lagMs} = step;
  await state.cell.standIns.control('platform', 'list-lag', {lagMs});
}
