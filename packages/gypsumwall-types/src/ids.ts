/**
 * Branded ids: a string that has been checked or made at one place and can't
 * be mixed up with another kind of id afterwards.
 */

type Brand<Name extends string> = string & {readonly __brand: Name};

/** One process of an entry instance; a restarted process has a new id. */
export type EntryId = Brand<'EntryId'>;
/** A worker instance, as the platform's list names it. */
export type WorkerId = Brand<'WorkerId'>;
/** An upstream instance (executor), as the platform's list names it. */
export type UpstreamId = Brand<'UpstreamId'>;
/** A failure domain, such as `hall-a`. */
export type FailureDomain = Brand<'FailureDomain'>;
/** A rack within a failure domain. */
export type RackId = Brand<'RackId'>;
/** A team: the owner of jobs, quotas and a settings subtree. */
export type TeamId = Brand<'TeamId'>;
/** A job: `<failure domain>.<suffix>`, so that any entry can route it. */
export type JobId = Brand<'JobId'>;
/** A task of a job: `<job id>/<index>`. */
export type TaskId = Brand<'TaskId'>;
/** One run of a task: `<epoch>.<n>`; unique for the task. */
export type AttemptId = Brand<'AttemptId'>;
/** The caller's idempotency key, unique within its team. */
export type IdempotencyKey = Brand<'IdempotencyKey'>;
/** One stay of a worker process; its tasks end with it. */
export type WorkerIncarnation = Brand<'WorkerIncarnation'>;

/** Brands a string whose shape the caller has checked or which it made. */
export function brand<Id extends string>(text: string): Id {
  return text as Id;
}

const JOB_ID_SEPARATOR = '.';
const TASK_ID_SEPARATOR = '/';

/** Makes the id of a job whose home is the given failure domain. */
export function makeJobId(home: FailureDomain, suffix: string): JobId {
  return brand<JobId>(`${home}${JOB_ID_SEPARATOR}${suffix}`);
}

/** The failure domain that a job id names as its home. */
export function homeDomainOfJob(jobId: JobId): FailureDomain {
  const cut = jobId.lastIndexOf(JOB_ID_SEPARATOR);
  return brand<FailureDomain>(cut < 0 ? '' : jobId.slice(0, cut));
}

/** Makes the id of the task at `index` (from 0) of a job. */
export function makeTaskId(jobId: JobId, index: number): TaskId {
  return brand<TaskId>(`${jobId}${TASK_ID_SEPARATOR}${index}`);
}

/** The job that a task belongs to, and the task's place in it. */
export function splitTaskId(taskId: TaskId): {jobId: JobId; index: number} {
  const cut = taskId.lastIndexOf(TASK_ID_SEPARATOR);
  return {
    jobId: brand<JobId>(taskId.slice(0, cut)),
    index: Number(taskId.slice(cut + 1)),
  };
}
