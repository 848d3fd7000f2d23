/**
 * Corrects the platform's lagging list by direct evidence. Evidence overrides
 * the list only for one list lag. After that the list has had time to show the
 * same state and is authoritative again.
 */
import * as types from '@gypsumwall/types';
import type * as platform from '@gypsumwall/platform';

/** Corrections, keyed by instance id. */
export interface ListCorrections {
  /** Hides an instance that is known to have ended, such as by a refusal. */
  markRemoved(id: string): void;
  /** Marks an instance that a peer's list shows as leaving. */
  markLeaving(id: string): void;
  /** The list with all corrections that are in force. */
  correct(
    instances: readonly platform.instanceList.ListedInstance[],
  ): readonly platform.instanceList.ListedInstance[];
}

/** Creates an empty set of corrections. */
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
