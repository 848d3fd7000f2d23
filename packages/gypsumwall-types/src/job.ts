/** What a team asks for, and what becomes of it. */
import type * as clock from './clock.js';
import type * as ids from './ids.js';
import type * as resources from './resources.js';

/** How soon work must start; the order in which queues are shed. */
export type Urgency = 'urgent' | 'normal' | 'overnight';

/** The shape of a job: each kind has a policy of its own. */
export type JobShape =
  | {readonly kind: 'batch'; readonly tasks: number}
  /** All tasks start together or none does. */
  | {readonly kind: 'gang'; readonly tasks: number}
  /** Stays up: a replica that ends is started again. */
  | {readonly kind: 'service'; readonly replicas: number};

/** What a task runs; opaque to the scheduler, handed to the worker. */
export interface Work {
  readonly command: string;
  readonly args: Readonly<Record<string, string | number | boolean>>;
}

/** A job as its team declared it. */
export interface JobSpec {
  readonly team: ids.TeamId;
  readonly shape: JobShape;
  /** Class of like jobs, under which sizes and run times are learned. */
  readonly jobClass: string;
  readonly urgency: Urgency;
  /** Declared need of each task; often far off. */
  readonly size: resources.Resources;
  /** Declared run time of each task, in milliseconds; often far off. */
  readonly estimateMs: number;
  /** Must be finished by then; absent when any time will do. */
  readonly deadline?: clock.WallMs;
  readonly work: Work;
}

/** How many tasks a job has at most at one time. */
export function maxTaskCount(shape: JobShape): number {
  switch (shape.kind) {
    case 'batch':
    case 'gang':
      return shape.tasks;
    case 'service':
      return shape.replicas;
  }
}

/** How a task ended at its worker. */
export type TaskEnd =
  | {readonly type: 'done'; readonly result: string}
  | {readonly type: 'failed'; readonly message: string}
  /** Stopped on request or because its lease ran out. */
  | {readonly type: 'stopped'; readonly message: string};

/** What a caller reads about a job. */
export interface JobView {
  readonly jobId: ids.JobId;
  readonly team: ids.TeamId;
  readonly state: 'queued' | 'running' | 'done' | 'failed' | 'cancelled';
  readonly kind: JobShape['kind'];
  readonly tasks: number;
  readonly finished: number;
  /** Failed runs of an open job, as its domain's holder has seen them. */
  readonly failed: number;
  readonly running: number;
  /** Why it waits or failed, for a person. */
  readonly message: string;
  /** Results of finished tasks by index; empty until the job is done. */
  readonly results: readonly string[];
}
