/** Applies the faults of a campaign to a running cell, and ends them. */
import * as types from '@gypsumwall/types';
import type * as emulatorConfig from '../config/emulator_config.js';
import type * as storeFaults from '../model/store_faults.js';
import type * as emulatedCell from '../rig/emulated_cell.js';
import type * as entryMachine from '../rig/entry_machine.js';
import type * as faultPlan from './fault_plan.js';

/** Options of {@link injectFaults}. */
export interface FaultInjectorOptions {
  readonly cell: emulatedCell.EmulatedCell;
  readonly config: emulatorConfig.EmulatorConfig;
  readonly plan: readonly faultPlan.PlannedFault[];
  readonly sendBurst: (jobs: number) => void;
  readonly note: (line: string) => void;
}

const ALL_CALLERS = 'all';
/** Older keys that stay valid beside a new one. */
const KEPT_KEYS = 1;

/** Resolves once every fault of the plan has ended. */
export async function injectFaults(
  options: FaultInjectorOptions,
): Promise<void> {
  const {cell, plan, note} = options;
  const {clock} = cell;
  const {store: storeModel, machines} = cell.model;
  const startedAt = clock.monotonic();
  /** Faults in force, by their target, the newest last. */
  const faultsInForce = new Map<string, storeFaults.StoreFault[]>();
  const slowdowns: number[] = [];
  const frozen = new Map<string, number>();

  async function findEntry(
    target: faultPlan.EntryTarget,
  ): Promise<entryMachine.EntryMachine> {
    const found =
      target === 'holder' ? await cell.findHolder() : cell.entries[target];
    return found ?? cell.entries[0]!;
  }

  function updateStoreFaults(): void {
    for (const caller of [ALL_CALLERS, ...cell.entries.map(nameOf)]) {
      const fault = faultsInForce.get(caller)?.at(-1) ??
        faultsInForce.get(ALL_CALLERS)?.at(-1) ?? {type: 'none'};
      storeModel.setFault(caller, fault);
    }
  }

  function addStoreFault(
    caller: string,
    fault: storeFaults.StoreFault,
  ): () => void {
    faultsInForce.set(caller, [...(faultsInForce.get(caller) ?? []), fault]);
    updateStoreFaults();
    return () => {
      const remaining = faultsInForce.get(caller) ?? [];
      faultsInForce.set(
        caller,
        remaining.filter((one) => one !== fault),
      );
      updateStoreFaults();
    };
  }

  function addSlowdown(factor: number): () => void {
    slowdowns.push(factor);
    storeModel.setSlowdown(Math.max(1, ...slowdowns));
    return () => {
      slowdowns.splice(slowdowns.indexOf(factor), 1);
      storeModel.setSlowdown(Math.max(1, ...slowdowns));
    };
  }

  function freeze(entry: entryMachine.EntryMachine): () => void {
    frozen.set(entry.name, (frozen.get(entry.name) ?? 0) + 1);
    entry.freeze();
    return () => {
      const others = (frozen.get(entry.name) ?? 1) - 1;
      frozen.set(entry.name, others);
      if (others === 0) entry.thaw();
    };
  }

  function shrinkWorkers(share: number): () => void {
    const {capacity} = options.config.pools[0]!;
    const cpuMillis = Math.round(capacity.cpuMillis * share);
    for (const machine of machines)
      machine.setCapacity({...capacity, cpuMillis});
    return () => {
      for (const machine of machines) machine.setCapacity(capacity);
    };
  }

  /** Returns the organisation's name. */
  function addKey(index: number): string {
    const before = cell.model.organisations();
    const changed = before[index];
    if (changed === undefined) return '';
    const {name, keys} = changed;
    const newest = Number(keys[0]?.split('-').at(-1));
    const nextKeys = [`${name}-${newest + 1}`, ...keys.slice(0, KEPT_KEYS)];
    cell.model.publish(before.with(index, {...changed, keys: nextKeys}));
    return name;
  }

  /** Starts the fault; returns what ends it and a description of its target. */
  async function start(
    fault: faultPlan.CampaignFault,
  ): Promise<{end: () => void; target: string}> {
    const end = () => undefined;
    switch (fault.type) {
      case 'store_slow':
        return {end: addSlowdown(fault.factor), target: ''};
      case 'store_fault': {
        const caller =
          fault.target === ALL_CALLERS
            ? ALL_CALLERS
            : nameOf(await findEntry(fault.target));
        return {end: addStoreFault(caller, fault.fault), target: caller};
      }
      case 'kill': {
        const entry = await findEntry(fault.target);
        entry.kill();
        return {end, target: entry.name};
      }
      case 'terminate': {
        const entry = await findEntry(fault.target);
        entry.terminate();
        return {end, target: entry.name};
      }
      case 'freeze': {
        const entry = await findEntry(fault.target);
        return {end: freeze(entry), target: entry.name};
      }
      case 'worker_crash': {
        const machine = machines[fault.machine];
        void machine?.crash();
        return {end, target: machine?.name ?? ''};
      }
      case 'crash_beside_kill': {
        const crashed = fault.machines.map((nth) => machines[nth]);
        for (const machine of crashed) void machine?.crash();
        await types.clock.sleepFor(clock, fault.killAfterMs);
        const entry = await findEntry('holder');
        entry.kill();
        const names = crashed.map((machine) => machine?.name ?? '');
        return {end, target: [...names, entry.name].join(' ')};
      }
      case 'small_workers':
        return {end: shrinkWorkers(fault.share), target: ''};
      case 'new_key':
        return {end, target: addKey(fault.organisation)};
      case 'burst':
        options.sendBurst(fault.jobs);
        return {end, target: ''};
    }
  }

  async function run(planned: faultPlan.PlannedFault): Promise<void> {
    await clock.sleepUntil(types.clock.after(startedAt, planned.startMs));
    const {end, target} = await start(planned.fault);
    const what = `${JSON.stringify(planned.fault)} ${target}`;
    cell.model.history.record({type: 'disruption', what});
    note(`fault begins: ${what}`);
    await clock.sleepUntil(types.clock.after(startedAt, planned.endMs));
    end();
    note(`fault ends: ${what}`);
  }

  await Promise.all(plan.map(run));
}

function nameOf(entry: entryMachine.EntryMachine): string {
  return entry.name;
}
