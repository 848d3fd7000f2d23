/**
 * Interface of a worker. The wire format is in docs/PLATFORM.md.
 *
 * The safety of placement depends on two properties of the worker. It refuses
 * every call whose epoch is below the highest that it has seen, so a fenced
 * holder can start nothing more there. And all times in calls are on the
 * worker's own clock, which its answers carry, so clock skew between holder
 * and worker can't extend a lease.
 */
import type * as result from 'true-myth/result';
import type * as types from '@gypsumwall/types';

/** A moment on the worker's clock, in milliseconds. */
export type WorkerMs = number & {readonly __unit: 'WorkerMs'};

/** A task that runs on the worker. */
export interface RunningTask {
  readonly taskId: types.ids.TaskId;
  readonly attempt: types.ids.AttemptId;
  readonly size: types.resources.Resources;
  readonly leaseUntil: WorkerMs;
}

/** A task that has ended; the holder has not acknowledged its end yet. */
export interface FinishedTask {
  readonly taskId: types.ids.TaskId;
  readonly attempt: types.ids.AttemptId;
  readonly end: types.job.TaskEnd;
}

/** Resource usage of a task; the report lags behind. */
export interface TaskUsage {
  readonly taskId: types.ids.TaskId;
  readonly attempt: types.ids.AttemptId;
  readonly used: types.resources.Resources;
}

/** State of the worker when a holder attaches. */
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
  /** The worker stops the task at this time unless the lease is renewed. */
  readonly leaseUntil: WorkerMs;
}

/** Answer of the worker to one start. */
export type StartAnswer =
  | {readonly type: 'started'}
  /**
   * The task was not started by this call: it exceeds the capacity, was
   * stopped before, or is already there.
   */
  | {readonly type: 'refused'; readonly message: string};

/** Answer of the worker to a heartbeat. */
export interface HeartbeatAnswer {
  readonly now: WorkerMs;
  readonly running: readonly RunningTask[];
  readonly finished: readonly FinishedTask[];
  readonly usage: readonly TaskUsage[];
}

/** Epoch of the calling holder and the incarnation of the worker it means. */
export interface HolderCall {
  readonly epoch: number;
  readonly incarnation: types.ids.WorkerIncarnation;
}

type Answer<Value> = Promise<result.Result<Value, types.stepError.StepError>>;

/** Client of one worker. The error `stale_epoch` says the holder is fenced. */
export interface Worker {
  attach(epoch: number, holder: types.ids.EntryId): Answer<AttachAnswer>;
  /**
   * Starts tasks. The worker refuses the whole call after `startBy`. The
   * answers have the order of `tasks`.
   */
  start(
    call: HolderCall,
    startBy: WorkerMs,
    tasks: readonly StartTask[],
  ): Answer<readonly StartAnswer[]>;
  /** Renews the leases of all tasks of the holder; acknowledges ended ones. */
  heartbeat(
    call: HolderCall,
    leaseUntil: WorkerMs,
    acknowledged: readonly types.ids.AttemptId[],
  ): Answer<HeartbeatAnswer>;
  /**
   * Stops attempts; idempotent. Once the worker has answered, these attempts
   * can't be started any more.
   */
  stop(
    call: HolderCall,
    attempts: ReadonlyArray<{
      readonly taskId: types.ids.TaskId;
      readonly attempt: types.ids.AttemptId;
    }>,
  ): Answer<void>;
  /** Limits a task to thousandths of a core; 0 removes the limit. */
  throttle(
    call: HolderCall,
    attempt: types.ids.AttemptId,
    cpuMillis: number,
  ): Answer<void>;
  /** Saves a checkpoint of the task and stops it. */
  checkpoint(call: HolderCall, attempt: types.ids.AttemptId): Answer<void>;
}
