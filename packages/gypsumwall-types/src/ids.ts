/**
 * Branded types for ids. A string gets its brand where it is validated or
 * created; the compiler then distinguishes it from other kinds of ids.
 */

/** A string with a brand, for ids of single packages. */
export type Brand<Name extends string> = string & {readonly __brand: Name};

/** A process of an entry instance; each restart of it gets a new id. */
export type EntryId = Brand<'EntryId'>;
/** A worker instance, as the platform's list names it. */
export type WorkerId = Brand<'WorkerId'>;
/** An upstream instance (executor), as the platform's list names it. */
export type UpstreamId = Brand<'UpstreamId'>;
/** A failure domain, such as `hall-a`. */
export type FailureDomain = Brand<'FailureDomain'>;
/** A rack within a failure domain. */
export type RackId = Brand<'RackId'>;
/** An organisation: a customer with keys and a quota on the users' platform. */
export type OrganisationId = Brand<'OrganisationId'>;
/** A team: the owner of jobs, quotas and a settings subtree. */
export type TeamId = Brand<'TeamId'>;
/**
 * A job: `<home domain>.<suffix>`. Any entry can forward a call about a job to
 * its home domain, the failure domain that schedules it.
 */
export type JobId = Brand<'JobId'>;
/** A task of a job: `<job id>/<index>`. */
export type TaskId = Brand<'TaskId'>;
/** An attempt to run a task: `<epoch>.<n>`, unique within the task. */
export type AttemptId = Brand<'AttemptId'>;
/** The caller's idempotency key, unique within its team. */
export type IdempotencyKey = Brand<'IdempotencyKey'>;
/**
 * An incarnation of a worker: one lifetime of its process. Its tasks end with
 * it.
 */
export type WorkerIncarnation = Brand<'WorkerIncarnation'>;

/** Brands a string that the caller has validated or created. */
export function brand<Id extends string>(text: string): Id {
  return text as Id;
}

const JOB_ID_SEPARATOR = '.';
const TASK_ID_SEPARATOR = '/';

/** Creates the id of a job with the given home domain. */
export function makeJobId(home: FailureDomain, suffix: string): JobId {
  return brand<JobId>(`${home}${JOB_ID_SEPARATOR}${suffix}`);
}

/** Returns the home domain in a job id; empty if the id contains none. */
export function homeDomainOfJob(jobId: JobId): FailureDomain {
  const separatorIndex = jobId.lastIndexOf(JOB_ID_SEPARATOR);
  return brand<FailureDomain>(
    separatorIndex < 0 ? '' : jobId.slice(0, separatorIndex),
  );
}

/** Creates the id of the task of a job at `index`, which counts from 0. */
export function makeTaskId(jobId: JobId, index: number): TaskId {
  return brand<TaskId>(`${jobId}${TASK_ID_SEPARATOR}${index}`);
}

/** Splits the id of a task into its job and its index in the job. */
export function splitTaskId(taskId: TaskId): {jobId: JobId; index: number} {
  const separatorIndex = taskId.lastIndexOf(TASK_ID_SEPARATOR);
  return {
    jobId: brand<JobId>(taskId.slice(0, separatorIndex)),
    index: Number(taskId.slice(separatorIndex + 1)),
  };
}
