/**
 * The amount of waiting work by deadline, so that a job whose deadline can't be
 * met is refused at once instead of missing it. Work is summed by the minute of
 * its deadline and isn't stored by job.
 */

const BUCKET_MS = 60_000;
/** Deadlines later than this many buckets (2 days) share the last bucket. */
const MAX_BUCKETS_AHEAD = 2 * 24 * 60;
/** The share of all cores that is assumed to be usable for planned work. */
const USABLE_SHARE = 0.9;

/** Waiting work by deadline. */
export interface DeadlineDemand {
  /** Adds work in core milliseconds; a negative amount removes work. */
  add(deadline: number, coreMs: number): void;
  /**
   * Whether additional work of `coreMs` can be done by its deadline together
   * with all work that is due by then. `cpuMillis` is the domain's capacity.
   */
  accepts(
    deadline: number,
    coreMs: number,
    now: number,
    cpuMillis: number,
  ): boolean;
}

export function createDeadlineDemand(): DeadlineDemand {
  const buckets = new Map<number, number>();

  return {
    add(deadline, coreMs) {
      const bucket = Math.floor(deadline / BUCKET_MS);
      const sum = (buckets.get(bucket) ?? 0) + coreMs;
      if (sum < 1) buckets.delete(bucket);
      else buckets.set(bucket, sum);
    },
    accepts(deadline, coreMs, now, cpuMillis) {
      const lastBucket = Math.floor(now / BUCKET_MS) + MAX_BUCKETS_AHEAD;
      const dueBucket = Math.min(Math.floor(deadline / BUCKET_MS), lastBucket);
      let sum = coreMs;
      for (const [bucket, planned] of buckets) {
        if (Math.min(bucket, lastBucket) <= dueBucket) sum += planned;
      }
      const cores = cpuMillis / 1000;
      return sum <= cores * USABLE_SHARE * (deadline - now);
    },
  };
}
