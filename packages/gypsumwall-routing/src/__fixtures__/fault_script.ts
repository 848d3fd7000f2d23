/**
 * Random mixes of faults. A script defines the actions of callers and
 * upstreams. Running it records a history of attempts, which is compared with
 * the outcomes that the callers got.
 */
import * as timers from 'node:timers/promises';
import * as fastCheck from 'fast-check';
import * as types from '@gypsumwall/types';
import type * as fakeUpstreams from './fake_upstreams.js';
import * as routerHarness from './router_harness.js';

export const UPSTREAMS = 3;
export const SLOTS = 2;
/** Events occur at multiples of this time. */
export const STEP_MS = 20;
const STEPS = 100;
const LEAVING_UPSTREAM = 'u0';

/** What an upstream does with an attempt, after the given number of steps. */
export interface Behaviour {
  readonly type: 'done' | 'refuse' | 'unreachable' | 'reset' | 'silent';
  readonly steps: number;
}

/** A request, when it is sent, and when its caller cancels it. */
export interface Arrival {
  readonly step: number;
  readonly idempotent: boolean;
  readonly urgency: types.job.Urgency;
  readonly deadlineInMs: number;
  readonly cancelAfterMs: number | undefined;
}

/** All events of a run. */
export interface Script {
  readonly arrivals: readonly Arrival[];
  readonly behaviours: readonly Behaviour[];
  /** The step from which the first upstream is leaving. */
  readonly leavesAtStep: number;
}

/** Random scripts. */
export const arbitraryScript: fastCheck.Arbitrary<Script> = fastCheck.record({
  arrivals: fastCheck.array(
    fastCheck.record({
      step: fastCheck.nat({max: 40}),
      idempotent: fastCheck.boolean(),
      urgency: fastCheck.constantFrom('urgent', 'normal', 'overnight'),
      deadlineInMs: fastCheck.integer({min: 5, max: 900}),
      cancelAfterMs: fastCheck.option(fastCheck.nat({max: 500}), {
        nil: undefined,
        freq: 4,
      }),
    }),
    {minLength: 20, maxLength: 60, size: 'max'},
  ),
  behaviours: fastCheck.array(
    fastCheck.record({
      type: fastCheck.constantFrom(
        'done',
        'done',
        'done',
        'refuse',
        'unreachable',
        'reset',
        'silent',
      ),
      steps: fastCheck.nat({max: 10}),
    }),
    {minLength: 20, maxLength: 60, size: 'max'},
  ),
  leavesAtStep: fastCheck.nat({max: 40}),
});

/** The attempts and outcomes of a run. */
export interface History {
  readonly attempts: readonly fakeUpstreams.PendingAttempt[];
  readonly behaviourOf: ReadonlyMap<fakeUpstreams.PendingAttempt, Behaviour>;
  readonly outcomes: ReadonlyMap<string, types.outcome.Outcome>;
  readonly sent: ReadonlyMap<string, Arrival>;
  readonly delayMsOf: ReadonlyMap<string, number>;
  readonly attemptsAfterLeaving: number;
  readonly maxInFlight: number;
}

/** Events that are due at times of the manual clock. */
interface EventSchedule {
  add(at: number, event: () => void): void;
  runDue(now: number): void;
}

function createEventSchedule(): EventSchedule {
  let events: Array<{readonly at: number; readonly event: () => void}> = [];
  return {
    add: (at, event) => void events.push({at, event}),
    runDue: (now) => {
      const due = events.filter((one) => one.at <= now);
      events = events.filter((one) => one.at > now);
      for (const one of due) one.event();
    },
  };
}

