/** Workers that were given up for silent, in case they turn out to have crashed. */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';

/** Remembers them for a while. */
export interface SilentWorkers {
  note(info: scheduling.workerRegistry.WorkerInfo): void;
  /**
   * The silent worker whose address another stay has: it has crashed. Told
   * once; undefined if there is none.
   */
  takeRestarted(
    info: scheduling.workerRegistry.WorkerInfo,
  ): types.ids.WorkerId | undefined;
}

interface SilentWorker {
  readonly id: types.ids.WorkerId;
  readonly until: types.clock.MonotonicMs;
}

/** Creates an empty memory. */
export function createSilentWorkers(clock: types.clock.Clock): SilentWorkers {
  const byAddress = new Map<string, SilentWorker>();

  return {
    note({id, address}) {
      const now = clock.monotonic();
      for (const [known, {until}] of byAddress) {
        if (until <= now) byAddress.delete(known);
      }
      const {LOSS_RETENTION_MS: LATE_PROOF_MS} = scheduling.workerLosses;
      const until = types.clock.after(now, LATE_PROOF_MS);
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
