/** Applies faults to a claim world. */
import type * as claimFaults from './claim_faults.js';
import type * as fakeList from './fake_list.js';
import type * as fakeNetwork from './fake_network.js';
import type * as virtualTime from './virtual_time.js';

/** The parts of a world that faults change. */
export interface InjectionOptions {
  readonly time: virtualTime.VirtualTime;
  readonly faults: claimFaults.LastingFaults;
  readonly list: fakeList.FakeList;
  readonly network: fakeNetwork.FakeNetwork;
  readonly resolveTarget: (target: claimFaults.Target) => number;
  readonly isAlive: (machine: number) => boolean;
  readonly endProcess: (machine: number) => void;
  readonly spawn: (machine: number) => void;
  readonly entryAt: (
    machine: number,
  ) =>
    | {readonly process: virtualTime.VirtualProcess; isReleasing: boolean}
    | undefined;
}

/** Creates the function that injects a fault. */
export function createInjection(
  options: InjectionOptions,
): (fault: claimFaults.Fault) => void {
  const {time, faults, list, network} = options;
  const {resolveTarget, isAlive, endProcess, spawn, entryAt} = options;

  function inject(fault: claimFaults.Fault) {
    switch (fault.type) {
      case 'pause':
        entryAt(resolveTarget(fault.machine))?.process.pauseUntil(
          time.now() + fault.forMs,
        );
        break;
      case 'log_down':
      case 'answers_lost':
      case 'appends_late':
        faults.extend(fault.type, fault.forMs);
        break;
      case 'cut_from_log':
        faults.extend(
          `cut_from_log ${resolveTarget(fault.machine)}`,
          fault.forMs,
        );
        break;
      case 'cut_from_list': {
        const machine = resolveTarget(fault.machine);
        list.cutOff(machine, fault.forMs, () => isAlive(machine));
        break;
      }
      case 'cut_between': {
        const [one, other] = [
          resolveTarget(fault.machine),
          resolveTarget(fault.other),
        ];
        if (one === other) break;
        faults.extend(`cut_between ${one} ${other}`, fault.forMs);
        faults.extend(`cut_between ${other} ${one}`, fault.forMs);
        break;
      }
      case 'kill':
        endProcess(resolveTarget(fault.machine));
        break;
      case 'lose_machine':
        endProcess(resolveTarget(fault.machine));
        network.loseMachine(resolveTarget(fault.machine));
        break;
      case 'restart':
        endProcess(resolveTarget(fault.machine));
        spawn(resolveTarget(fault.machine));
        break;
      case 'release': {
        // A start in flight could reach its worker after the next entry has
        // claimed, so the entry waits for all answers before it releases.
        const entry = entryAt(resolveTarget(fault.machine));
        if (entry !== undefined) entry.isReleasing = true;
        break;
      }
    }
  }

  return inject;
}
