/**
 * What the work of each job is. Workers look it up by a task's id: an order to
 * start carries the id and an opaque payload only.
 */
import type * as types from '@gypsumwall/types';

/** A step of a job. */
export interface StepSpec {
  readonly taskCount: number;
  readonly size: types.resources.Resources;
  /** Duration of a task on a sound worker, in milliseconds. */
  readonly workMs: number;
  /** Earlier steps, from 0, whose tasks must be done first. */
  readonly after: readonly number[];
  /** All tasks work together or not at all. */
  readonly gang: boolean;
  /** Tasks run until the job is cancelled; `workMs` has no meaning. */
  readonly lasting: boolean;
  readonly savesProgress: boolean;
  /** The task of this index crashes its worker so long after its start. */
  readonly crash?: {readonly index: number; readonly afterMs: number};
}

/** A job as its caller hands it in. */
export interface JobSpec {
  readonly jobId: string;
  readonly queue: string;
  /** Opaque; tasks get it as it is. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
}

/** A task's place in its job. */
export interface CatalogTask {
  readonly job: JobSpec;
  readonly step: StepSpec;
  /** `<job>.<occurrence>.<step>`. */
  readonly stepRunId: string;
}

/** Jobs by id. */
export interface JobCatalog {
  add(job: JobSpec): void;
  /** Undefined for what no caller has sent. */
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

/** Ids of all tasks of a job. */
export function listTaskIds(job: JobSpec): string[] {
  return job.steps.flatMap((step, nth) =>
    Array.from(
      {length: step.taskCount},
      (_, index) => `${job.jobId}.0.${nth}.${index}`,
    ),
  );
}

/** What a job comes to if all goes well. */
export function expectedFinalState(
  job: JobSpec,
): 'running' | 'completed' | 'failed' {
  if (job.steps.some((step) => step.crash !== undefined)) return 'failed';
  return job.steps.some((step) => step.lasting) ? 'running' : 'completed';
}
