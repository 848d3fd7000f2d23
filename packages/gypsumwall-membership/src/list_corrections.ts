/**
 * Corrects the platform's lagging list by what this process knows better.
 * Evidence beats the list only as long as the list may lag: after that the
 * list has had the time to show the same, and it is the one to believe.
 */
import * as types from '@gypsumwall/types';
import type * as platform from '@gypsumwall/platform';

/** Corrections by instance id. */
export interface ListCorrections {
  /** Direct evidence that an instance is gone, such as a refusal. */
  markRemoved(id: string): void;
  /** A peer's list shows the instance as leaving. */
  markLeaving(id: string): void;
  /** The list as it should be read. */
  correct(
    instances: readonly platform.instanceList.ListedInstance[],
  ): readonly platform.instanceList.ListedInstance[];
}

/** Makes an empty set of corrections. */
export function createListCorrections(
  clock: types.clock.Clock,
  listLagMs: number,
): ListCorrections {
  const removedUntil = new Map<string, types.clock.MonotonicMs>();
  const leavingUntil = new Map<string, types.clock.MonotonicMs>();

  function isInForce(
    deadlines: Map<string, types.clock.MonotonicMs>,
    id: string,
  ): boolean {
    const deadline = deadlines.get(id);
    if (deadline === undefined) return false;
    if (clock.monotonic() < deadline) return true;
    deadlines.delete(id);
    return false;
  }

  return {
    markRemoved: (id) => {
      removedUntil.set(id, types.clock.after(clock.monotonic(), listLagMs));
    },
    markLeaving: (id) => {
      leavingUntil.set(id, types.clock.after(clock.monotonic(), listLagMs));
    },
    correct: (instances) => {
      const staleAt = types.clock.after(clock.monotonic(), listLagMs);
      for (const {id, state} of instances) {
        if (state === 'leaving') leavingUntil.set(id, staleAt);
      }
      return instances
        .filter(({id}) => !isInForce(removedUntil, id))
        .map((instance) =>
          isInForce(leavingUntil, instance.id)
            ? {...instance, state: 'leaving' as const}
            : instance,
        );
    },
  };
}
