/**
 * What the holder of a failure domain asks of a placement policy. The policy
 * keeps the queue and the books of every worker of the domain in memory and
 * does no input or output, so each decision takes microseconds.
 */
import type * as types from '@gypsumwall/types';

/** A worker that tasks may be placed on. */
export interface PlacerWorker {
  readonly id: types.ids.WorkerId;
  readonly rack: types.ids.RackId;
  readonly capacity: types.resources.Resources;
}

/** What a team may do, out of its settings subtree. */
export interface PlacerTeam {
  readonly id: types.ids.TeamId;
  readonly weight: number;
  readonly quota: types.resources.Resources;
  /** 0: shortest wait first; 1: tightest packing first. */
  readonly packing: number;
}

/** A job whose listed tasks wait for a place. */
export interface QueuedJob {
  readonly jobId: types.ids.JobId;
  readonly spec: types.job.JobSpec;
  /** When it was accepted. */
  readonly acceptedAt: types.clock.WallMs;
  /** Indexes of its tasks that wait. */
  readonly waiting: readonly number[];
}

/** A task that holds room on a worker. */
export interface RunningTask {
  readonly taskId: types.ids.TaskId;
  readonly spec: types.job.JobSpec;
  readonly workerId: types.ids.WorkerId;
  /** Room held; never below what the worker was told at the start. */
  readonly size: types.resources.Resources;
}

/** Start this task there. Its room is held from the moment of decision. */
export interface Placement {
  readonly taskId: types.ids.TaskId;
  readonly workerId: types.ids.WorkerId;
  readonly size: types.resources.Resources;
}

/** Why a job can't be taken now; final for the caller. */
export interface PlacementRefusal {
  readonly reason: types.outcome.RefusalReason;
  readonly message: string;
  readonly retryAfterMs?: number;
}

/** Give a running task's processors to more urgent work. */
export type PreemptionAction =
  | {
      readonly type: 'throttle';
      readonly taskId: types.ids.TaskId;
      /** 0 lifts the limit. */
      readonly cpuMillis: number;
    }
  | {readonly type: 'checkpoint'; readonly taskId: types.ids.TaskId};

/** What one round decided. */
export interface Decisions {
  readonly placements: readonly Placement[];
  readonly preemptions: readonly PreemptionAction[];
}

/** How a task's run ended, for learning and for quarantine. */
export type AttemptReport =
  | {readonly type: 'done'; readonly ranMs: number}
  | {readonly type: 'failed'; readonly message: string}
  /** It never started: the worker refused or could not be reached. */
  | {readonly type: 'not_started'}
  | {readonly type: 'stopped'};

/** The queue and books of one failure domain. */
export interface Placer {
  setTeam(team: PlacerTeam): void;
  /** Adds a worker or changes its capacity. */
  setWorker(worker: PlacerWorker): void;
  /**
   * No new work there from now on (leaving, silent or gone). Room that its
   * tasks hold stays on the books until each is released.
   */
  cordonWorker(workerId: types.ids.WorkerId): void;
  /** Forgets a worker that is gone; its tasks must be released before. */
  removeWorker(workerId: types.ids.WorkerId): void;
  /** Whether a new job may be taken; quotas, shapes and deadlines decide. */
  admit(
    spec: types.job.JobSpec,
    now: types.clock.WallMs,
  ): PlacementRefusal | undefined;
  /** Adds a job, or adds waiting tasks to one that is known. */
  enqueue(job: QueuedJob): void;
  /** Drops what waits of a job. Running tasks stay until released. */
  cancel(jobId: types.ids.JobId): void;
  /** Books a task that was found running when the domain was taken over. */
  adopt(task: RunningTask): void;
  /** Gives a task's room back and learns from how it ended. */
  release(taskId: types.ids.TaskId, report: AttemptReport): void;
  /** Usage as workers report it, late. */
  reportUsage(taskId: types.ids.TaskId, used: types.resources.Resources): void;
  /** Decides at most `limit` placements. */
  decide(now: types.clock.WallMs, limit: number): Decisions;
  /** Tasks that wait, for status and metrics. */
  waitingTasks(): number;
  /** Why a waiting job waits, for a person; empty when it doesn't. */
  explainWait(jobId: types.ids.JobId): string;
  /**
   * A job that the policy has given up on since the last call, such as one
   * that failed on distinct workers; the holder records it as failed.
   */
  takeAbandonedJobs(): ReadonlyArray<{
    readonly jobId: types.ids.JobId;
    readonly message: string;
  }>;
}
