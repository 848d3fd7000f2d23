/**
 * What a successor concludes of the leases of all holders before it, from what
 * they have stored and when it was read. None of it depends on which of them was
 * the last, or on when the successor itself claimed the cell.
 *
 * - A bound in the record of a worker holds for the holder that wrote it and for
 *   all later ones until a record replaces it. Builds that don't keep to the bounds
 *   of others don't say so in their claims.
 * - Leases granted before the bound was written may be longer; the record says for
 *   how long they run.
 * - A holder grants nothing on a worker that its heartbeats list as unanswered.
 * - A replaced holder stops: at its release, with its process, once more than half
 *   of the workers answer a later holder, or after a limited time without a
 *   confirmation.
 */
import * as types from '@gypsumwall/types';
import type * as failoverBarrier from './failover_barrier.js';
import type * as holderHistory from './holder_history.js';
import * as leaseBounds from './lease_bounds.js';
import type * as storeRecords from './store_records.js';

/** Options of the leases of earlier holders. */
export interface EarlierLeasesOptions {
  readonly usedWorkers: ReadonlyMap<
    types.ids.WorkerId,
    storeRecords.UsedWorkerRecord
  >;
  /** The last one is the successor itself. */
  readonly holders: readonly holderHistory.PastHolder[];
  /** See `ClaimRecord`; of the successor's claim. */
  readonly keepsBoundsSince: number;
  /** The longest lease that a worker grants; milliseconds. */
  readonly maxMs: number;
}

/** What a successor knows of the leases of earlier holders. */
export interface EarlierLeases {
  readonly workers: readonly types.ids.WorkerId[];
  /** When all of them have expired, on a worker of which nothing is known. */
  readonly bounds: failoverBarrier.LeaseBounds;
  /** When those on a worker have expired. */
  readonly byWorker: ReadonlyMap<
    types.ids.WorkerId,
    failoverBarrier.LeaseBounds
  >;
  /** The longest lease on a worker; undefined if none was granted. */
  longestMs(worker: types.ids.WorkerId): number | undefined;
  /** The bound to keep to on a worker, if there is one; milliseconds. */
  boundMs(worker: types.ids.WorkerId): number | undefined;
}

/** A bound that all holders since then have kept to. */
type ValidBound = storeRecords.PendingLeaseBound;

/** A holder before the successor. */
interface StoppedHolder extends holderHistory.PastHolder {
  /** When it has stopped granting leases, whoever answers the successor. */
  readonly stopsAt: types.clock.MonotonicMs;
}

/** Before any moment that is read. */
const LONG_AGO = -Infinity as types.clock.MonotonicMs;

const earlier = (
  left: types.clock.MonotonicMs,
  right: types.clock.MonotonicMs,
) => (left < right ? left : right);

const later = (
  left: types.clock.MonotonicMs,
  right: types.clock.MonotonicMs,
) => (left > right ? left : right);

/** When each holder but the last one has stopped. */
function stoppedHolders(
  holders: readonly holderHistory.PastHolder[],
): StoppedHolder[] {
  return holders.slice(0, -1).map((holder, nth) => {
    const successors = holders.slice(nth + 1);
    const {claimedAt} = successors[0]!;
    let stopsAt = types.clock.after(
      claimedAt,
      leaseBounds.RENEW_UNCONFIRMED_MS,
    );
    if (holder.endedAt !== undefined)
      stopsAt = earlier(stopsAt, holder.endedAt);
    for (const {majorityAt} of successors) {
      if (majorityAt === undefined) continue;
      const detectedAt = types.clock.after(
        majorityAt,
        leaseBounds.MAJORITY_LOSS_DETECTION_MS,
      );
      stopsAt = earlier(stopsAt, detectedAt);
    }
    return {...holder, stopsAt};
  });
}

/** Concludes from the log when leases of earlier holders have expired. */
export function createEarlierLeases(
  options: EarlierLeasesOptions,
): EarlierLeases {
  const {usedWorkers, keepsBoundsSince, maxMs} = options;
  const stopped = stoppedHolders(options.holders);
  const {claimedAt} = options.holders.at(-1)!;

  function validBound({
    leaseBound,
    pendingBound,
  }: storeRecords.UsedWorkerRecord): ValidBound | undefined {
    const bound = pendingBound ?? leaseBound;
    if (bound === undefined) return undefined;
    if (bound.generation + 1 < keepsBoundsSince) return undefined;
    return {...bound, earlierMs: pendingBound?.earlierMs ?? 0};
  }

  function boundsOf(id?: types.ids.WorkerId): failoverBarrier.LeaseBounds {
    const record = id === undefined ? undefined : usedWorkers.get(id);
    const bound = record && validBound(record);
    const lastMs =
      bound === undefined
        ? maxMs
        : Math.min(bound.maxMs, leaseBounds.UNCONFIRMED_LEASE_MS);
    const spanMs = lastMs * leaseBounds.SLOW_CLOCK_FACTOR;
    let stopsAt = LONG_AGO;
    let earliestAt = LONG_AGO;
    for (const holder of stopped) {
      // Leases of the holders before the bound was written are covered by it.
      if (bound !== undefined && holder.generation < bound.generation) continue;
      if (id !== undefined && holder.unanswered?.has(id) === true) continue;
      stopsAt = later(stopsAt, holder.stopsAt);
      if (bound !== undefined)
        earliestAt = later(earliestAt, fullLeaseEnd(bound, holder));
    }
    if (bound !== undefined) {
      const readAt = record?.readAt ?? claimedAt;
      const earlierEnd = types.clock.after(readAt, bound.earlierMs);
      earliestAt = later(earliestAt, earlierEnd);
    }
    return {
      latestAt: types.clock.after(stopsAt, spanMs),
      afterMajorityMs: leaseBounds.MAJORITY_LOSS_DETECTION_MS + spanMs,
      earliestAt,
    };
  }

  /** When the last lease as long as the bound has expired. */
  function fullLeaseEnd(
    {maxMs: boundMs}: ValidBound,
    {lastRecordAt, stopsAt}: StoppedHolder,
  ): types.clock.MonotonicMs {
    const lastFullAt = types.clock.after(
      lastRecordAt,
      leaseBounds.FULL_LEASE_AGE_MS,
    );
    const spanMs = boundMs * leaseBounds.SLOW_CLOCK_FACTOR;
    return types.clock.after(earlier(lastFullAt, stopsAt), spanMs);
  }

  const workers = [...usedWorkers.keys()];
  return {
    workers,
    bounds: boundsOf(),
    byWorker: new Map(workers.map((id) => [id, boundsOf(id)])),
    longestMs(id) {
      const record = usedWorkers.get(id);
      if (record === undefined) return undefined;
      const bound = validBound(record);
      if (bound === undefined) return maxMs;
      return Math.min(maxMs, Math.max(bound.maxMs, bound.earlierMs));
    },
    boundMs(id) {
      const record = usedWorkers.get(id);
      return record && validBound(record)?.maxMs;
    },
  };
}
