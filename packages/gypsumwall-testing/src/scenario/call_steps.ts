/** Steps of callers and operators. */
import * as timers from 'node:timers/promises';
import * as entry from '@gypsumwall/entry';
import * as types from '@gypsumwall/types';
import type * as scenarioSchema from './scenario_schema.js';
import * as scenarioState from './scenario_state.js';

type State = scenarioState.ScenarioState;

/** Holds what a caller was told against what the step expects. */
function expectTold(
  name: string,
  told: scenarioState.AnyTold,
  expected: readonly string[] | undefined,
): void {
  if (expected === undefined || expected.includes(told.type)) return;
  throw scenarioState.stepFailure(
    `${name} was told ${JSON.stringify(told)}, expected ${expected.join(' or ')}`,
  );
}

const RETRY_MS = 250;

/** Comes back after a `not_run`, as a caller does, for `retryForMs`. */
async function untilRun<Told extends {readonly type: string}>(
  step: {readonly name: string; readonly retryForMs: number},
  send: (callId: string) => Promise<Told>,
): Promise<Told> {
  const deadline = performance.now() + step.retryForMs;
  for (let tries = 1; ; tries += 1) {
    const callId = tries === 1 ? step.name : `${step.name}-try-${tries}`;
    const told = await send(callId);
    if (told.type !== 'not_run' || performance.now() > deadline) return told;
    await timers.setTimeout(RETRY_MS);
  }
}

/** Sends a quick request. */
export async function request(
  state: State,
  step: scenarioSchema.StepOf<'request'>,
): Promise<void> {
  const client = await scenarioState.clientFor(state, step.to);
  const nonce = step.sameAs ?? step.name;
  const {workMs, answerBytes, team, operation, key, timeoutMs} = step;
  const body =
    state.bodies.get(nonce) ??
    Buffer.from(JSON.stringify({workMs, answerBytes, nonce}));
  state.bodies.set(nonce, body);
  const token = scenarioState.tokenOf(state, team);
  await scenarioState.runMaybeInBackground(state, step.background, async () => {
    const call = {token, team, operation, key, body, timeoutMs};
    const told = await untilRun(step, (callId) =>
      client.request({callId, ...call}),
    );
    state.told.set(step.name, told);
    expectTold(step.name, told, step.expect);
  });
}

/** Hands a job in. */
export async function submit(
  state: State,
  step: scenarioSchema.StepOf<'submit'>,
): Promise<void> {
  const client = await scenarioState.clientFor(state, step.to);
  const {name, team, shape, size, urgency, estimateMs, runMs, neverRuns} = step;
  const token = scenarioState.tokenOf(state, team);
  const args = {runMs, neverRuns, label: name};
  await scenarioState.runMaybeInBackground(state, step.background, async () => {
    const key = step.key ?? keyAtHome(state, client.entryId, team, name);
    const work = {command: 'scenario', args};
    const spec = {shape, jobClass: name, urgency, size, estimateMs, work};
    const told = await untilRun(step, (callId) =>
      client.submit({callId, token, team, key, label: name, spec}),
    );
    state.told.set(name, told);
    if (told.type === 'accepted') {
      const {jobId} = told;
      state.jobs.set(name, {jobId, token, kind: shape.kind, label: name});
    }
    expectTold(name, told, step.expect);
  });
}

/**
 * A key whose home is the failure domain of the entry that the step names:
 * a scenario means the holder, the workers and the cuts of that domain.
 */
function keyAtHome(
  state: State,
  entryId: string,
  team: string,
  name: string,
): string {
  const {failureDomain} = state.cell.entry(entryId).entry;
  const domains = state.cell.options.site.failureDomains.map((one) => one.name);
  for (let n = 1; ; n += 1) {
    const key = types.ids.brand<types.ids.IdempotencyKey>(
      `key-${n}-of-${name}`,
    );
    const owner = types.ids.brand<types.ids.TeamId>(team);
    const home = entry.chooseHome.chooseHome(owner, key, domains);
    if (home === failureDomain) return key;
  }
}

