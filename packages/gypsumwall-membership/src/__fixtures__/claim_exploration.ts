/** Plays scripts of faults in a claim world. */
import * as fastCheck from 'fast-check';
import * as claimWorld from './claim_world.js';

const {TTL_MS} = claimWorld;

/** A fault, and how long after the one before it comes. */
export interface Step {
  readonly afterMs: number;
  readonly fault: claimWorld.Fault;
}

/** One run: it repeats exactly. */
export interface Script {
  /** Machines there at the start. */
  readonly machines: number;
  /** Of clocks, delays and the protocol's own random numbers. */
  readonly seed: number;
  readonly steps: readonly Step[];
}

/** What a run showed. */
export interface Outcome {
  readonly violations: readonly string[];
  readonly holders: readonly number[];
  readonly claims: number;
  readonly starts: number;
}

/** How long a world goes on after its script, for late effects to show. */
const REST_MS = 12 * TTL_MS;

/** Plays a script from a world whose claim is held. */
export async function play(script: Script): Promise<Outcome> {
  const world = claimWorld.createClaimWorld(script.machines, script.seed);
  await world.run(1.5 * TTL_MS);
  for (const step of script.steps) {
    await world.run(step.afterMs);
    world.inject(step.fault);
  }
  await world.run(REST_MS);
  const holders = world.holders();
  await world.stop();
  return {
    violations: world.violations(),
    holders,
    claims: world.counts.claims,
    starts: world.counts.starts,
  };
}

/** Machines that scripts may name: one more than at the start can join. */
export const MOST_MACHINES = 3;

const forMs = fastCheck.integer({min: 1, max: 4 * TTL_MS});
const machine = fastCheck.integer({min: 0, max: MOST_MACHINES - 1});

const fault: fastCheck.Arbitrary<claimWorld.Fault> = fastCheck.oneof(
  fastCheck.record({
    type: fastCheck.constant('pause' as const),
    machine,
    forMs,
  }),
  fastCheck.record({
    type: fastCheck.constant('log_down' as const),
    forMs: fastCheck.integer({min: 1, max: 10 * TTL_MS}),
  }),
  fastCheck.record({type: fastCheck.constant('answers_lost' as const), forMs}),
  fastCheck.record({type: fastCheck.constant('appends_late' as const), forMs}),
  fastCheck.record({
    type: fastCheck.constantFrom(
      'cut_from_log' as const,
      'cut_from_list' as const,
    ),
    machine,
    forMs: fastCheck.integer({min: 1, max: 10 * TTL_MS}),
  }),
  fastCheck.record({
    type: fastCheck.constant('cut_between' as const),
    machine,
    other: machine,
    forMs: fastCheck.integer({min: 1, max: 10 * TTL_MS}),
  }),
  fastCheck.record({
    type: fastCheck.constantFrom(
      'kill' as const,
      'lose_machine' as const,
      'restart' as const,
      'release' as const,
    ),
    machine,
  }),
);

/** Scripts of up to `mostSteps` faults in quick succession. */
export function scripts(mostSteps: number): fastCheck.Arbitrary<Script> {
  return fastCheck.record({
    machines: fastCheck.integer({min: 1, max: MOST_MACHINES}),
    seed: fastCheck.integer({min: 1, max: 1_000_000}),
    steps: fastCheck.array(
      fastCheck.record({
        afterMs: fastCheck.integer({min: 0, max: 2 * TTL_MS}),
        fault,
      }),
      {minLength: 1, maxLength: mostSteps},
    ),
  });
}
