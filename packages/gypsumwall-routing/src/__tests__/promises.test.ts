import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as fastCheck from 'fast-check';
import * as types from '@gypsumwall/types';
import type * as fakeUpstreams from '../__fixtures__/fake_upstreams.js';
import * as routerHarness from '../__fixtures__/router_harness.js';

const SEED = 17;
const RUNS = 150;
const UPSTREAMS = 3;
const SLOTS = 2;
const STEP_MS = 20;
/** How late an outcome may be: a timer's grain and the step of the test. */
const GRACE_MS = 2 * STEP_MS;

/** What an upstream does with one attempt, after so many steps. */
interface Behaviour {
  readonly type: 'done' | 'refuse' | 'unreachable' | 'reset' | 'silent';
  readonly steps: number;
}

interface Arrival {
  readonly step: number;
  readonly idempotent: boolean;
  readonly urgency: types.job.Urgency;
  readonly spanMs: number;
  readonly cancelAfterMs: number | undefined;
}

interface Script {
  readonly arrivals: readonly Arrival[];
  readonly behaviours: readonly Behaviour[];
  /** Step from which the first upstream is leaving. */
  readonly leavesAt: number;
}

const script: fastCheck.Arbitrary<Script> = fastCheck.record({
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

/** Attempts and outcomes of one run. */
interface History {
  readonly attempts: readonly fakeUpstreams.PendingAttempt[];
  readonly behaviourOf: ReadonlyMap<fakeUpstreams.PendingAttempt, Behaviour>;
  readonly outcomes: ReadonlyMap<string, types.outcome.Outcome>;
  readonly sent: ReadonlyMap<string, Arrival>;
  readonly lateBy: ReadonlyMap<string, number>;
  readonly afterLeaving: number;
  readonly mostInFlight: number;
}

nodeTest.test('outcomes are true under any mix of faults', async () => {
  // Upstreams answer, refuse, reset, go silent and leave at random while
  // callers come and go. Whatever happens, "not run" must mean that no
  // attempt may have run, and what may not be repeated may run only once.
  await fastCheck.assert(
    fastCheck.asyncProperty(script, async (drawn) => check(await run(drawn))),
    {seed: SEED, numRuns: RUNS},
  );
});

function check(history: History): void {
  for (const [id, arrival] of history.sent) {
    const outcome = history.outcomes.get(id);
    assert.ok(outcome, `${id} has an outcome`);
    const mayHaveRun = history.attempts.filter(
      (one) => one.req.requestId === id && ran(history.behaviourOf.get(one)),
    ).length;
    if (outcome.type === 'not_run') assert.equal(mayHaveRun, 0);
    if (outcome.type === 'done') assert.ok(mayHaveRun > 0);
    if (!arrival.idempotent) assert.ok(mayHaveRun <= 1, `${id} ran twice`);
    assert.ok((history.lateBy.get(id) ?? 0) <= GRACE_MS, `${id} is late`);
  }
  assert.equal(history.afterLeaving, 0);
  assert.ok(history.mostInFlight <= UPSTREAMS * SLOTS);
}

function ran(behaviour: Behaviour | undefined): boolean {
  switch (behaviour?.type) {
    case 'done':
    case 'reset':
    case 'silent':
      return true;
    case 'refuse':
    case 'unreachable':
    case undefined:
      return false;
  }
}

async function run(drawn: Script): Promise<History> {
  const harness = await routerHarness.createRouterHarness(UPSTREAMS, SLOTS);
  const {clock, router, fakes} = harness;
  const behaviourOf = new Map<fakeUpstreams.PendingAttempt, Behaviour>();
  const outcomes = new Map<string, types.outcome.Outcome>();
  const sent = new Map<string, Arrival>();
  const lateBy = new Map<string, number>();
  const dueAt: Array<{at: number; end: () => void}> = [];
  let leftAfter = Infinity;
  let mostInFlight = 0;

  const send = async (arrival: Arrival) => {
    const id = `r${sent.size}`;
    sent.set(id, arrival);
    const caller = new AbortController();
    const {idempotent, urgency, spanMs, cancelAfterMs} = arrival;
    const now = clock.monotonic();
    const deadline = types.clock.after(now, spanMs);
    if (cancelAfterMs !== undefined) {
      const end = () => caller.abort('the caller left');
      dueAt.push({at: now + cancelAfterMs, end});
    }
    const outcome = await harness.send({
      requestId: id,
      idempotent,
      urgency,
      deadline,
      signal: caller.signal,
    });
    outcomes.set(id, outcome);
    lateBy.set(id, clock.monotonic() - deadline);
  };
  const behave = (attempt: fakeUpstreams.PendingAttempt, index: number) => {
    const {behaviours} = drawn;
    const behaviour = behaviours[index % behaviours.length];
    if (behaviour === undefined) return;
    behaviourOf.set(attempt, behaviour);
    const endAt = Math.min(
      clock.monotonic() + behaviour.steps * STEP_MS,
      attempt.req.deadline,
    );
    dueAt.push({at: endAt, end: () => endOf(behaviour, attempt)});
    dueAt.push({
      at: attempt.req.deadline,
      end: () => attempt.fail('timeout', 'unknown'),
    });
  };

  let seen = 0;
  for (let step = 0; step < 100; step += 1) {
    const leaving = step >= drawn.leavesAt;
    const upstreams = harness.view.upstreams.map((listed, index) =>
      leaving && index === 0 ? {...listed, state: 'leaving' as const} : listed,
    );
    router.setView({...harness.view, upstreams});
    if (leaving) leftAfter = Math.min(leftAfter, fakes.attempts.length);
    for (const one of drawn.arrivals) if (one.step === step) void send(one);
    await timers.setImmediate();
    fakes.attempts.slice(seen).forEach((one, at) => behave(one, seen + at));
    seen = fakes.attempts.length;
    mostInFlight = Math.max(mostInFlight, router.status().inFlight);
    const due = dueAt.filter((one) => one.at <= clock.monotonic());
    for (const one of due) dueAt.splice(dueAt.indexOf(one), 1);
    for (const one of due) one.end();
    await clock.advance(STEP_MS);
  }
  const afterLeaving = fakes.attempts
    .slice(leftAfter)
    .filter((one) => one.upstream === 'u0').length;
  const {attempts} = fakes;
  return {
    attempts,
    behaviourOf,
    outcomes,
    sent,
    lateBy,
    afterLeaving,
    mostInFlight,
  };
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
