/**
 * Tells workers that fail or hang all they start from jobs that can't be done.
 * A bad worker is always free and would draw in task after task. A failure
 * counts against a worker only until the same job has failed on a second one:
 * then the job is at fault, and all its marks are taken back.
 */
import * as types from '@gypsumwall/types';

/** How far a worker is trusted. */
export type Trust =
  | 'sound'
  /** Failed lately; used where no sound worker has room. */
  | 'doubtful'
  /** Out of use for a while. */
  | 'avoided';

/** Failures of this many distinct jobs, with no success between. */
const DISTINCT_JOBS_TO_AVOID = 2;
/**
 * First time out of use, doubled with each relapse up to the longest. Troubles
 * of this kind were seen to last 4 to 8 s; three tries find the end of one.
 */
const FIRST_AVOIDANCE_MS = 1_500;
const LONGEST_AVOIDANCE_MS = 6_000;
/** Never avoid more than this share of the workers: then it isn't them. */
const MOST_AVOIDED_SHARE = 0.34;

interface Mark {
  readonly failedJobs: Set<types.ids.JobId>;
  avoidedUntil: types.clock.MonotonicMs;
  nextAvoidanceMs: number;
}

/** What the ends of runs say about workers. */
export interface WorkerHealth {
  noteDone(worker: types.ids.WorkerId, job: types.ids.JobId): void;
  noteFailed(
    worker: types.ids.WorkerId,
    job: types.ids.JobId,
    now: types.clock.MonotonicMs,
  ): void;
  /** All that runs there stands still. */
  noteStalled(worker: types.ids.WorkerId, now: types.clock.MonotonicMs): void;
  trustOf(worker: types.ids.WorkerId, now: types.clock.MonotonicMs): Trust;
  /** Workers whose time out of use has ended since the last call. */
  takeRestored(now: types.clock.MonotonicMs): types.ids.WorkerId[];
  forgetWorker(worker: types.ids.WorkerId): void;
  forgetJob(job: types.ids.JobId): void;
}

/** Creates the record; `workerCount` bounds how many are avoided. */
export function createWorkerHealth(workerCount: () => number): WorkerHealth {
  const marks = new Map<types.ids.WorkerId, Mark>();
  const failedOn = new Map<types.ids.JobId, Set<types.ids.WorkerId>>();
  const outOfUse = new Set<types.ids.WorkerId>();

  function markOf(worker: types.ids.WorkerId): Mark {
    let mark = marks.get(worker);
    if (mark === undefined) {
      mark = {
        failedJobs: new Set(),
        avoidedUntil: 0 as types.clock.MonotonicMs,
        nextAvoidanceMs: FIRST_AVOIDANCE_MS,
      };
      marks.set(worker, mark);
    }
    return mark;
  }

  function avoid(
    worker: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void {
    const mark = markOf(worker);
    const avoided = [...marks.values()].filter((one) => one.avoidedUntil > now);
    const most = Math.max(1, workerCount() * MOST_AVOIDED_SHARE);
    if (avoided.length >= most || mark.avoidedUntil > now) return;
    outOfUse.add(worker);
    mark.avoidedUntil = types.clock.after(now, mark.nextAvoidanceMs);
    mark.nextAvoidanceMs = Math.min(
      LONGEST_AVOIDANCE_MS,
      mark.nextAvoidanceMs * 2,
    );
  }

  function exonerate(job: types.ids.JobId, on: Set<types.ids.WorkerId>): void {
    for (const worker of on) marks.get(worker)?.failedJobs.delete(job);
  }

  return {
    noteDone(worker, job) {
      const mark = marks.get(worker);
      if (mark !== undefined) {
        mark.failedJobs.clear();
        mark.nextAvoidanceMs = FIRST_AVOIDANCE_MS;
      }
      failedOn.delete(job);
    },
    noteFailed(worker, job, now) {
      const on = failedOn.get(job) ?? new Set<types.ids.WorkerId>();
      failedOn.set(job, on.add(worker));
      if (on.size > 1) {
        exonerate(job, on);
        return;
      }
      const mark = markOf(worker);
      mark.failedJobs.add(job);
      if (mark.failedJobs.size >= DISTINCT_JOBS_TO_AVOID) avoid(worker, now);
    },
    noteStalled: (worker, now) => avoid(worker, now),
    trustOf(worker, now) {
      const mark = marks.get(worker);
      if (mark === undefined) return 'sound';
      if (mark.avoidedUntil > now) return 'avoided';
      const relapse = mark.nextAvoidanceMs > FIRST_AVOIDANCE_MS;
      return mark.failedJobs.size > 0 || relapse ? 'doubtful' : 'sound';
    },
    takeRestored(now) {
      const restored = [...outOfUse].filter(
        (worker) => (marks.get(worker)?.avoidedUntil ?? 0) <= now,
      );
      for (const worker of restored) outOfUse.delete(worker);
      return restored;
    },
    forgetWorker(worker) {
      marks.delete(worker);
      outOfUse.delete(worker);
    },
    forgetJob: (job) => void failedOn.delete(job),
  };
}
