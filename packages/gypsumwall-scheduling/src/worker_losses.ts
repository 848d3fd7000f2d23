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
const GROUP_LOSS_WINDOW_MS = 1_500;
/** Resets reach the holder together; milliseconds. */
const SIMULTANEOUS_LOSS_WINDOW_MS = 250;
/** Share of a rack or failure domain whose loss has a cause outside of it. */
const GROUP_LOSS_SHARE = 0.75;
/** Share of all workers whose loss at one moment has a cause outside of them. */
const CELL_LOSS_SHARE = 0.2;
/** Fewer are lost together by chance. */
const MIN_LOST_TOGETHER = 3;
/** A loss is remembered for so long, in case it proves a crash; milliseconds. */
export const LATE_PROOF_MS = 60_000;

interface Incarnation {
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
  recordAnswer(
    info: workerRegistry.WorkerInfo,
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * A worker has stopped answering; the first moment counts. `isExplained`
   * tells whether a task that may crash workers ran there apart from others.
   */
  recordLoss(
    id: types.ids.WorkerId,
    isExplained: boolean,
    now: types.clock.MonotonicMs,
  ): void;
  /** The stay is over; if it was lost, that is remembered for a while. */
  recordRemoval(id: types.ids.WorkerId): void;
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
  const incarnations = new Map<types.ids.WorkerId, Incarnation>();

  function prune(now: types.clock.MonotonicMs): void {
    for (const [id, {loss}] of incarnations) {
      if (loss !== undefined && loss.forgetAt <= now) incarnations.delete(id);
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
    for (const [other, {info, upAt, loss}] of incarnations) {
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
    const at = incarnations.get(id)?.loss?.at;
    if (at === undefined) return false;
    const {up, lost} = countAround(id, at, withinMs, isMember);
    return lost >= MIN_LOST_TOGETHER && lost >= up * share;
  }

  return {
    recordAnswer(info, now) {
      const incarnation = incarnations.get(info.id);
      if (incarnation === undefined)
        incarnations.set(info.id, {info, upAt: now});
      else incarnation.loss = undefined;
    },
    recordLoss(id, isExplained, now) {
      prune(now);
      const incarnation = incarnations.get(id);
      if (incarnation === undefined || incarnation.loss !== undefined) return;
      const forgetAt = types.clock.after(now, LATE_PROOF_MS);
      incarnation.loss = {at: now, isExplained, forgetAt};
    },
    recordRemoval(id) {
      if (incarnations.get(id)?.loss === undefined) incarnations.delete(id);
    },
    lostAt: (id) => incarnations.get(id)?.loss?.at,
    isGroupLoss(id) {
      const info = incarnations.get(id)?.info;
      if (info === undefined) return false;
      const {domain, rack, pool} = info;
      const isLost = (isMember: Membership) =>
        isShareLost(id, GROUP_LOSS_WINDOW_MS, GROUP_LOSS_SHARE, isMember);
      return (
        isLost((other) => other.domain === domain && other.pool === pool) ||
        isLost((other) => other.domain === domain && other.rack === rack)
      );
    },
    isAccompanied(id) {
      const incarnation = incarnations.get(id);
      if (incarnation?.loss === undefined) return false;
      const {domain} = incarnation.info;
      const near = countAround(
        id,
        incarnation.loss.at,
        SIMULTANEOUS_LOSS_WINDOW_MS,
        (info) => info.domain === domain,
      );
      if (near.lost > 1) return true;
      return isShareLost(
        id,
        SIMULTANEOUS_LOSS_WINDOW_MS,
        CELL_LOSS_SHARE,
        () => true,
      );
    },
  };
}
