/**
 * Random mixes of faults. A script defines the actions of callers and upstreams.
 * Running it records a history of attempts, which is compared with the outcomes
 * that the callers got.
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
  readonly spanMs: number;
  readonly cancelAfterMs: number | undefined;
}

/** All events of a run. */
export interface Script {
  readonly arrivals: readonly Arrival[];
  readonly behaviours: readonly Behaviour[];
  /** The step from which the first upstream is leaving. */
  readonly leavesAt: number;
}

/** Random scripts. */
export const script: fastCheck.Arbitrary<Script> = fastCheck.record({
  arrivals: fastCheck.array(
    fastCheck.record({
      step: fastCheck.nat({max: 40}),
      idempotent: fastCheck.boolean(),
      urgency: fastCheck.constantFrom('urgent', 'normal', 'overnight'),
      spanMs: fastCheck.integer({min: 5, max: 900}),
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
  leavesAt: fastCheck.nat({max: 40}),
});

/** The attempts and outcomes of a run. */
export interface History {
  readonly attempts: readonly fakeUpstreams.PendingAttempt[];
  readonly behaviourOf: ReadonlyMap<fakeUpstreams.PendingAttempt, Behaviour>;
  readonly outcomes: ReadonlyMap<string, types.outcome.Outcome>;
  readonly sent: ReadonlyMap<string, Arrival>;
  readonly lateBy: ReadonlyMap<string, number>;
  readonly afterLeaving: number;
  readonly mostInFlight: number;
}

/** Events that are due at times of the manual clock. */
interface Agenda {
  add(at: number, event: () => void): void;
  runDue(now: number): void;
}

function createAgenda(): Agenda {
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
export async function runScript(drawn: Script): Promise<History> {
  const harness = await routerHarness.createRouterHarness(UPSTREAMS, SLOTS);
  const {clock, router, fakes} = harness;
  const agenda = createAgenda();
  const callers = createCallers(harness, agenda);
  const behaviourOf = new Map<fakeUpstreams.PendingAttempt, Behaviour>();
  let leftAfter = Infinity;
  let mostInFlight = 0;

  for (let step = 0; step < STEPS; step += 1) {
    const leaving = step >= drawn.leavesAt;
    router.setView(viewAt(harness, leaving));
    if (leaving) leftAfter = Math.min(leftAfter, fakes.attempts.length);
    for (const one of drawn.arrivals) {
      if (one.step === step) void callers.send(one);
    }
    await timers.setImmediate();
    for (const attempt of fakes.attempts.slice(behaviourOf.size)) {
      const behaviour = nextBehaviour(drawn, behaviourOf.size);
      behaviourOf.set(attempt, behaviour);
      behave(attempt, behaviour, clock.monotonic(), agenda);
    }
    mostInFlight = Math.max(mostInFlight, router.status().inFlight);
    agenda.runDue(clock.monotonic());
    await clock.advance(STEP_MS);
  }
  const afterLeaving = fakes.attempts
    .slice(leftAfter)
    .filter((one) => one.upstream === LEAVING_UPSTREAM).length;
  const {attempts} = fakes;
  return {
    ...callers.told,
    attempts,
    behaviourOf,
    afterLeaving,
    mostInFlight,
  };
}

interface Callers {
  readonly told: Pick<History, 'outcomes' | 'sent' | 'lateBy'>;
  send(arrival: Arrival): Promise<void>;
}

function createCallers(
  harness: routerHarness.RouterHarness,
  agenda: Agenda,
): Callers {
  const outcomes = new Map<string, types.outcome.Outcome>();
  const sent = new Map<string, Arrival>();
  const lateBy = new Map<string, number>();
  const {clock} = harness;
  const send = async (arrival: Arrival) => {
    const requestId = `r${sent.size}`;
    sent.set(requestId, arrival);
    const {idempotent, urgency, spanMs, cancelAfterMs} = arrival;
    const now = clock.monotonic();
    const deadline = types.clock.after(now, spanMs);
    const caller = new AbortController();
    if (cancelAfterMs !== undefined) {
      agenda.add(now + cancelAfterMs, () =>
        caller.abort('the caller cancelled the request'),
      );
    }
    const {signal} = caller;
    const fields = {requestId, idempotent, urgency, deadline, signal};
    outcomes.set(requestId, await harness.send(fields));
    lateBy.set(requestId, clock.monotonic() - deadline);
  };
  return {told: {outcomes, sent, lateBy}, send};
}

function viewAt(harness: routerHarness.RouterHarness, leaving: boolean) {
  const upstreams = harness.view.upstreams.map((listed) =>
    leaving && listed.id === LEAVING_UPSTREAM
      ? {...listed, state: 'leaving' as const}
      : listed,
  );
  return {...harness.view, upstreams};
}

function nextBehaviour(drawn: Script, index: number): Behaviour {
  const {behaviours} = drawn;
  return behaviours[index % behaviours.length] ?? {type: 'silent', steps: 0};
}

function behave(
  attempt: fakeUpstreams.PendingAttempt,
  behaviour: Behaviour,
  now: number,
  agenda: Agenda,
): void {
  const {deadline} = attempt.req;
  const endAt = Math.min(now + behaviour.steps * STEP_MS, deadline);
  agenda.add(endAt, () => endOf(behaviour, attempt));
  agenda.add(deadline, () => attempt.fail('timeout', 'unknown'));
}

function endOf(
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
