/**
 * Workers that were removed lately: silent ones, in case it turns out that they
 * crashed, and orders that the next incarnation under an id may carry out.
 */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as unansweredStarts from './unanswered_starts.js';

/** What a worker that is found shows about a silent one. */
export interface SilentPredecessor {
  /**
   * The silent worker whose address or id belongs to another incarnation now,
   * which proves that it crashed; undefined if there is none.
   */
  readonly crashed?: types.ids.WorkerId;
  /**
   * Orders to a removed worker that the found one may still carry out; set if
   * an incarnation before may have had the same id.
   */
  readonly starts?: readonly unansweredStarts.UnansweredStart[];
}

/** Remembers such workers for a limited time. */
export interface SilentWorkers {
  add(
    info: scheduling.workerRegistry.WorkerInfo,
    starts: readonly unansweredStarts.UnansweredStart[],
  ): void;
  /** A worker is certainly over, but calls to it may still be on their way. */
  addEnded(
    id: types.ids.WorkerId,
    starts: readonly unansweredStarts.UnansweredStart[],
  ): void;
  /** Forgets the removed worker that this one replaces, and returns it. */
  take(info: scheduling.workerRegistry.WorkerInfo): SilentPredecessor;
}

interface SilentWorker {
  readonly info: scheduling.workerRegistry.WorkerInfo;
  readonly starts: readonly unansweredStarts.UnansweredStart[];
  readonly until: types.clock.MonotonicMs;
}

type EndedWorker = Pick<SilentWorker, 'starts' | 'until'>;

/** Creates an empty list. */
export function createSilentWorkers(clock: types.clock.Clock): SilentWorkers {
  const byAddress = new Map<string, SilentWorker>();
  const ended = new Map<types.ids.WorkerId, EndedWorker>();

  function takeEnded(id: types.ids.WorkerId): SilentPredecessor {
    const before = ended.get(id);
    ended.delete(id);
    if (before === undefined || clock.monotonic() >= before.until) return {};
    return {starts: before.starts};
  }

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
    addEnded(id, starts) {
      const now = clock.monotonic();
      for (const [known, {until}] of ended) {
        if (until <= now) ended.delete(known);
      }
      const {MAX_ORDER_DELAY_MS} = unansweredStarts;
      ended.set(id, {
        starts,
        until: types.clock.after(now, MAX_ORDER_DELAY_MS),
      });
    },
    take(info) {
      const endedBefore = takeEnded(info.id);
      const before = find(info);
      if (before === undefined) return endedBefore;
      byAddress.delete(before.info.address);
      if (clock.monotonic() >= before.until) return endedBefore;
      const {id} = before.info;
      if (id !== info.id) return {...endedBefore, crashed: id};
      const {starts} = before;
      const {compareBirth} = scheduling.workerIncarnation;
      if (compareBirth(before.info, info.bornMs) === 'later')
        return {crashed: id, starts};
      return starts.length > 0 ? {starts} : {};
    },
  };
}
