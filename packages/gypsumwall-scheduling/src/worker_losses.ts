/**
 * Records when workers stopped answering, to recognise losses with a common
 * cause, such as a power failure of a rack, for which no task is to blame.
 */
import * as types from '@gypsumwall/types';
import * as workerIncarnation from './worker_incarnation.js';
import type * as workerRegistry from './worker_registry.js';

/**
 * Workers that go down together are detected within this span of each other:
 * one whose connections are reset is detected at once, one that stops answering
 * only after the longest poll timeout; milliseconds.
 */
const GROUP_LOSS_WINDOW_MS = 1_500;
/**
 * Connection resets with one cause reach the holder within this span;
 * milliseconds.
 */
const SIMULTANEOUS_LOSS_WINDOW_MS = 250;
/** Share of a rack or failure domain whose loss has an external cause. */
const GROUP_LOSS_SHARE = 0.75;
/** Share of all workers whose simultaneous loss has an external cause. */
const CELL_LOSS_SHARE = 0.2;
/** Fewer simultaneous losses may be a coincidence. */
const MIN_LOST_TOGETHER = 3;
/**
 * How long a loss is kept, in case it is proven to be a crash later;
 * milliseconds.
 */
export const LOSS_RETENTION_MS = 60_000;

interface Incarnation {
  readonly info: workerRegistry.WorkerInfo;
  readonly upAt: types.clock.MonotonicMs;
  loss?: Loss;
}

/** What is known when a worker stops answering. */
export interface LossSigns {
  /** Whether an isolated task that may crash workers ran there. */
  readonly isExplained: boolean;
  /** Whether it may only be cut off; see `Scheduler.setUsable`. */
  readonly isSilent: boolean;
}

interface Loss extends LossSigns {
  readonly at: types.clock.MonotonicMs;
  readonly forgetAt: types.clock.MonotonicMs;
}

type Membership = (info: workerRegistry.WorkerInfo) => boolean;

/** The worker losses of a cell. */
export interface WorkerLosses {
  /**
   * Records that an incarnation of a worker answers, for the first time or
   * again.
   */
  recordAnswer(
    info: workerRegistry.WorkerInfo,
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * Records that a worker has stopped answering; the first call counts.
   */
  recordLoss(
    id: types.ids.WorkerId,
    signs: LossSigns,
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * Records that an incarnation is over. If it was lost, the loss is kept for a
   * while.
   */
  recordRemoval(id: types.ids.WorkerId): void;
  /** Whether the present incarnation of a worker has ever answered. */
  hasAnswered(id: types.ids.WorkerId): boolean;
  lostAt(id: types.ids.WorkerId): types.clock.MonotonicMs | undefined;
  /** Whether it was silent when it stopped answering. */
  wasSilent(id: types.ids.WorkerId): boolean;
  /** Whether most of its rack or failure domain was lost with it. */
  isGroupLoss(id: types.ids.WorkerId): boolean;
  /**
   * Whether another worker of its failure domain, or many in the whole cell,
   * were lost at the same moment without an explanation.
   */
  isAccompanied(id: types.ids.WorkerId): boolean;
}

/** Creates a record without workers. */
export function createWorkerLosses(): WorkerLosses {
  const incarnations = new Map<types.ids.WorkerId, Incarnation>();
  /** Lost incarnations of workers that have started again under their ids. */
  let replaced: Incarnation[] = [];

  function prune(now: types.clock.MonotonicMs): void {
    replaced = replaced.filter(
      ({loss}) => loss !== undefined && loss.forgetAt > now,
    );
    for (const [id, {loss}] of incarnations) {
      if (loss !== undefined && loss.forgetAt <= now) incarnations.delete(id);
    }
  }

  /**
   * Counts incarnations that were up when a worker was lost, and those lost
   * with it.
   */
  function countAround(
    id: types.ids.WorkerId,
    at: types.clock.MonotonicMs,
    withinMs: number,
    isMember: Membership,
  ): {readonly up: number; readonly lost: number} {
    let up = 0;
    let lost = 0;
    const counted = incarnations.get(id);
    for (const incarnation of [...incarnations.values(), ...replaced]) {
      const {info, upAt, loss} = incarnation;
      if (upAt > at || !isMember(info)) continue;
      if (loss !== undefined && loss.at < at - withinMs) continue;
      up++;
      if (loss === undefined || loss.at > at + withinMs) continue;
      if (incarnation === counted || !loss.isExplained) lost++;
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
      const known = incarnations.get(info.id);
      if (
        known !== undefined &&
        workerIncarnation.compareBirth(known.info, info.bornMs) === 'same'
      ) {
        incarnations.set(info.id, {info, upAt: known.upAt});
        return;
      }
      // Its loss counts for workers that are lost with it.
      if (known?.loss !== undefined) replaced.push(known);
      incarnations.set(info.id, {info, upAt: now});
    },
    recordLoss(id, signs, now) {
      prune(now);
      const incarnation = incarnations.get(id);
      if (incarnation === undefined || incarnation.loss !== undefined) return;
      const forgetAt = types.clock.after(now, LOSS_RETENTION_MS);
      incarnation.loss = {...signs, at: now, forgetAt};
    },
    recordRemoval(id) {
      if (incarnations.get(id)?.loss === undefined) incarnations.delete(id);
    },
    hasAnswered: (id) => incarnations.has(id),
    wasSilent: (id) => incarnations.get(id)?.loss?.isSilent === true,
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
      const inDomain = countAround(
        id,
        incarnation.loss.at,
        SIMULTANEOUS_LOSS_WINDOW_MS,
        (info) => info.domain === domain,
      );
      if (inDomain.lost > 1) return true;
      return isShareLost(
        id,
        SIMULTANEOUS_LOSS_WINDOW_MS,
        CELL_LOSS_SHARE,
        () => true,
      );
    },
  };
}
