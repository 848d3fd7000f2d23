/** Plays scripts of faults in a claim world. */
import * as fastCheck from 'fast-check';
import type * as claimFaults from './claim_faults.js';
import * as claimWorld from './claim_world.js';

const {TTL_MS} = claimWorld;

/** A fault, and how long after the one before it comes. */
export interface Step {
  readonly afterMs: number;
  readonly fault: claimFaults.Fault;
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
const SETTLE_MS = 12 * TTL_MS;

/** Plays a script from a world whose claim is held. */
export async function play(script: Script): Promise<Outcome> {
  const world = claimWorld.createClaimWorld(script.machines, script.seed);
  await world.run(1.5 * TTL_MS);
  for (const step of script.steps) {
    await world.run(step.afterMs);
    world.inject(step.fault);
  }
  await world.run(SETTLE_MS);
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
export const MAX_MACHINES = 3;

const forMs = fastCheck.oneof(
  fastCheck.integer({min: 1, max: 4 * TTL_MS}),
  fastCheck.constantFrom(TTL_MS / 4, 1.2 * TTL_MS, 3 * TTL_MS, 12 * TTL_MS),
);
const afterMs = fastCheck.oneof(
  fastCheck.integer({min: 0, max: 2 * TTL_MS}),
  fastCheck.constantFrom(0, TTL_MS / 3, 1.2 * TTL_MS, 5 * TTL_MS),
);
/** By part rather than by number: most faults that matter hit the holder. */
const machine = fastCheck.constantFrom(
  'holder' as const,
  'named' as const,
  'spare' as const,
);

const fault: fastCheck.Arbitrary<claimFaults.Fault> = fastCheck.oneof(
  fastCheck.record({
    type: fastCheck.constant('pause' as const),
    machine,
    forMs,
  }),
  fastCheck.record({
    type: fastCheck.constant('log_down' as const),
    forMs,
  }),
  fastCheck.record({type: fastCheck.constant('answers_lost' as const), forMs}),
  fastCheck.record({type: fastCheck.constant('appends_late' as const), forMs}),
  fastCheck.record({
    type: fastCheck.constantFrom(
      'cut_from_log' as const,
      'cut_from_list' as const,
    ),
    machine,
    forMs,
  }),
  fastCheck.record({
    type: fastCheck.constant('cut_between' as const),
    machine,
    other: machine,
    forMs,
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
export function scripts(maxSteps: number): fastCheck.Arbitrary<Script> {
  return fastCheck.record({
    machines: fastCheck.integer({min: 1, max: MAX_MACHINES}),
    seed: fastCheck.integer({min: 1, max: 1_000_000}),
    steps: fastCheck.array(
      fastCheck.record({
        afterMs,
        fault,
      }),
      {minLength: 1, maxLength: maxSteps},
    ),
  });
}

const LONG_FAULT_MS = 4 * TTL_MS;
const PAUSE_MS = 1.3 * TTL_MS;

/** One fault of each kind that the protocol has to meet. */
const FAULT_KINDS: readonly claimFaults.Fault[] = [
  {type: 'pause', machine: 'holder', forMs: PAUSE_MS},
  {type: 'pause', machine: 'named', forMs: PAUSE_MS},
  {type: 'log_down', forMs: LONG_FAULT_MS},
  {type: 'answers_lost', forMs: TTL_MS},
  {type: 'appends_late', forMs: TTL_MS},
  {type: 'cut_from_log', machine: 'holder', forMs: LONG_FAULT_MS},
  {type: 'cut_from_list', machine: 'holder', forMs: 2 * LONG_FAULT_MS},
  {
    type: 'cut_between',
    machine: 'holder',
    other: 'named',
    forMs: LONG_FAULT_MS,
  },
  {type: 'kill', machine: 'holder'},
  {type: 'kill', machine: 'named'},
  {type: 'restart', machine: 'named'},
  {type: 'restart', machine: 'spare'},
  {type: 'release', machine: 'holder'},
];

/** Every sequence of `depth` faults, most of a ttl apart. */
export function* allScripts(depth: number): Generator<Script> {
  const total = FAULT_KINDS.length ** depth;
  for (let number = 0; number < total; number++) {
    const steps: Step[] = [];
    let remaining = number;
    for (let step = 0; step < depth; step++) {
      const fault = FAULT_KINDS[remaining % FAULT_KINDS.length];
      remaining = Math.floor(remaining / FAULT_KINDS.length);
      if (fault !== undefined) steps.push({afterMs: 0.7 * TTL_MS, fault});
    }
    yield {machines: 2, seed: 1 + number, steps};
  }
}

/**
 * Plays a script and pauses one process between two events, the `event`th
 * and the next after the script's last fault: every await of the code under
 * test ends at an event. Undefined when there are fewer events.
 */
export async function playWithPauseAt(
  script: Script,
  event: number,
  machine: claimFaults.Target,
): Promise<Outcome | undefined> {
  const world = claimWorld.createClaimWorld(script.machines, script.seed);
  await world.run(1.5 * TTL_MS);
  for (const step of script.steps) {
    await world.run(step.afterMs);
    world.inject(step.fault);
  }
  let events = 0;
  await world.run(2 * TTL_MS, () => {
    if (events++ !== event) return;
    world.inject({type: 'pause', machine, forMs: PAUSE_MS});
  });
  await world.run(3 * TTL_MS);
  const holders = world.holders();
  await world.stop();
  const {claims, starts} = world.counts;
  const violations = world.violations();
  return events <= event ? undefined : {violations, holders, claims, starts};
}

/** The holder renews by promises, its named peer reads the log. */
export const HOLDER_CUT_OFF: Script = {
  machines: 2,
  seed: 5,
  steps: [
    {
      afterMs: 0,
      fault: {
        type: 'cut_from_log',
        machine: 'holder',
        forMs: 5 * LONG_FAULT_MS,
      },
    },
  ],
};
