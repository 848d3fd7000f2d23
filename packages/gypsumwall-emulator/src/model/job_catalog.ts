/**
 * Descriptions of the work of each job. Workers look them up by task id,
 * because a start order carries only the id and an opaque payload.
 */
import type * as types from '@gypsumwall/types';

/**
 * A step of a job. Field names stay as they are: the job is part of the event
 * `job_sent`.
 */
export interface StepSpec {
  readonly taskCount: number;
  readonly size: types.resources.Resources;
  /** Duration of a task on a healthy worker, in milliseconds. */
  readonly workMs: number;
  /** Indexes, from 0, of the earlier steps that must be done first. */
  readonly after: readonly number[];
  /** Whether the tasks must all run at the same time. */
  readonly gang: boolean;
  /**
   * Whether the step is long-running: its tasks run until the job is
   * cancelled, and `workMs` is ignored.
   */
  readonly lasting: boolean;
  readonly savesProgress: boolean;
  /** The task with this index crashes its worker `afterMs` after its start. */
  readonly crash?: {readonly index: number; readonly afterMs: number};
}

/** A job as its caller submits it. */
export interface JobSpec {
  readonly jobId: string;
  readonly queue: string;
  /** Who submits it; absent where callers need no keys. */
  readonly organisation?: string;
  /** Opaque; passed to the tasks unchanged. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
}

/** A task's job and step. */
export interface CatalogTask {
  readonly job: JobSpec;
  readonly step: StepSpec;
  /** `<job>.<occurrence>.<step>`. */
  readonly stepRunId: string;
}

/** Jobs by id. */
export interface JobCatalog {
  add(job: JobSpec): void;
  /** Returns undefined if no caller has sent such a task. */
  findTask(taskId: string): CatalogTask | undefined;
}

/** Creates an empty catalog. */
export function createJobCatalog(): JobCatalog {
  const jobs = new Map<string, JobSpec>();
  return {
    add: (job) => void jobs.set(job.jobId, job),
    findTask(taskId) {
      const [jobId = '', occurrence = '', step = '', index = ''] =
        taskId.split('.');
      const job = jobs.get(jobId);
      const spec = job?.steps[Number(step)];
      if (job === undefined || spec === undefined) return undefined;
      if (occurrence !== '0' || !(Number(index) < spec.taskCount)) {
        return undefined;
      }
      return {job, step: spec, stepRunId: `${jobId}.${occurrence}.${step}`};
    },
  };
}

/** Lists the ids of all tasks of a job. */
export function listTaskIds(job: JobSpec): string[] {
  return job.steps.flatMap((step, nth) =>
    Array.from(
      {length: step.taskCount},
      (_, index) => `${job.jobId}.0.${nth}.${index}`,
    ),
  );
}

/** Returns the state that a job is expected to end in, or to stay in. */
export function expectedFinalState(
  job: JobSpec,
): 'running' | 'completed' | 'failed' {
  if (job.steps.some((step) => step.crash !== undefined)) return 'failed';
  return job.steps.some((step) => step.lasting) ? 'running' : 'completed';
}
