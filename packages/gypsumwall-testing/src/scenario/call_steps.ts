/** Scenario steps that act as callers and operators. */
import * as timers from 'node:timers/promises';
import * as entry from '@gypsumwall/entry';
import * as types from '@gypsumwall/types';
import type * as scenarioSchema from './scenario_schema.js';
import * as scenarioState from './scenario_state.js';

type State = scenarioState.ScenarioState;

/** Checks a call's outcome against the outcomes that the step expects. */
function checkOutcome(
  name: string,
  outcome: scenarioState.AnyOutcome,
  expected: readonly string[] | undefined,
): void {
  if (expected === undefined || expected.includes(outcome.type)) return;
  throw scenarioState.createStepFailure(
    `${name} had the outcome ${JSON.stringify(outcome)}, expected ${expected.join(' or ')}`,
  );
}

const RETRY_INTERVAL_MS = 250;

/**
 * Repeats a call after a `not_run` outcome, as a caller does, for `retryForMs`.
 */
async function retryWhileNotRun<Outcome extends {readonly type: string}>(
  step: {readonly name: string; readonly retryForMs: number},
  send: (callId: string) => Promise<Outcome>,
): Promise<Outcome> {
  const until = performance.now() + step.retryForMs;
  for (let attempt = 1; ; attempt += 1) {
    const callId = attempt === 1 ? step.name : `${step.name}-try-${attempt}`;
    const outcome = await send(callId);
    if (outcome.type !== 'not_run' || performance.now() > until) return outcome;
    await timers.setTimeout(RETRY_INTERVAL_MS);
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
    const outcome = await retryWhileNotRun(step, (callId) =>
      client.request({callId, ...call}),
    );
    state.outcomes.set(step.name, outcome);
    checkOutcome(step.name, outcome, step.expect);
  });
}

/** Submits a job. */
export async function submit(
  state: State,
  step: scenarioSchema.StepOf<'submit'>,
): Promise<void> {
  const client = await scenarioState.clientFor(state, step.to);
  const {name, team, shape, size, urgency, estimateMs, runMs, neverRuns} = step;
  const token = scenarioState.tokenOf(state, team);
  const args = {runMs, neverRuns, label: name};
  await scenarioState.runMaybeInBackground(state, step.background, async () => {
    const key =
      step.key ?? keyWithHomeDomainOf(state, client.entryId, team, name);
    const work = {command: 'scenario', args};
    const spec = {shape, jobClass: name, urgency, size, estimateMs, work};
    const outcome = await retryWhileNotRun(step, (callId) =>
      client.submit({callId, token, team, key, label: name, spec}),
    );
    state.outcomes.set(name, outcome);
    if (outcome.type === 'accepted') {
      const {jobId} = outcome;
      state.jobs.set(name, {jobId, token, kind: shape.kind, label: name});
    }
    checkOutcome(name, outcome, step.expect);
  });
}

/**
 * Finds a key whose home is the failure domain of the step's entry, because the
 * scenario refers to the holder, the workers and the cuts of that domain.
 */
function keyWithHomeDomainOf(
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
    throw scenarioState.createStepFailure(`no accepted job "${step.job}"`);
  }
  const client = await scenarioState.clientFor(state, step.to);
  const accepted = await client.cancel(job.token, job.jobId);
  if (accepted === step.expect) return;
  const result = accepted ? 'accepted' : 'not accepted';
  throw scenarioState.createStepFailure(`cancel of ${step.job} was ${result}`);
}

/** Publishes at several entries at the same time, all based on one revision. */
export async function publish(
  state: State,
  step: scenarioSchema.StepOf<'publish'>,
): Promise<void> {
  const token = state.cell.options.tokens.rootOperator;
  const {path} = step;
  const reader = scenarioState.nextClient(state);
  const current = await reader.setting(token, path);
  if (current === undefined) {
    throw scenarioState.createStepFailure(`${path} can't be read`);
  }
  const clients = await Promise.all(
    step.at.map((ref) => scenarioState.clientFor(state, ref)),
  );
  const value = {...(current.value as object), ...step.set};
  await Promise.all(
    clients.map(async (client, index) => {
      const callId = index === 0 ? step.name : `${step.name}-${index + 1}`;
      const base = current.revision;
      const outcome = await client.publish({callId, token, path, base, value});
      state.outcomes.set(callId, outcome);
      checkOutcome(callId, outcome, step.expect);
    }),
  );
}

const WATCH_INTERVAL_MS = 100;

/** Polls a subtree at every entry until the scenario ends. */
export function watchSetting(
  state: State,
  step: scenarioSchema.StepOf<'watch_setting'>,
): void {
  const token = state.cell.options.tokens.rootOperator;
  let isStopped = false;
  const watching = (async () => {
    while (!isStopped) {
      const entries = scenarioState.activeEntries(state);
      await Promise.all(
        entries.map((entry) => entry.client.setting(token, step.path)),
      );
      await timers.setTimeout(WATCH_INTERVAL_MS);
    }
  })();
  state.stopWatches.add(async () => {
    isStopped = true;
    await watching;
  });
}

/** Starts sending requests at a steady rate. */
export function load(state: State, step: scenarioSchema.StepOf<'load'>): void {
  const {name, team, operation, workMs, answerBytes, timeoutMs} = step;
  const token = scenarioState.tokenOf(state, team);
  const counts = {sent: 0, done: 0};
  const inFlight = new Set<Promise<void>>();
  let isStopped = false;
  let nextTargetIndex = 0;

  const sendNext = async (): Promise<void> => {
    counts.sent += 1;
    const callId = `${name}-${counts.sent}`;
    const client = await scenarioState.nextClientOf(
      state,
      step.to ?? [],
      nextTargetIndex++,
    );
    const body = Buffer.from(
      JSON.stringify({workMs, answerBytes, nonce: callId}),
    );
    const key = step.keyed ? `key-of-${callId}` : undefined;
    const call = {callId, token, team, operation, key, body, timeoutMs};
    const outcome = await client.request(call);
    if (outcome.type === 'done') counts.done += 1;
  };
  const sendLoop = (async () => {
    const startedAt = performance.now();
    while (!isStopped) {
      const nextAt = startedAt + (counts.sent * 1_000) / step.perSecond;
      const delayMs = nextAt - performance.now();
      if (delayMs > 0) await timers.setTimeout(delayMs);
      if (isStopped) break;
      const sent = sendNext();
      inFlight.add(sent);
      void sent.finally(() => inFlight.delete(sent));
    }
    await Promise.all(inFlight);
  })();
  const stop = async (): Promise<void> => {
    isStopped = true;
    await sendLoop;
  };
  state.loads.set(name, {stop, counts});
}

/** Stops a load and checks the share of its requests that were done. */
export async function stopLoad(
  state: State,
  step: scenarioSchema.StepOf<'stop_load'>,
): Promise<void> {
  const load = state.loads.get(step.load);
  if (load === undefined) {
    throw scenarioState.createStepFailure(`no load "${step.load}"`);
  }
  await load.stop();
  const {sent, done} = load.counts;
  if (done >= sent * step.doneShare) return;
  throw scenarioState.createStepFailure(
    `load ${step.load}: ${done} of ${sent} done, expected ${step.doneShare}`,
  );
}
