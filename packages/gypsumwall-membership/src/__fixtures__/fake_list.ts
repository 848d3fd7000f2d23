/** The platform's list of machines on virtual time, with a lag. */
import type * as types from '@gypsumwall/types';
import type * as claimFaults from './claim_faults.js';
import type * as virtualTime from './virtual_time.js';

/** The platform's list; the fault `cut_from_list` applies to it. */
export interface FakeList {
  isReached(machine: number): boolean;
  /** The machines as they were up to half the lag ago. */
  fetch(): readonly number[];
  add(machine: number): void;
  /** Removes a machine whose process has ended. */
  remove(machine: number): void;
  /** Cuts a machine off; the list may show it as ended meanwhile. */
  cutOff(machine: number, forMs: number, isAlive: () => boolean): void;
}

/** Creates an empty list that is at most `lagMs` old. */
export function createFakeList(
  time: virtualTime.VirtualTime,
  random: types.random.Random,
  faults: claimFaults.LastingFaults,
  lagMs: number,
): FakeList {
  const known = new Set<number>();
  const removedAtByMachine = new Map<number, number>();
  const randomLag = () => random.integer(0, lagMs / 2);
  const isReached = (machine: number) =>
    !faults.isActive(`cut_from_list ${machine}`);

  function remove(machine: number) {
    const removedAt = time.now() + randomLag();
    removedAtByMachine.set(
      machine,
      Math.min(removedAtByMachine.get(machine) ?? Infinity, removedAt),
    );
  }

  return {
    isReached,
    remove,
    add: (machine) => {
      known.add(machine);
      removedAtByMachine.delete(machine);
    },
    fetch: () => {
      const asOf = time.now() - randomLag();
      return [...known].filter(
        (machine) => asOf < (removedAtByMachine.get(machine) ?? Infinity),
      );
    },
    cutOff: (machine, forMs, isAlive) => {
      faults.extend(`cut_from_list ${machine}`, forMs);
      remove(machine);
      time.at(time.now() + forMs, () => {
        if (isAlive() && isReached(machine)) removedAtByMachine.delete(machine);
      });
    },
  };
}
