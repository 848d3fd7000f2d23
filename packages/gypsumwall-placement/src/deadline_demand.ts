/**
 * How much work is waiting for which deadline, so that a job whose deadline
 * can't be met is refused at once and not found late. Work is kept by the
 * minute of its deadline, not by job.
 */

const BUCKET_MS = 60_000;
/** Deadlines further away are counted together. */
const MAX_BUCKETS_AHEAD = 2 * 24 * 60;
/** Share of the processors that planned work may count on. */
const USABLE_SHARE = 0.9;

/** Waiting work by deadline. */
export interface DeadlineDemand {
  /** Adds (or with a negative amount removes) work, in core milliseconds. */
  add(deadline: number, work: number): void;
  /** Whether `work` more, due by `deadline`, leaves all deadlines reachable. */
  accepts(
    deadline: number,
    work: number,
    now: number,
    cpuMillis: number,
  ): boolean;
}

/** Creates an empty plan. */
export function createDeadlineDemand(): DeadlineDemand {
  const buckets = new Map<number, number>();

  return {
    add(deadline, work) {
      const bucket = Math.floor(deadline / BUCKET_MS);
      const sum = (buckets.get(bucket) ?? 0) + work;
      if (sum < 1) buckets.delete(bucket);
      else buckets.set(bucket, sum);
    },
    accepts(deadline, work, now, cpuMillis) {
      const lastBucket = Math.floor(now / BUCKET_MS) + MAX_BUCKETS_AHEAD;
      const dueBucket = Math.min(Math.floor(deadline / BUCKET_MS), lastBucket);
      let sum = work;
      for (const [bucket, planned] of buckets) {
        if (Math.min(bucket, lastBucket) <= dueBucket) sum += planned;
      }
      const cores = cpuMillis / 1000;
      return sum <= cores * USABLE_SHARE * (deadline - now);
    },
  };
}
