/** Which machines the platform lists, on virtual time and with a lag. */
import type * as types from '@gypsumwall/types';
import type * as claimFaults from './claim_faults.js';
import type * as virtualTime from './virtual_time.js';

/** The platform's list; `cut_from_list` applies. */
export interface FakeList {
  isReached(machine: number): boolean;
  /** What a fetch shows now: the truth of a while ago. */
  fetch(): readonly number[];
  add(machine: number): void;
  /** Its process has ended. */
  remove(machine: number): void;
  /** The platform may take a cut-off instance for a dead one. */
  cutOff(machine: number, forMs: number, isAlive: () => boolean): void;
}

/** Makes an empty list that is at most `lagMs` old. */
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
