/**
 * Workers that were removed because they were silent, in case it turns out that
 * they crashed.
 */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';

/** Remembers such workers for a limited time. */
export interface SilentWorkers {
  add(info: scheduling.workerRegistry.WorkerInfo): void;
  /**
   * The silent worker whose address belongs to another incarnation now, which
   * proves that it crashed. Returned once; undefined if there is none.
   */
  takeRestarted(
    info: scheduling.workerRegistry.WorkerInfo,
  ): types.ids.WorkerId | undefined;
}

interface SilentWorker {
  readonly id: types.ids.WorkerId;
  readonly until: types.clock.MonotonicMs;
}

/** Creates an empty list. */
export function createSilentWorkers(clock: types.clock.Clock): SilentWorkers {
  const byAddress = new Map<string, SilentWorker>();

  return {
    add({id, address}) {
      const now = clock.monotonic();
      for (const [known, {until}] of byAddress) {
        if (until <= now) byAddress.delete(known);
      }
      const {LOSS_RETENTION_MS} = scheduling.workerLosses;
      const until = types.clock.after(now, LOSS_RETENTION_MS);
      byAddress.set(address, {id, until});
    },
    takeRestarted({id, address}) {
      const before = byAddress.get(address);
      byAddress.delete(address);
      if (before === undefined || before.id === id) return undefined;
      return clock.monotonic() < before.until ? before.id : undefined;
    },
  };
}
