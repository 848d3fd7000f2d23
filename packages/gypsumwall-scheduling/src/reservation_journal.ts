/** Undoes the reservations of a step whose placement has thrown. */
import type * as types from '@gypsumwall/types';
import type * as workerRegistry from './worker_registry.js';

/** A registry whose reservations can be undone. */
export interface ReservationJournal {
  readonly registry: workerRegistry.WorkerRegistry;
  /** Releases what was reserved and not released since. */
  undo(): void;
}

/** Creates a journal of reservations for one step. */
export function createReservationJournal(
  registry: workerRegistry.WorkerRegistry,
): ReservationJournal {
  const counts = new Map<types.ids.WorkerId, number>();
  let reserved: workerRegistry.Reservation | undefined;

  function count(id: types.ids.WorkerId, change: 1 | -1): void {
    counts.set(id, (counts.get(id) ?? 0) + change);
  }

  return {
    registry: {
      ...registry,
      reserve(id, reservation) {
        registry.reserve(id, reservation);
        reserved = reservation;
        count(id, 1);
      },
      release(id, reservation) {
        registry.release(id, reservation);
        count(id, -1);
      },
    },
    undo() {
      if (reserved === undefined) return;
      for (const [id, tasks] of counts)
        for (let task = 0; task < tasks; task++) registry.release(id, reserved);
      counts.clear();
    },
  };
}
