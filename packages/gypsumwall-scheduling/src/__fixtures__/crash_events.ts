/** Random events in a cell whose workers crash beside changes of the holder. */
import type * as types from '@gypsumwall/types';
import * as fc from 'fast-check';
import * as crashChecks from './crash_checks.js';
import type * as crashWorlds from './crash_world.js';

const MAX_CULPRITS = 3;
const MAX_WIDE_JOBS = 5;
const WIDE_SIZE = {cpuMillis: 4_000, memoryMb: 100, accelerators: 0};

const MACHINES = crashChecks.CELL.domains * crashChecks.CELL.machinesPerDomain;
const arbitraryMachine = fc.nat({max: MACHINES - 1});
const kinds = <Kind extends string>(type: Kind) => ({type: fc.constant(type)});

/** Room for a part of the tasks only. */
export const CROWDED_CELL = {cores: 5};

/** An event of a world. */
export const arbitraryEvent = fc.oneof(
  {
    weight: 2,
    arbitrary: fc.record({
      ...kinds('culprit'),
      gang: fc.boolean(),
      speculative: fc.boolean(),
      afterMs: fc.constantFrom(10, 200, 1_500),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      ...kinds('healthy'),
      gang: fc.boolean(),
      speculative: fc.boolean(),
      workMs: fc.integer({min: 100, max: 6_000}),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      ...kinds('wide'),
      speculative: fc.boolean(),
      workMs: fc.integer({min: 500, max: 4_000}),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      ...kinds('failing'),
      gang: fc.boolean(),
      longRunning: fc.boolean(),
      afterMs: fc.integer({min: 20, max: 2_000}),
      attempts: fc.integer({min: 1, max: 4}),
      maxFailures: fc.integer({min: 1, max: 3}),
    }),
  },
  {weight: 1, arbitrary: fc.record(kinds('longRunning'))},
  {
    weight: 2,
    arbitrary: fc.record({...kinds('crash'), machine: arbitraryMachine}),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      ...kinds('crashAndKill'),
      machine: arbitraryMachine,
      killAfterMs: fc.integer({min: 0, max: 1_000}),
      waitMs: fc.integer({min: 0, max: 6_000}),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      ...kinds('crashesAndKills'),
      machines: fc.array(arbitraryMachine, {minLength: 3, maxLength: 6}),
      killAfterMs: fc.integer({min: 0, max: 1_000}),
      waitMs: fc.integer({min: 2_500, max: 5_000}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      ...kinds('power'),
      domain: fc.nat({max: crashChecks.CELL.domains - 1}),
    }),
  },
  {weight: 1, arbitrary: fc.record(kinds('kill'))},
  {weight: 1, arbitrary: fc.record({...kinds('store'), down: fc.boolean()})},
  {
    weight: 2,
    arbitrary: fc.record({
      ...kinds('resize'),
      machine: arbitraryMachine,
      cores: fc.integer({min: 2, max: 8}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      ...kinds('resizeAll'),
      cores: fc.constantFrom(2, 4, 8, crashChecks.CELL.cores),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      ...kinds('cutOff'),
      machine: arbitraryMachine,
      waitMs: fc.constantFrom(0, 0, 9_000, 11_000),
      crashes: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({...kinds('reconnect'), machine: arbitraryMachine}),
  },
  {
    weight: 2,
    arbitrary: fc.record({...kinds('leave'), machine: arbitraryMachine}),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      ...kinds('wait'),
      spanMs: fc.integer({min: 20, max: 4_000}),
    }),
  },
);

/** A drawn event. */
export type CrashEvent =
  typeof arbitraryEvent extends fc.Arbitrary<infer One> ? One : never;

/** The jobs of a world, by how they have to end. */
export interface DrawnJobs {
  readonly culprits: types.ids.JobId[];
  /**
   * Culprits of which copies may start. A task and its copy may both crash their
   * workers before a holder knows of either crash, so the starts of these are
   * not bounded here.
   */
  readonly copiedCulprits: types.ids.JobId[];
  /** With a task that fails as often as its queue allows. */
  readonly exhausted: types.ids.JobId[];
  readonly healthy: types.ids.JobId[];
  readonly longRunning: types.ids.JobId[];
}

