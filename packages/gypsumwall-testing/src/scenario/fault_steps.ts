/** Steps that strike the cell: each is recorded, so that a history shows it. */
import * as launchCell from '../launch_cell.js';
import * as site from '../site.js';
import type * as scenarioSchema from './scenario_schema.js';
import * as scenarioState from './scenario_state.js';

type State = scenarioState.ScenarioState;

function note(state: State, text: string): void {
  state.cell.recorded.record({type: 'fault', text});
}

/** The entry's id, bound to the step's `as`. */
async function bind(
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

/** Kills an entry at once. */
export async function kill(
  state: State,
  step: scenarioSchema.StepOf<'kill'>,
): Promise<void> {
  const id = await bind(state, step);
  note(state, `kill ${id}`);
  await state.cell.killEntry(id);
  state.frozen.delete(id);
}

/** Pauses an entry. */
export async function freeze(
  state: State,
  step: scenarioSchema.StepOf<'freeze'>,
): Promise<void> {
  const id = await bind(state, step);
  note(state, `freeze ${id}`);
  state.cell.entry(id).child.sendSignal('SIGSTOP');
  state.frozen.add(id);
}

/** Lets a paused entry go on. */
export async function thaw(
  state: State,
  step: scenarioSchema.StepOf<'thaw'>,
): Promise<void> {
  const id = await scenarioState.resolveEntry(state, step.entry);
  note(state, `thaw ${id}`);
  state.cell.entry(id).child.sendSignal('SIGCONT');
  state.frozen.delete(id);
}

/** Asks an entry to end in a planned way. */
export async function stop(
  state: State,
  step: scenarioSchema.StepOf<'stop'>,
): Promise<void> {
  const id = await bind(state, step);
  await scenarioState.runMaybeInBackground(state, step.background, () =>
    state.cell.stopEntry(id),
  );
}

/** Starts one more entry. */
export async function startEntry(
  state: State,
  step: scenarioSchema.StepOf<'start_entry'>,
): Promise<void> {
  note(state, `start ${step.entry}`);
  const id = step.entry;
  const failureDomain = step.failureDomain as site.SiteEntry['failureDomain'];
  await state.cell.startEntry({id, failureDomain});
  if (step.ready) await launchCell.waitUntilReady(state.cell);
}

/** Kills all entries and starts as many that know nothing. */
export async function replaceAll(state: State): Promise<void> {
  note(state, 'replace all entries');
  const old = state.cell.entries();
  await Promise.all(old.map(({entry}) => state.cell.killEntry(entry.id)));
  state.frozen.clear();
  await Promise.all(
    old.map(({entry}) => {
      const {failureDomain} = entry;
      return state.cell.startEntry({id: `${entry.id}-new`, failureDomain});
    }),
  );
  await launchCell.waitUntilReady(state.cell);
}

type Ends = readonly scenarioSchema.EntryRef[];

/** Names of single instances behind the ends of a path. */
async function expand(state: State, ends: Ends): Promise<string[]> {
  const names = await Promise.all(
    ends.map(async (end) => {
      if (typeof end !== 'string') {
        return [await scenarioState.resolveEntry(state, end)];
      }
      if (end === 'platform') return ['log', 'list'];
      const inDomain = state.cell.board.ofDomain(end);
      if (inDomain.length > 0) return inDomain;
      return [state.aliases.get(end) ?? end];
    }),
  );
  return names.flat();
}

/** Cuts, heals or silences paths. */
export async function strikePaths(
  state: State,
  step:
    | scenarioSchema.StepOf<'cut'>
    | scenarioSchema.StepOf<'cut_one_way'>
    | scenarioSchema.StepOf<'delay'>
    | scenarioSchema.StepOf<'reset'>
    | scenarioSchema.StepOf<'heal'>
    | scenarioSchema.StepOf<'silence'>,
): Promise<void> {
  const left = await expand(state, step.between[0]);
  const right = await expand(state, step.between[1]);
  note(state, `${step.do} ${left.join(',')} | ${right.join(',')}`);
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

/** Lets retention pass over a stream. */
export async function dropRecords(
  state: State,
  step: scenarioSchema.StepOf<'drop_records'>,
): Promise<void> {
  note(state, `drop records of ${step.stream}, keep ${step.keep}`);
  const {stream, keep} = step;
  await state.cell.standIns.control('platform', 'log/drop', {stream, keep});
}

/** Sets a fault of the log. */
export async function strikeLog(
  state: State,
  step: scenarioSchema.StepOf<'log'>,
): Promise<void> {
  note(state, `log ${JSON.stringify(step.fault)}`);
  await state.cell.standIns.control('platform', 'log', step.fault);
}

/** Sets a fault of a worker. */
export async function strikeWorker(
  state: State,
  step: scenarioSchema.StepOf<'worker'>,
): Promise<void> {
  note(state, `worker ${step.worker} ${JSON.stringify(step.fault)}`);
  const path = `workers/${step.worker}/fault`;
  await state.cell.standIns.control('workers', path, step.fault);
}

/** Restarts a worker's process. */
export async function restartWorker(
  state: State,
  step: scenarioSchema.StepOf<'restart_worker'>,
): Promise<void> {
  note(state, `restart ${step.worker}`);
  const path = `workers/${step.worker}/restart`;
  await state.cell.standIns.control('workers', path, {});
}

/** Sets a fault of an upstream. */
export async function strikeUpstream(
  state: State,
  step: scenarioSchema.StepOf<'upstream'>,
): Promise<void> {
  note(state, `upstream ${step.upstream} ${JSON.stringify(step.fault)}`);
  const path = `upstreams/${step.upstream}/fault`;
  await state.cell.standIns.control('upstreams', path, step.fault);
}

/** Lists an upstream as leaving. */
export async function leave(
  state: State,
  step: scenarioSchema.StepOf<'leave'>,
): Promise<void> {
  const upstreamId = step.upstream;
  state.cell.recorded.record({type: 'upstream_leaving', upstreamId});
  state.cell.board.setState(upstreamId, 'leaving');
  await state.cell.updateList();
}

/** Sets how far the list lags behind. */
export async function setListLag(
  state: State,
  step: scenarioSchema.StepOf<'list_lag'>,
): Promise<void> {
  note(state, `list lags ${step.lagMs} ms`);
  const {lagMs} = step;
  await state.cell.standIns.control('platform', 'list-lag', {lagMs});
}
