/**
 * When workers stopped answering. What takes several down at one moment, such
 * as the power of a rack, is no task's fault.
 */
import * as types from '@gypsumwall/types';
import type * as workerRegistry from './worker_registry.js';

/**
 * Workers that go down together are noticed within this span of each other: one
 * whose connections are reset at once, one that falls silent after the longest
 * timeout of a look; milliseconds.
 */
const TOGETHER_MS = 1_500;
/** Resets reach the holder together; milliseconds. */
const SAME_MOMENT_MS = 250;
/** Share of a rack or failure domain whose loss has a cause outside of it. */
const WHOLE_GROUP_SHARE = 0.75;
/** Share of all workers whose loss at one moment has a cause outside of them. */
const WAVE_SHARE = 0.2;
/** Fewer are lost together by chance. */
const FEWEST_TOGETHER = 3;
/** A loss is remembered for so long, in case it proves a crash; milliseconds. */
export const LOSS_RETENTION_MS = 60_000;

interface Stay {
  readonly info: workerRegistry.WorkerInfo;
  readonly upAt: types.clock.MonotonicMs;
  loss?: Loss;
}

interface Loss {
  readonly at: types.clock.MonotonicMs;
  /** A task that may crash workers ran there apart from others. */
  readonly isExplained: boolean;
  readonly forgetAt: types.clock.MonotonicMs;
}

type Membership = (info: workerRegistry.WorkerInfo) => boolean;

/** The losses of a cell. */
export interface WorkerLosses {
  /** A stay of a worker answers, for the first time or again. */
  noteAnswered(
    info: workerRegistry.WorkerInfo,
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * A worker has stopped answering; the first moment counts. `isExplained`
   * tells whether a task that may crash workers ran there apart from others.
   */
  noteLost(
    id: types.ids.WorkerId,
    isExplained: boolean,
    now: types.clock.MonotonicMs,
  ): void;
  /** The stay is over; if it was lost, that is remembered for a while. */
  noteGone(id: types.ids.WorkerId): void;
  lostAt(id: types.ids.WorkerId): types.clock.MonotonicMs | undefined;
  /** Whether most of its rack or failure domain went down with it. */
  isGroupLoss(id: types.ids.WorkerId): boolean;
  /**
   * Whether another worker of its failure domain, or many anywhere, went down
   * at the same moment without an explanation.
   */
  isAccompanied(id: types.ids.WorkerId): boolean;
}

/** Creates a record without losses. */
export function createWorkerLosses(): WorkerLosses {
  const stays = new Map<types.ids.WorkerId, Stay>();

  function prune(now: types.clock.MonotonicMs): void {
    for (const [id, {loss}] of stays) {
      if (loss !== undefined && loss.forgetAt <= now) stays.delete(id);
    }
  }

  /** Stays that were up when a worker was lost, and lost with it. */
  function countAround(
    id: types.ids.WorkerId,
    at: types.clock.MonotonicMs,
    withinMs: number,
    isMember: Membership,
  ): {readonly up: number; readonly lost: number} {
    let up = 0;
    let lost = 0;
    for (const [other, {info, upAt, loss}] of stays) {
      if (upAt > at || !isMember(info)) continue;
      if (loss !== undefined && loss.at < at - withinMs) continue;
      up++;
      if (loss === undefined || loss.at > at + withinMs) continue;
      if (other === id || !loss.isExplained) lost++;
    }
    return {up, lost};
  }

  function isShareLost(
    id: types.ids.WorkerId,
    withinMs: number,
    share: number,
    isMember: Membership,
  ): boolean {
    const at = stays.get(id)?.loss?.at;
    if (at === undefined) return false;
    const {up, lost} = countAround(id, at, withinMs, isMember);
    return lost >= FEWEST_TOGETHER && lost >= up * share;
  }

  return {
    noteAnswered(info, now) {
      const stay = stays.get(info.id);
      if (stay === undefined) stays.set(info.id, {info, upAt: now});
      else stay.loss = undefined;
    },
    noteLost(id, isExplained, now) {
      prune(now);
      const stay = stays.get(id);
      if (stay === undefined || stay.loss !== undefined) return;
      const forgetAt = types.clock.after(now, LOSS_RETENTION_MS);
      stay.loss = {at: now, isExplained, forgetAt};
    },
    noteGone(id) {
      if (stays.get(id)?.loss === undefined) stays.delete(id);
    },
    lostAt: (id) => stays.get(id)?.loss?.at,
    isGroupLoss(id) {
      const info = stays.get(id)?.info;
      if (info === undefined) return false;
      const {domain, rack, pool} = info;
      const isLost = (isMember: Membership) =>
        isShareLost(id, TOGETHER_MS, WHOLE_GROUP_SHARE, isMember);
      return (
        isLost((other) => other.domain === domain && other.pool === pool) ||
        isLost((other) => other.domain === domain && other.rack === rack)
      );
    },
    isAccompanied(id) {
      const stay = stays.get(id);
      if (stay?.loss === undefined) return false;
      const {domain} = stay.info;
      const near = countAround(
        id,
        stay.loss.at,
        SAME_MOMENT_MS,
        (info) => info.domain === domain,
      );
      if (near.lost > 1) return true;
      return isShareLost(id, SAME_MOMENT_MS, WAVE_SHARE, () => true);
    },
  };
}
