/**
 * What every entry knows of the cell's jobs, folded from the logs, so that any
 * of them answers for any job without asking another. All entries that have
 * read the same records know the same.
 */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as storeRecords from './store_records.js';

/** One job. */
export interface JobEntry {
  readonly id: types.ids.JobId;
  readonly queue: string;
  /**
   * Absent once the job is over, and once it was dropped from the store, which
   * happens only after that: its end may not have been read yet.
   */
  record: storeRecords.JobRecord | undefined;
  progress: scheduling.jobProgress.JobProgress;
  /** When it was seen to be over. */
  endedAt?: types.clock.MonotonicMs;
}

/** The jobs of a cell. */
export interface JobTable {
  get(id: types.ids.JobId): JobEntry | undefined;
  all(): Iterable<JobEntry>;
  /** Jobs of a queue of which no task has started. */
  pendingIn(queue: string): number;
  /** Folds a record; false if it is none about jobs. */
  apply(
    record: storeRecords.StoreRecord,
    now: types.clock.MonotonicMs,
  ): boolean;
  /** The store has no other requests than these. */
  retainRequests(
    ids: ReadonlySet<types.ids.JobId>,
    now: types.clock.MonotonicMs,
  ): void;
  /** The store has no progress of other jobs than these. */
  retainProgress(ids: ReadonlySet<types.ids.JobId>): void;
  /** Jobs that were over before the given moment. */
  endedBefore(moment: types.clock.MonotonicMs): types.ids.JobId[];
}

/** Hears of what changes in a table. */
export interface JobTableListener {
  onAdded(job: JobEntry): void;
  onCancelled(id: types.ids.JobId): void;
}

function isWaiting({record, progress}: JobEntry): boolean {
  return record !== undefined && progress.phase === 'queued';
}

/** Creates an empty table. */
export function createJobTable(listener: JobTableListener): JobTable {
  const jobs = new Map<types.ids.JobId, JobEntry>();
  // Two logs are followed side by side, and a repeat of a job moves its record
  // to a later offset: a cancellation or progress may be read before the job.
  const cancelledIds = new Set<types.ids.JobId>();
  const earlyProgress = new Map<
    types.ids.JobId,
    scheduling.jobProgress.JobProgress
  >();

  function finishIfOver(job: JobEntry, now: types.clock.MonotonicMs): void {
    const isOver = scheduling.jobProgress.isOver(job.progress.phase);
    if (!isOver && cancelledIds.has(job.id)) {
      job.progress = {...job.progress, phase: 'cancelled'};
    }
    const {phase} = job.progress;
    if (!scheduling.jobProgress.isOver(phase)) return;
    job.endedAt ??= now;
    job.record = undefined;
  }

  function addJob(
    id: types.ids.JobId,
    record: storeRecords.JobRecord,
    now: types.clock.MonotonicMs,
  ): void {
    // The first record of an id is the job; a repeat changes nothing.
    if (jobs.has(id)) return;
    const job: JobEntry = {
      id,
      queue: record.policy.queue,
      record,
      progress: earlyProgress.get(id) ?? scheduling.jobProgress.NO_PROGRESS,
    };
    earlyProgress.delete(id);
    jobs.set(id, job);
    finishIfOver(job, now);
    if (job.endedAt === undefined) listener.onAdded(job);
  }

  /** What its end came to is told by the other log, if it is still kept. */
  function dropRequest(
    id: types.ids.JobId,
    now: types.clock.MonotonicMs,
  ): void {
    const job = jobs.get(id);
    if (job === undefined) return;
    job.record = undefined;
    job.endedAt ??= now;
  }

  function applyProgress(
    id: types.ids.JobId,
    queue: string,
    progress: scheduling.jobProgress.JobProgress | undefined,
    now: types.clock.MonotonicMs,
  ): void {
    if (progress === undefined) {
      earlyProgress.delete(id);
      jobs.delete(id);
      return;
    }
    const job = jobs.get(id);
    if (job !== undefined) {
      job.progress = progress;
      finishIfOver(job, now);
    } else if (scheduling.jobProgress.isOver(progress.phase)) {
      jobs.set(id, {id, queue, record: undefined, progress, endedAt: now});
    } else {
      earlyProgress.set(id, progress);
    }
  }

  function applyCancel(
    id: types.ids.JobId,
    now: types.clock.MonotonicMs,
  ): void {
    cancelledIds.add(id);
    const job = jobs.get(id);
    if (job !== undefined) finishIfOver(job, now);
    listener.onCancelled(id);
  }

  return {
    get: (id) => jobs.get(id),
    all: () => jobs.values(),
    pendingIn(queue) {
      let count = 0;
      for (const job of jobs.values()) {
        if (job.queue === queue && isWaiting(job)) count++;
      }
      return count;
    },
    apply(record, now) {
      switch (record.kind) {
        case 'job':
          if (record.job !== undefined) addJob(record.jobId, record.job, now);
          else dropRequest(record.jobId, now);
          return true;
        case 'cancel':
          if (record.dropped) cancelledIds.delete(record.jobId);
          else applyCancel(record.jobId, now);
          return true;
        case 'progress':
          applyProgress(record.jobId, record.queue, record.progress, now);
          return true;
        case 'entry':
        case 'claim':
        case 'heartbeat':
        case 'used_worker':
          return false;
      }
    },
    retainRequests(ids, now) {
      for (const id of jobs.keys()) if (!ids.has(id)) dropRequest(id, now);
    },
    retainProgress(ids) {
      for (const [id, job] of jobs) {
        const isOver = scheduling.jobProgress.isOver(job.progress.phase);
        if (isOver && !ids.has(id)) jobs.delete(id);
      }
    },
    endedBefore(moment) {
      const ids: types.ids.JobId[] = [];
      for (const job of jobs.values()) {
        if (job.endedAt !== undefined && job.endedAt < moment) ids.push(job.id);
      }
      return ids;
    },
  };
}