/** Applies an event, and adds the job that it submits to `drawn`. */
export function applyEvent(
  world: crashWorlds.CrashWorld,
  event: CrashEvent,
  drawn: DrawnJobs,
): void {
  const taskCount = 4;
  const jobCount = Object.values(drawn).flat().length;
  const nameOf = (kind: string) => `${kind}${jobCount}`;
  switch (event.type) {
    case 'culprit': {
      const {culprits, copiedCulprits} = drawn;
      if (culprits.length + copiedCulprits.length === MAX_CULPRITS) return;
      const {gang, afterMs} = event;
      const behaviour = {workMs: 20_000, crash: {index: 0, afterMs}};
      const speculative = event.speculative && !gang;
      const fields = {taskCount, gang, speculative};
      const id = world.submit(nameOf('culprit'), fields, behaviour);
      (speculative ? copiedCulprits : culprits).push(id);
      return;
    }
    case 'healthy': {
      const {gang, speculative, workMs} = event;
      const fields = {taskCount, gang, speculative: speculative && !gang};
      drawn.healthy.push(world.submit(nameOf('healthy'), fields, {workMs}));
      return;
    }
    case 'wide': {
      const wideJobs = drawn.healthy.filter((id) => id.startsWith('wide'));
      if (wideJobs.length === MAX_WIDE_JOBS) return;
      const {speculative, workMs} = event;
      const step = {taskCount: 24, size: WIDE_SIZE, speculative};
      const steps = [step, {...step, after: [0]}];
      drawn.healthy.push(world.submit(nameOf('wide'), steps, {workMs}));
      return;
    }
    case 'failing': {
      const {gang, longRunning, afterMs, attempts, maxFailures} = event;
      const fields = {taskCount, gang: gang && !longRunning, longRunning};
      const isExhausted = !longRunning && attempts >= maxFailures;
      // A failure that is lost with its worker does not count.
      const failures = isExhausted ? Infinity : attempts;
      const fail = {index: 0, afterMs, attempts: failures};
      const behaviour = {workMs: 5_000, fail};
      const policy = {maxFailures};
      const name = nameOf('failing');
      const id = world.submit(name, fields, behaviour, policy);
      if (longRunning) drawn.longRunning.push(id);
      else if (isExhausted) drawn.exhausted.push(id);
      else drawn.healthy.push(id);
      return;
    }
    case 'longRunning': {
      const name = nameOf('longRunning');
      drawn.longRunning.push(crashChecks.submitLongRunning(world, name));
      return;
    }
    case 'crash':
      world.crash(world.machines[event.machine]!);
      return;
    case 'crashAndKill':
      crashAndKill(world, event.machine, event);
      return;
    case 'crashesAndKills':
      for (const machine of event.machines) crashAndKill(world, machine, event);
      return;
    case 'power':
      world.cutPower(`d${event.domain}`);
      return;
    case 'kill':
      world.killHolder();
      return;
    case 'store':
      world.setStoreDown(event.down);
      return;
    case 'resize':
      world.setCapacity(world.machines[event.machine]!, event.cores);
      return;
    case 'resizeAll':
      for (const machine of world.machines)
        world.setCapacity(machine, event.cores);
      return;
    case 'cutOff': {
      const machine = world.machines[event.machine]!;
      world.cutOff(machine);
      world.run(event.waitMs);
      if (event.crashes) world.crash(machine);
      return;
    }
    case 'reconnect':
      world.reconnect(world.machines[event.machine]!);
      return;
    case 'leave':
      world.leave(world.machines[event.machine]!);
      return;
    case 'wait':
      world.run(event.spanMs);
      return;
  }
}

function crashAndKill(
  world: crashWorlds.CrashWorld,
  machine: number,
  {
    killAfterMs,
    waitMs,
  }: {readonly killAfterMs: number; readonly waitMs: number},
): void {
  world.crash(world.machines[machine]!);
  world.run(killAfterMs);
  world.killHolder();
  world.run(waitMs);
}

/** Ends all that is wrong, and waits until all work is done. */
export function settle(world: crashWorlds.CrashWorld): void {
  world.setStoreDown(false);
  for (const machine of world.machines) {
    world.reconnect(machine);
    world.setCapacity(machine, crashChecks.CELL.cores);
  }
  world.run(100_000);
}
