/** Types of a job as its team submits it, and of its state. */
import type * as clock from './clock.js';
import type * as ids from './ids.js';
import type * as resources from './resources.js';

/**
 * How soon work must start. Under overload, the least urgent work is refused
 * first.
 */
export type Urgency = 'urgent' | 'normal' | 'overnight';

/** Kind and size of a job. Each kind is scheduled by its own policy. */
export type JobShape =
  | {readonly kind: 'batch'; readonly tasks: number}
  /** All tasks start together, or none of them. */
  | {readonly kind: 'gang'; readonly tasks: number}
  /** Runs until it is cancelled: a replica that ends is started again. */
  | {readonly kind: 'service'; readonly replicas: number};

/** What a task runs. The scheduler passes it to the worker unchanged. */
export interface Work {
  readonly command: string;
  readonly args: Readonly<Record<string, string | number | boolean>>;
}

/** A job as its team submitted it. */
export interface JobSpec {
  readonly team: ids.TeamId;
  readonly shape: JobShape;
  /**
   * Class of similar jobs. Actual sizes and run times are learned for each
   * class.
   */
  readonly jobClass: string;
  readonly urgency: Urgency;
  /** Resources of each task as the team declared them; often inaccurate. */
  readonly size: resources.Resources;
  /**
   * Run time of each task as the team declared it, in milliseconds; often
   * inaccurate.
   */
  readonly estimateMs: number;
  /** When the job must be finished; absent if it has no deadline. */
  readonly deadline?: clock.WallMs;
  readonly work: Work;
}

/** Returns the maximum number of tasks that a job runs at the same time. */
export function maxTaskCount(shape: JobShape): number {
  switch (shape.kind) {
    case 'batch':
    case 'gang':
      return shape.tasks;
    case 'service':
      return shape.replicas;
  }
}

/** How a task ended on its worker. */
export type TaskEnd =
  | {readonly type: 'done'; readonly result: string}
  | {readonly type: 'failed'; readonly message: string}
  /** Stopped on request or because its lease expired. */
  | {readonly type: 'stopped'; readonly message: string};

/** State of a job as callers see it. */
export interface JobView {
  readonly jobId: ids.JobId;
  readonly team: ids.TeamId;
  readonly state: 'queued' | 'running' | 'done' | 'failed' | 'cancelled';
  readonly kind: JobShape['kind'];
  readonly tasks: number;
  readonly finished: number;
  /**
   * Number of failed attempts of a job that has not ended, as the holder of its
   * domain knows it.
   */
  readonly failed: number;
  readonly running: number;
  /** Human-readable reason why the job waits or has failed. */
  readonly message: string;
  /** Results of the tasks by index; empty until the job is done. */
  readonly results: readonly string[];
}