/** Runs a script against a router. */
export async function runScript(script: Script): Promise<History> {
  const harness = await routerHarness.createRouterHarness(UPSTREAMS, SLOTS);
  const {clock, router, fakes} = harness;
  const schedule = createEventSchedule();
  const callers = createCallers(harness, schedule);
  const behaviourOf = new Map<fakeUpstreams.PendingAttempt, Behaviour>();
  let attemptsBeforeLeaving = Infinity;
  let maxInFlight = 0;

  for (let step = 0; step < STEPS; step += 1) {
    const isLeaving = step >= script.leavesAtStep;
    router.setView(viewAt(harness, isLeaving));
    if (isLeaving)
      attemptsBeforeLeaving = Math.min(
        attemptsBeforeLeaving,
        fakes.attempts.length,
      );
    for (const one of script.arrivals) {
      if (one.step === step) void callers.send(one);
    }
    await timers.setImmediate();
    for (const attempt of fakes.attempts.slice(behaviourOf.size)) {
      const behaviour = nextBehaviour(script, behaviourOf.size);
      behaviourOf.set(attempt, behaviour);
      scheduleBehaviour(attempt, behaviour, clock.monotonic(), schedule);
    }
    maxInFlight = Math.max(maxInFlight, router.status().inFlight);
    schedule.runDue(clock.monotonic());
    await clock.advance(STEP_MS);
  }
  const attemptsAfterLeaving = fakes.attempts
    .slice(attemptsBeforeLeaving)
    .filter((one) => one.upstream === LEAVING_UPSTREAM).length;
  const {attempts} = fakes;
  return {
    ...callers.recorded,
    attempts,
    behaviourOf,
    attemptsAfterLeaving,
    maxInFlight,
  };
}

interface Callers {
  readonly recorded: Pick<History, 'outcomes' | 'sent' | 'delayMsOf'>;
  send(arrival: Arrival): Promise<void>;
}

function createCallers(
  harness: routerHarness.RouterHarness,
  schedule: EventSchedule,
): Callers {
  const outcomes = new Map<string, types.outcome.Outcome>();
  const sent = new Map<string, Arrival>();
  const delayMsOf = new Map<string, number>();
  const {clock} = harness;
  const send = async (arrival: Arrival) => {
    const requestId = `r${sent.size}`;
    sent.set(requestId, arrival);
    const {idempotent, urgency, deadlineInMs, cancelAfterMs} = arrival;
    const now = clock.monotonic();
    const deadline = types.clock.after(now, deadlineInMs);
    const caller = new AbortController();
    if (cancelAfterMs !== undefined) {
      schedule.add(now + cancelAfterMs, () =>
        caller.abort('the caller cancelled the request'),
      );
    }
    const {signal} = caller;
    const fields = {requestId, idempotent, urgency, deadline, signal};
    outcomes.set(requestId, await harness.send(fields));
    delayMsOf.set(requestId, clock.monotonic() - deadline);
  };
  return {recorded: {outcomes, sent, delayMsOf}, send};
}

function viewAt(harness: routerHarness.RouterHarness, isLeaving: boolean) {
  const upstreams = harness.view.upstreams.map((listed) =>
    isLeaving && listed.id === LEAVING_UPSTREAM
      ? {...listed, state: 'leaving' as const}
      : listed,
  );
  return {...harness.view, upstreams};
}

function nextBehaviour(script: Script, index: number): Behaviour {
  const {behaviours} = script;
  return behaviours[index % behaviours.length] ?? {type: 'silent', steps: 0};
}

function scheduleBehaviour(
  attempt: fakeUpstreams.PendingAttempt,
  behaviour: Behaviour,
  now: number,
  schedule: EventSchedule,
): void {
  const {deadline} = attempt.req;
  const endAt = Math.min(now + behaviour.steps * STEP_MS, deadline);
  schedule.add(endAt, () => applyBehaviour(behaviour, attempt));
  schedule.add(deadline, () => attempt.fail('timeout', 'unknown'));
}

function applyBehaviour(
  behaviour: Behaviour,
  attempt: fakeUpstreams.PendingAttempt,
): void {
  switch (behaviour.type) {
    case 'done':
      return attempt.done();
    case 'refuse':
      return attempt.fail('refused', 'not_run');
    case 'unreachable':
      return attempt.fail('unreachable', 'not_run');
    case 'reset':
      return attempt.fail('closed', 'unknown');
    case 'silent':
      return;
  }
}
