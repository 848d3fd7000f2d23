/** Runs scripts of faults in a claim world. */
import * as fastCheck from 'fast-check';
import type * as claimFaults from './claim_faults.js';
import * as claimWorld from './claim_world.js';

const {TTL_MS} = claimWorld;

/** A fault and its delay after the previous one. */
export interface Step {
  readonly afterMs: number;
  readonly fault: claimFaults.Fault;
}

/** A script of faults; each run of it has the same outcome. */
export interface Script {
  /** Number of machines at the start. */
  readonly machines: number;
  /** Seed of the delays and of the protocol's own random numbers. */
  readonly seed: number;
  readonly steps: readonly Step[];
}

/** The outcome of a run. */
export interface Outcome {
  readonly violations: readonly string[];
  readonly holders: readonly number[];
  readonly claims: number;
  readonly starts: number;
}

/** How long a world runs on after its script, to observe late effects. */
const SETTLE_MS = 12 * TTL_MS;

/** Runs a script in a world whose claim is held. */
export async function runScript(script: Script): Promise<Outcome> {
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

/**
 * Maximum number of machines at the start of a random script. With fewer, a
 * restart of `spare` can add one.
 */
export const MAX_MACHINES = 3;

const forMs = fastCheck.oneof(
  fastCheck.integer({min: 1, max: 4 * TTL_MS}),
  fastCheck.constantFrom(TTL_MS / 4, 1.2 * TTL_MS, 3 * TTL_MS, 12 * TTL_MS),
);
const afterMs = fastCheck.oneof(
  fastCheck.integer({min: 0, max: 2 * TTL_MS}),
  fastCheck.constantFrom(0, TTL_MS / 3, 1.2 * TTL_MS, 5 * TTL_MS),
);
/** Targets by role, not by number, since most relevant faults hit the holder. */
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

/** Random scripts of up to `maxSteps` faults in quick succession. */
export function randomScripts(maxSteps: number): fastCheck.Arbitrary<Script> {
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

/** One fault of each kind that the protocol must tolerate. */
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

/** Every sequence of `depth` faults, 0.7 ttl apart. */
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
 * Runs a script and pauses one process right after the event with the index
 * `event`, counted from the script's last fault. Every await of the code under
 * test ends at an event, so this covers a pause at any await. Undefined if
 * there are fewer events.
 */
export async function runScriptWithPauseAt(
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

/** The holder renews by promises while its named peer reads the log. */
export const HOLDER_CUT_FROM_LOG: Script = {
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