/** Cancels a job. */
export async function cancel(
  state: State,
  step: scenarioSchema.StepOf<'cancel'>,
): Promise<void> {
  const job = state.jobs.get(step.job);
  if (job === undefined) {
    throw scenarioState.stepFailure(`no accepted job "${step.job}"`);
  }
  const client = await scenarioState.clientFor(state, step.to);
  const accepted = await client.cancel(job.token, job.jobId);
  if (accepted === step.expect) return;
  const what = accepted ? 'accepted' : 'not accepted';
  throw scenarioState.stepFailure(`cancel of ${step.job} was ${what}`);
}

/** Publishes at several entries at once, all on the same base. */
export async function publish(
  state: State,
  step: scenarioSchema.StepOf<'publish'>,
): Promise<void> {
  const token = state.cell.options.tokens.rootOperator;
  const {path} = step;
  const reader = scenarioState.nextClient(state);
  const seen = await reader.setting(token, path);
  if (seen === undefined) {
    throw scenarioState.stepFailure(`${path} can't be read`);
  }
  const clients = await Promise.all(
    step.at.map((ref) => scenarioState.clientFor(state, ref)),
  );
  const value = {...(seen.value as object), ...step.set};
  await Promise.all(
    clients.map(async (client, index) => {
      const callId = index === 0 ? step.name : `${step.name}-${index + 1}`;
      const base = seen.revision;
      const told = await client.publish({callId, token, path, base, value});
      state.told.set(callId, told);
      expectTold(callId, told, step.expect);
    }),
  );
}

const WATCH_MS = 100;

/** Reads a subtree at every entry until the scenario ends. */
export function watchSetting(
  state: State,
  step: scenarioSchema.StepOf<'watch_setting'>,
): void {
  const token = state.cell.options.tokens.rootOperator;
  let stopped = false;
  const watching = (async () => {
    while (!stopped) {
      const entries = scenarioState.awakeEntries(state);
      await Promise.all(
        entries.map((entry) => entry.client.setting(token, step.path)),
      );
      await timers.setTimeout(WATCH_MS);
    }
  })();
  state.watches.add(async () => {
    stopped = true;
    await watching;
  });
}

/** Starts a steady load. */
export function load(state: State, step: scenarioSchema.StepOf<'load'>): void {
  const {name, team, operation, workMs, answerBytes, timeoutMs} = step;
  const token = scenarioState.tokenOf(state, team);
  const counts = {sent: 0, done: 0};
  const underWay = new Set<Promise<void>>();
  let stopped = false;
  let toTurn = 0;

  const sendOne = async (): Promise<void> => {
    counts.sent += 1;
    const callId = `${name}-${counts.sent}`;
    const client = await scenarioState.runningClient(
      state,
      step.to ?? [],
      toTurn++,
    );
    const body = Buffer.from(
      JSON.stringify({workMs, answerBytes, nonce: callId}),
    );
    const key = step.keyed ? `key-of-${callId}` : undefined;
    const call = {callId, token, team, operation, key, body, timeoutMs};
    const told = await client.request(call);
    if (told.type === 'done') counts.done += 1;
  };
  const sending = (async () => {
    const startedAt = performance.now();
    while (!stopped) {
      const nextAt = startedAt + (counts.sent * 1_000) / step.perSecond;
      const spanMs = nextAt - performance.now();
      if (spanMs > 0) await timers.setTimeout(spanMs);
      if (stopped) break;
      const sent = sendOne();
      underWay.add(sent);
      void sent.finally(() => underWay.delete(sent));
    }
    await Promise.all(underWay);
  })();
  const stop = async (): Promise<void> => {
    stopped = true;
    await sending;
  };
  state.loads.set(name, {stop, counts});
}

/** Ends a load and checks how much of it was done. */
export async function stopLoad(
  state: State,
  step: scenarioSchema.StepOf<'stop_load'>,
): Promise<void> {
  const running = state.loads.get(step.load);
  if (running === undefined) {
    throw scenarioState.stepFailure(`no load "${step.load}"`);
  }
  await running.stop();
  const {sent, done} = running.counts;
  if (done >= sent * step.doneShare) return;
  throw scenarioState.stepFailure(
    `load ${step.load}: ${done} of ${sent} done, expected ${step.doneShare}`,
  );
}
