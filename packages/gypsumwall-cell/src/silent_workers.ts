/**
 * Workers that were removed because they were silent, in case it turns out that
 * they crashed.
 */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as unansweredStarts from './unanswered_starts.js';

/** What a worker that is found shows about a silent one. */
export interface SilentPredecessor {
  /**
   * The silent worker whose address or id belongs to another incarnation now,
   * which proves that it crashed; undefined if there is none.
   */
  readonly crashed?: types.ids.WorkerId;
  /** Orders to the silent worker that the found one may still carry out. */
  readonly starts: readonly unansweredStarts.UnansweredStart[];
}

/** Remembers such workers for a limited time. */
export interface SilentWorkers {
  add(
    info: scheduling.workerRegistry.WorkerInfo,
    starts: readonly unansweredStarts.UnansweredStart[],
  ): void;
  /** Forgets the silent worker that this one replaces, and returns it. */
  take(info: scheduling.workerRegistry.WorkerInfo): SilentPredecessor;
}

interface SilentWorker {
  readonly info: scheduling.workerRegistry.WorkerInfo;
  readonly starts: readonly unansweredStarts.UnansweredStart[];
  readonly until: types.clock.MonotonicMs;
}

/** Creates an empty list. */
export function createSilentWorkers(clock: types.clock.Clock): SilentWorkers {
  const byAddress = new Map<string, SilentWorker>();

  function find({
    id,
    address,
  }: scheduling.workerRegistry.WorkerInfo): SilentWorker | undefined {
    for (const silent of byAddress.values())
      if (silent.info.id === id) return silent;
    return byAddress.get(address);
  }

  return {
    add(info, starts) {
      const now = clock.monotonic();
      for (const [known, {until}] of byAddress) {
        if (until <= now) byAddress.delete(known);
      }
      const {LOSS_RETENTION_MS} = scheduling.workerLosses;
      const until = types.clock.after(now, LOSS_RETENTION_MS);
      byAddress.set(info.address, {info, starts, until});
    },
    take(info) {
      const before = find(info);
      if (before === undefined) return {starts: []};
      byAddress.delete(before.info.address);
      if (clock.monotonic() >= before.until) return {starts: []};
      const {id} = before.info;
      if (id !== info.id) return {crashed: id, starts: []};
      const {starts} = before;
      const {compareBirth} = scheduling.workerIncarnation;
      return compareBirth(before.info, info.bornMs) === 'later'
        ? {crashed: id, starts}
        : {starts};
    },
  };
}
