/**
 * A worker, as this product needs it. Wire form: docs/PLATFORM.md.
 *
 * Two things of the worker carry the safety of placement. It refuses every
 * call whose epoch is below the highest it has seen, so a holder that was
 * replaced can start nothing more there. And all times in calls are on the
 * worker's own clock, which answers tell, so clock skew can't stretch a lease.
 */
import type * as result from 'true-myth/result';
import type * as types from '@gypsumwall/types';

/** A moment on the worker's clock, in milliseconds. */
export type WorkerMs = number & {readonly __unit: 'WorkerMs'};

/** A task that runs at the worker. */
export interface RunningTask {
  readonly taskId: types.ids.TaskId;
  readonly attempt: types.ids.AttemptId;
  readonly size: types.resources.Resources;
  readonly leaseUntil: WorkerMs;
}

/** A task that ended and whose end was not yet acknowledged. */
export interface FinishedTask {
  readonly taskId: types.ids.TaskId;
  readonly attempt: types.ids.AttemptId;
  readonly end: types.job.TaskEnd;
}

/** What a task used, as reported with a lag. */
export interface TaskUsage {
  readonly taskId: types.ids.TaskId;
  readonly attempt: types.ids.AttemptId;
  readonly used: types.resources.Resources;
}

/** What the worker knows when a holder attaches. */
export interface AttachAnswer {
  readonly incarnation: types.ids.WorkerIncarnation;
  readonly now: WorkerMs;
  readonly capacity: types.resources.Resources;
  readonly running: readonly RunningTask[];
  readonly finished: readonly FinishedTask[];
}

/** One task to start. */
export interface StartTask {
  readonly taskId: types.ids.TaskId;
  readonly attempt: types.ids.AttemptId;
  readonly size: types.resources.Resources;
  readonly work: types.job.Work;
  /** The worker stops the task then, unless the lease is renewed. */
  readonly leaseUntil: WorkerMs;
}

/** What the worker did with one start. */
export type StartAnswer =
  | {readonly type: 'started'}
  /** Proved not run: over capacity, stopped before, or already there. */
  | {readonly type: 'refused'; readonly message: string};

/** What a heartbeat brings back. */
export interface HeartbeatAnswer {
  readonly now: WorkerMs;
  readonly running: readonly RunningTask[];
  readonly finished: readonly FinishedTask[];
  readonly usage: readonly TaskUsage[];
}

/** Which holder speaks, to which stay of the worker. */
export interface HolderCall {
  readonly epoch: number;
  readonly incarnation: types.ids.WorkerIncarnation;
}

type Answer<Value> = Promise<result.Result<Value, types.stepError.StepError>>;

/** Calls to one worker. A `stale_epoch` error is final for the holder. */
export interface Worker {
  attach(epoch: number, holder: types.ids.EntryId): Answer<AttachAnswer>;
  /** Refused as a whole after `startBy`. Answers stand in the asked order. */
  start(
    call: HolderCall,
    startBy: WorkerMs,
    tasks: readonly StartTask[],
  ): Answer<readonly StartAnswer[]>;
  /** Renews the leases of all the holder's tasks and acknowledges ends. */
  heartbeat(
    call: HolderCall,
    leaseUntil: WorkerMs,
    acknowledged: readonly types.ids.AttemptId[],
  ): Answer<HeartbeatAnswer>;
  /** Idempotent; once answered, these attempts never start any more. */
  stop(
    call: HolderCall,
    attempts: ReadonlyArray<{
      readonly taskId: types.ids.TaskId;
      readonly attempt: types.ids.AttemptId;
    }>,
  ): Answer<void>;
  /** Limits a task's processors; 0 lifts the limit. */
  throttle(
    call: HolderCall,
    attempt: types.ids.AttemptId,
    cpuMillis: number,
  ): Answer<void>;
  /** Saves the task's progress and stops it. */
  checkpoint(call: HolderCall, attempt: types.ids.AttemptId): Answer<void>;
}
