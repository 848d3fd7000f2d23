/**
 * The cell's jobs as each entry knows them from the logs, so that any entry can
 * answer for any job without asking another. Entries that have read the same
 * records have the same table.
 */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as storeRecords from './store_records.js';

/** One job. */
export interface JobEntry {
  readonly id: types.ids.JobId;
  readonly queue: string;
  /** Undefined if the job belongs to none. */
  readonly organisation: types.ids.OrganisationId | undefined;
  /**
   * Undefined once the job is known to be finished, or once the request was
   * dropped from the store. The latter happens only to finished jobs, but this
   * entry may not have read the job's end yet.
   */
  record: storeRecords.JobRecord | undefined;
  progress: scheduling.jobProgress.JobProgress;
  /** When this entry learned that the job is finished. */
  endedAt?: types.clock.MonotonicMs;
}

/** The jobs of a cell. */
export interface JobTable {
  get(id: types.ids.JobId): JobEntry | undefined;
  all(): Iterable<JobEntry>;
  /** Number of jobs of a queue none of whose tasks has started. */
  pendingIn(queue: string): number;
  /** Applies a record; false if the record is not about jobs. */
  apply(
    record: storeRecords.StoreRecord,
    now: types.clock.MonotonicMs,
  ): boolean;
  /**
   * Drops the requests of all jobs except these, because a load of the log
   * contains all requests that exist.
   */
  retainRequests(
    ids: ReadonlySet<types.ids.JobId>,
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * Drops all finished jobs except these, because a load of the log contains
   * all progress that exists.
   */
  retainProgress(ids: ReadonlySet<types.ids.JobId>): void;
  /** Jobs that were finished before the given moment. */
  endedBefore(moment: types.clock.MonotonicMs): types.ids.JobId[];
}

/** Receives the changes of a table. */
export interface JobTableListener {
  onAdded(job: JobEntry): void;
  onCancelled(id: types.ids.JobId): void;
  /**
   * The job was added, has progressed or was dropped; `isLive` tells whether
   * tasks of it may still start.
   */
  onUpdated?(job: JobEntry, isLive: boolean): void;
}

function isWaiting({record, progress}: JobEntry): boolean {
  return record !== undefined && progress.phase === 'queued';
}

/** Creates an empty table. */
export function createJobTable(listener: JobTableListener): JobTable {
  const jobs = new Map<types.ids.JobId, JobEntry>();
  const queuedJobs = new Set<JobEntry>();
  // Two logs are followed in parallel, and a repeat of a job moves its record
  // to a later offset, so a cancellation or progress may be read before the
  // job.
  const cancelledIds = new Set<types.ids.JobId>();
  const earlyProgress = new Map<
    types.ids.JobId,
    scheduling.jobProgress.JobProgress
  >();

  function updateQueued(job: JobEntry): void {
    const isKnown = jobs.get(job.id) === job;
    if (isKnown && isWaiting(job)) queuedJobs.add(job);
    else queuedJobs.delete(job);
    listener.onUpdated?.(job, isKnown && job.record !== undefined);
  }

  function remove(job: JobEntry): void {
    jobs.delete(job.id);
    updateQueued(job);
  }

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
    // The first record of an ID defines the job; repeats are ignored.
    if (jobs.has(id)) return;
    const job: JobEntry = {
      id,
      queue: record.policy.queue,
      organisation: record.organisation,
      record,
      progress: earlyProgress.get(id) ?? scheduling.jobProgress.NO_PROGRESS,
    };
    earlyProgress.delete(id);
    jobs.set(id, job);
    finishIfOver(job, now);
    updateQueued(job);
    if (job.endedAt === undefined) listener.onAdded(job);
  }

  /**
   * Drops a job's request. Its final phase is read from the other log, if that
   * still contains it.
   */
  function dropRequest(
    id: types.ids.JobId,
    now: types.clock.MonotonicMs,
  ): void {
    const job = jobs.get(id);
    if (job === undefined) return;
    job.record = undefined;
    job.endedAt ??= now;
    updateQueued(job);
  }

  function applyProgress(
    record: Extract<storeRecords.StoreRecord, {kind: 'progress'}>,
    now: types.clock.MonotonicMs,
  ): void {
    const {jobId: id, queue, organisation, progress} = record;
    const job = jobs.get(id);
    if (progress === undefined) {
      earlyProgress.delete(id);
      if (job !== undefined) remove(job);
      return;
    }
    if (job !== undefined) {
      job.progress = progress;
      finishIfOver(job, now);
      updateQueued(job);
    } else if (scheduling.jobProgress.isOver(progress.phase)) {
      const over = {record: undefined, progress, endedAt: now};
      jobs.set(id, {id, queue, organisation, ...over});
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
    if (job !== undefined) {
      finishIfOver(job, now);
      updateQueued(job);
    }
    listener.onCancelled(id);
  }

  return {
    get: (id) => jobs.get(id),
    all: () => jobs.values(),
    pendingIn(queue) {
      let count = 0;
      for (const job of queuedJobs) if (job.queue === queue) count++;
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
          applyProgress(record, now);
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
        if (isOver && !ids.has(id)) remove(job);
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
