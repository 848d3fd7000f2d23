/**
 * Distinguishes workers that fail or stall all their tasks from jobs that
 * cannot succeed. A bad worker is always free and would attract task after
 * task. A failure counts against a worker only until the same job has failed on
 * a second worker: then the job is at fault, and its failures are removed from
 * both records.
 */
import * as types from '@gypsumwall/types';

/** How much a worker is trusted. */
export type Trust =
  | 'healthy'
  /** Failed recently; used only where no healthy worker has capacity. */
  | 'doubtful'
  /** Not used for a while. */
  | 'avoided';

/**
 * A worker is avoided after failures of this many distinct jobs without a
 * success in between.
 */
const MIN_FAILED_JOBS_TO_AVOID = 2;
/**
 * First avoidance period, doubled with each relapse up to the maximum. Such
 * problems were observed to last 4 to 8 s; three tries are enough to detect
 * their end.
 */
const FIRST_AVOIDANCE_MS = 1_500;
const MAX_AVOIDANCE_MS = 6_000;
/**
 * Maximum share of the workers that are avoided at once: if more seem bad, the
 * workers are not the cause.
 */
const MAX_AVOIDED_SHARE = 0.34;

interface HealthRecord {
  readonly failedJobs: Set<types.ids.JobId>;
  avoidedUntil: types.clock.MonotonicMs;
  nextAvoidanceMs: number;
}

/** Health of the workers, derived from the ends of their attempts. */
export interface WorkerHealth {
  recordSuccess(worker: types.ids.WorkerId, job: types.ids.JobId): void;
  recordFailure(
    worker: types.ids.WorkerId,
    job: types.ids.JobId,
    now: types.clock.MonotonicMs,
  ): void;
  /** Records that no attempt on a worker makes progress. */
  recordStall(worker: types.ids.WorkerId, now: types.clock.MonotonicMs): void;
  trustOf(worker: types.ids.WorkerId, now: types.clock.MonotonicMs): Trust;
  /**
   * Returns the workers whose avoidance period has ended since the last call.
   */
  takeRestored(now: types.clock.MonotonicMs): types.ids.WorkerId[];
  forgetWorker(worker: types.ids.WorkerId): void;
  forgetJob(job: types.ids.JobId): void;
}

/**
 * Creates a record without failures; `workerCount` bounds how many workers are
 * avoided.
 */
export function createWorkerHealth(workerCount: () => number): WorkerHealth {
  const records = new Map<types.ids.WorkerId, HealthRecord>();
  const failedOn = new Map<types.ids.JobId, Set<types.ids.WorkerId>>();
  const avoidedWorkers = new Set<types.ids.WorkerId>();

  function recordOf(worker: types.ids.WorkerId): HealthRecord {
    let record = records.get(worker);
    if (record === undefined) {
      record = {
        failedJobs: new Set(),
        avoidedUntil: 0 as types.clock.MonotonicMs,
        nextAvoidanceMs: FIRST_AVOIDANCE_MS,
      };
      records.set(worker, record);
    }
    return record;
  }

  function avoid(
    worker: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void {
    const record = recordOf(worker);
    const avoided = [...records.values()].filter(
      (record) => record.avoidedUntil > now,
    );
    const maxAvoided = Math.max(1, workerCount() * MAX_AVOIDED_SHARE);
    if (avoided.length >= maxAvoided || record.avoidedUntil > now) return;
    avoidedWorkers.add(worker);
    record.avoidedUntil = types.clock.after(now, record.nextAvoidanceMs);
    record.nextAvoidanceMs = Math.min(
      MAX_AVOIDANCE_MS,
      record.nextAvoidanceMs * 2,
    );
  }

  function exonerate(
    job: types.ids.JobId,
    workers: Set<types.ids.WorkerId>,
  ): void {
    for (const worker of workers) records.get(worker)?.failedJobs.delete(job);
  }

  return {
    recordSuccess(worker, job) {
      const record = records.get(worker);
      if (record !== undefined) {
        record.failedJobs.clear();
        record.nextAvoidanceMs = FIRST_AVOIDANCE_MS;
      }
      failedOn.delete(job);
    },
    recordFailure(worker, job, now) {
      const workers = failedOn.get(job) ?? new Set<types.ids.WorkerId>();
      failedOn.set(job, workers.add(worker));
      if (workers.size > 1) {
        exonerate(job, workers);
        return;
      }
      const record = recordOf(worker);
      record.failedJobs.add(job);
      if (record.failedJobs.size >= MIN_FAILED_JOBS_TO_AVOID)
        avoid(worker, now);
    },
    recordStall: (worker, now) => avoid(worker, now),
    trustOf(worker, now) {
      const record = records.get(worker);
      if (record === undefined) return 'healthy';
      if (record.avoidedUntil > now) return 'avoided';
      const relapse = record.nextAvoidanceMs > FIRST_AVOIDANCE_MS;
      return record.failedJobs.size > 0 || relapse ? 'doubtful' : 'healthy';
    },
    takeRestored(now) {
      const restored = [...avoidedWorkers].filter(
        (worker) => (records.get(worker)?.avoidedUntil ?? 0) <= now,
      );
      for (const worker of restored) avoidedWorkers.delete(worker);
      return restored;
    },
    forgetWorker(worker) {
      records.delete(worker);
      avoidedWorkers.delete(worker);
    },
    forgetJob: (job) => void failedOn.delete(job),
  };
}
