/**
 * Limits of the leases that a holder grants; `earlier_leases` has what its
 * successors conclude from them.
 *
 * Leases on workers with long-running tasks end sooner than others. The log
 * says so, because a successor that doesn't know it would wait for the longest
 * lease that a worker grants. The holder stores a bound for such a worker and
 * keeps to it from then on, as all later holders do: no lease is longer, and once
 * its last confirmed append was first sent too long ago, leases are shorter
 * still. The successor read the last record of the holder no earlier than it
 * was sent, so it knows when the last full lease has expired. A longer lease is
 * granted only after a record without the bound is stored. While longer leases
 * that were granted before run on, the bound is stored as pending, with the time
 * for which they do.
 */
import * as types from '@gypsumwall/types';
import * as leaseLength from './lease_length.js';
import type * as storeRecords from './store_records.js';

/**
 * A holder whose appends aren't confirmed renews leases for this long. While
 * the store is unavailable no other entry can take over, and letting the leases
 * expire would stop all running work; outages of 9 s were seen. A successor
 * waits this long plus one lease for workers that it can't reach; milliseconds.
 */
export const RENEW_UNCONFIRMED_MS = 12_000;
/**
 * A holder whose appends aren't confirmed checks after this time whether it
 * still reaches a majority of the workers; milliseconds.
 */
export const MAJORITY_CHECK_MS = 1_500;
/**
 * Only workers that answered a poll sent within this time count for that
 * majority, however late a busy holder reads the answers: two polls of 1.2 s;
 * milliseconds.
 */
export const MAX_ANSWER_AGE_MS = 2_500;
/**
 * Time after which a holder that lost its majority has noticed: the check and
 * the age above, with a margin; milliseconds.
 */
export const MAJORITY_LOSS_DETECTION_MS = 3_000;
/**
 * How long after its last confirmed append was first sent a holder grants full
 * leases on bounded workers: three heartbeats and an append; milliseconds.
 */
export const FULL_LEASE_AGE_MS = 700;
/**
 * Maximum lease on a bounded worker after that; it outlasts a lost poll and its
 * repeat; milliseconds.
 */
export const UNCONFIRMED_LEASE_MS = 3_500;
/**
 * A worker's clock may be 2% slow. After the lease's length times this factor,
 * which includes a margin, the lease has expired.
 */
export const SLOW_CLOCK_FACTOR = 1.05;

/** What the length of a lease depends on. */
export type WorkerView = Omit<leaseLength.LeaseView, 'maxMs'>;

/** Options of the leases on a worker. */
export interface WorkerLeasesOptions {
  /** The longest lease that the worker grants; milliseconds. */
  readonly maxMs: number;
  /** Generation of the holder's claim. */
  readonly generation: number;
  /** The longest lease of earlier holders, 0 without any; milliseconds. */
  readonly earlierMs: number;
  /** The bound in the worker's record, if it is to be kept; milliseconds. */
  readonly boundMs?: number;
  readonly view: () => WorkerView;
  /** See `CellWriter.firstSentAt`. */
  readonly firstSentAt: () => types.clock.MonotonicMs;
  /** Resolves once it is stored that leases have this bound, or none. */
  readonly store: (
    bound: Pick<storeRecords.UsedWorkerRecord, 'leaseBound' | 'pendingBound'>,
  ) => Promise<void>;
  readonly clock: types.clock.Clock;
}

/** The leases that a holder grants on a worker. */
export interface WorkerLeases {
  /**
   * Length of a lease that is granted now, on the worker's clock; milliseconds.
   * The worker must have answered this holder before.
   */
  grantMs(): number;
}

/** Creates the leases of a session with a worker. */
export function createWorkerLeases(options: WorkerLeasesOptions): WorkerLeases {
  const {generation, clock} = options;
  const maxMs = leaseLength.longestLease(options.maxMs);
  const boundMs = Math.min(maxMs, options.boundMs ?? maxMs);
  /** No lease is longer. */
  let limitMs = boundMs;
  /** The limit in the newest record, which may not be stored yet. */
  let recordedMs = boundMs;
  /** Whether that record says that longer leases still run. */
  let isPending = false;
  let records = 0;
  /** When every lease granted so far has expired. */
  let endAt: types.clock.MonotonicMs | undefined;

  const latestEnd = (lengthMs: number) =>
    types.clock.after(clock.monotonic(), lengthMs * SLOW_CLOCK_FACTOR);

  /** Whether leases granted before outlast one of this length. */
  const isOutlasted = (ms: number) =>
    endAt !== undefined && endAt > latestEnd(ms);

  function recordLimit(ms: number): Promise<void> {
    records++;
    recordedMs = ms;
    isPending = false;
    if (ms >= maxMs) return options.store({});
    const bound = {maxMs: ms, generation};
    if (!isOutlasted(ms)) return options.store({leaseBound: bound});
    isPending = true;
    const earlierMs = endAt! - clock.monotonic();
    return options.store({pendingBound: {...bound, earlierMs}});
  }

  function lower(ms: number): void {
    limitMs = ms;
    void recordLimit(ms);
  }

  async function raise(ms: number): Promise<void> {
    const stored = recordLimit(ms);
    const number = records;
    await stored;
    if (records === number) limitMs = ms;
  }

  function currentLimitMs(): number {
    const ageMs = clock.monotonic() - options.firstSentAt();
    if (limitMs === maxMs || ageMs < FULL_LEASE_AGE_MS) return limitMs;
    return Math.min(limitMs, UNCONFIRMED_LEASE_MS);
  }

  return {
    grantMs() {
      const view = {maxMs, ...options.view()};
      // The worker has answered, so earlier holders grant no more leases.
      endAt ??= latestEnd(options.earlierMs);
      const wantedMs = leaseLength.leaseLength({...view, isLeaving: false});
      if (wantedMs < recordedMs) lower(wantedMs);
      else if (wantedMs > recordedMs) void raise(wantedMs);
      else if (isPending && !isOutlasted(recordedMs))
        void recordLimit(recordedMs);
      const lengthMs = Math.min(
        leaseLength.leaseLength(view),
        currentLimitMs(),
      );
      const until = latestEnd(lengthMs);
      if (until > endAt) endAt = until;
      return lengthMs;
    },
  };
}
