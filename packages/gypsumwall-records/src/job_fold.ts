/**
 * The jobs of one failure domain, folded from its stream. It does not contain
 * which tasks run on which workers: the holder gets that from the workers.
 */
import * as types from '@gypsumwall/types';
import type * as domainRecords from './domain_records.js';
import type * as streamFold from './stream_fold.js';

/** State of a job's life cycle. */
export type JobPhase =
  | {readonly type: 'open'}
  | {readonly type: 'done'}
  | {readonly type: 'cancelled'}
  | {readonly type: 'given_up'; readonly message: string};

/** An accepted job. Stored in snapshots; the field names must stay. */
export interface JobState {
  readonly jobId: types.ids.JobId;
  readonly key: types.ids.IdempotencyKey;
  readonly spec: types.job.JobSpec;
  readonly acceptedAt: types.clock.WallMs;
  readonly traceparent?: string;
  phase: JobPhase;
  /** Results of completed tasks by task index. */
  readonly results: Map<number, string>;
}

/** A change of the jobs that the holder's scheduler must handle. */
export type JobChange =
  | {readonly type: 'accepted'; readonly job: JobState}
  | {readonly type: 'closed'; readonly job: JobState}
  | {readonly type: 'restored'};

/** The jobs of a domain. */
export interface JobFold extends streamFold.StreamFold {
  job(jobId: types.ids.JobId): JobState | undefined;
  /** The job that was submitted with a team's key. */
  byKey(
    team: types.ids.TeamId,
    key: types.ids.IdempotencyKey,
  ): JobState | undefined;
  jobs(): IterableIterator<JobState>;
  openJobs(): readonly JobState[];
}

/**
 * Closed jobs are kept so that they can be read and their keys not be reused.
 * Beyond this number, the oldest are evicted.
 */
export const MAX_CLOSED_JOBS = 20_000;

/** Creates a fold without jobs. */
export function createJobFold(
  onChange: (change: JobChange) => void = () => undefined,
): JobFold {
  const jobs = new Map<types.ids.JobId, JobState>();
  const byKey = new Map<string, JobState>();
  const open = new Set<JobState>();
  /** Closed jobs in the order in which they were closed. */
  const closed = new Set<JobState>();

  function accept(record: AcceptedRecord): void {
    const name = keyName(record.spec.team, record.key);
    // The first record for a key creates the job; later ones are repetitions.
    if (byKey.has(name) || jobs.has(record.jobId)) return;
    const job: JobState = {
      jobId: record.jobId,
      key: record.key,
      spec: record.spec,
      acceptedAt: record.acceptedAt,
      traceparent: record.traceparent,
      phase: {type: 'open'},
      results: new Map(),
    };
    jobs.set(job.jobId, job);
    byKey.set(name, job);
    open.add(job);
    onChange({type: 'accepted', job});
  }

  function close(job: JobState | undefined, phase: JobPhase): void {
    if (job === undefined || job.phase.type !== 'open') return;
    job.phase = phase;
    open.delete(job);
    closed.add(job);
    if (closed.size > MAX_CLOSED_JOBS) evictOldest();
    onChange({type: 'closed', job});
  }

  function evictOldest(): void {
    const oldest = closed.values().next();
    if (oldest.done === true) return;
    closed.delete(oldest.value);
    jobs.delete(oldest.value.jobId);
    byKey.delete(keyName(oldest.value.spec.team, oldest.value.key));
  }

  function endTask(record: EndedRecord): void {
    const {jobId, index} = types.ids.splitTaskId(record.taskId);
    const job = jobs.get(jobId);
    if (job === undefined || job.phase.type !== 'open') return;
    // Only `done` is final; after any other end the holder retries the task.
    if (record.end.type !== 'done') return;
    if (job.spec.shape.kind === 'service') return;
    job.results.set(index, record.end.result);
    const taskCount = types.job.maxTaskCount(job.spec.shape);
    if (job.results.size >= taskCount) close(job, {type: 'done'});
  }

  function apply(record: domainRecords.DomainRecord): void {
    switch (record.type) {
      case 'job_accepted':
        accept(record);
        return;
      case 'job_cancelled':
        close(jobs.get(record.jobId), {type: 'cancelled'});
        return;
      case 'job_given_up':
        close(jobs.get(record.jobId), {
          type: 'given_up',
          message: record.message,
        });
        return;
      case 'task_ended':
        endTask(record);
        return;
      case 'claim':
      case 'renew':
      case 'release':
        return;
    }
  }

  function restoreJob(job: JobState): void {
    jobs.set(job.jobId, job);
    byKey.set(keyName(job.spec.team, job.key), job);
    (job.phase.type === 'open' ? open : closed).add(job);
  }

  return {
    apply: (_offset, record) => apply(record as domainRecords.DomainRecord),
    snapshot: () =>
      JSON.stringify(
        [...closed, ...open].map((job) => ({
          ...job,
          results: [...job.results],
        })),
      ),
    restore: (text) => {
      [jobs, byKey, open, closed].forEach((table) => table.clear());
      for (const saved of JSON.parse(text) as SavedJob[]) {
        restoreJob({...saved, results: new Map(saved.results)});
      }
      onChange({type: 'restored'});
    },
    job: (jobId) => jobs.get(jobId),
    byKey: (team, key) => byKey.get(keyName(team, key)),
    jobs: () => jobs.values(),
    openJobs: () => [...open],
  };
}

type AcceptedRecord = Extract<
  domainRecords.DomainRecord,
  {type: 'job_accepted'}
>;
type EndedRecord = Extract<domainRecords.DomainRecord, {type: 'task_ended'}>;
type SavedJob = Omit<JobState, 'results'> & {
  readonly results: Array<[number, string]>;
};

/** Keys are scoped to a team, so that teams can't see each other's jobs. */
function keyName(
  team: types.ids.TeamId,
  key: types.ids.IdempotencyKey,
): string {
  return `${team} ${key}`;
}
