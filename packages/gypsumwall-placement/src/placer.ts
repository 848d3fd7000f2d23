/**
 * The interface between the holder of a failure domain and its placement
 * policy. The policy keeps the queue and the allocations of all workers of the
 * domain in memory and does no I/O, so each decision takes microseconds.
 */
import type * as types from '@gypsumwall/types';

/** A worker that tasks may be placed on. */
export interface PlacerWorker {
  readonly id: types.ids.WorkerId;
  readonly rack: types.ids.RackId;
  readonly capacity: types.resources.Resources;
}

/** Limits and weight of a team, read from its settings subtree. */
export interface PlacerTeam {
  readonly id: types.ids.TeamId;
  readonly weight: number;
  readonly quota: types.resources.Resources;
  /** 0: shortest wait first; 1: tightest packing first. */
  readonly packing: number;
}

/** A job and those of its tasks that wait to be placed. */
export interface QueuedJob {
  readonly jobId: types.ids.JobId;
  readonly spec: types.job.JobSpec;
  readonly acceptedAt: types.clock.WallMs;
  /** Indexes of the waiting tasks. */
  readonly waiting: readonly number[];
}

/** A task that has resources allocated on a worker. */
export interface RunningTask {
  readonly taskId: types.ids.TaskId;
  readonly spec: types.job.JobSpec;
  readonly workerId: types.ids.WorkerId;
  /**
   * The allocated resources, at least the size that was sent to the worker when
   * the task started.
   */
  readonly size: types.resources.Resources;
}

/**
 * The decision to start a task on a worker. The resources are allocated as
 * soon as the decision is made.
 */
export interface Placement {
  readonly taskId: types.ids.TaskId;
  readonly workerId: types.ids.WorkerId;
  readonly size: types.resources.Resources;
}

/** Why a new job is refused. The refusal is final for the caller. */
export interface PlacementRefusal {
  readonly reason: types.outcome.RefusalReason;
  readonly message: string;
  readonly retryAfterMs?: number;
}

/** Takes resources from a running task in favour of more urgent work. */
export type PreemptionAction =
  | {
      readonly type: 'throttle';
      readonly taskId: types.ids.TaskId;
      /** The limit to set; 0 removes the limit. */
      readonly cpuMillis: number;
    }
  | {readonly type: 'checkpoint'; readonly taskId: types.ids.TaskId};

/** The decisions of one scheduling cycle. */
export interface Decisions {
  readonly placements: readonly Placement[];
  readonly preemptions: readonly PreemptionAction[];
}

/** How an attempt of a task ended; used for size estimates and quarantine. */
export type AttemptReport =
  | {readonly type: 'done'; readonly ranMs: number}
  | {readonly type: 'failed'; readonly message: string}
  /** The attempt never started: the worker refused it or was unreachable. */
  | {readonly type: 'not_started'}
  | {readonly type: 'stopped'};

/** The queue and the allocations of one failure domain. */
export interface Placer {
  setTeam(team: PlacerTeam): void;
  /** Adds a worker or changes its capacity. */
  setWorker(worker: PlacerWorker): void;
  /**
   * Places no new tasks on a worker that is leaving, silent or removed from the
   * list. Its tasks keep their allocations until each of them is released.
   */
  cordonWorker(workerId: types.ids.WorkerId): void;
  /** Removes a worker; its tasks must have been released before. */
  removeWorker(workerId: types.ids.WorkerId): void;
  /**
   * Checks a new job against quotas, capacity, load and deadlines. Returns
   * undefined when the job is admitted.
   */
  admit(
    spec: types.job.JobSpec,
    now: types.clock.WallMs,
  ): PlacementRefusal | undefined;
  /** Adds a job, or adds waiting tasks to a job that is queued already. */
  enqueue(job: QueuedJob): void;
  /**
   * Removes the waiting tasks of a job. Running tasks keep their allocations
   * until they are released.
   */
  cancel(jobId: types.ids.JobId): void;
  /** Allocates resources for a task found running after a failover. */
  adopt(task: RunningTask): void;
  /** Frees a task's resources and records how its attempt ended. */
  release(taskId: types.ids.TaskId, report: AttemptReport): void;
  /** Records the usage that a worker reported; reports arrive with a delay. */
  reportUsage(taskId: types.ids.TaskId, used: types.resources.Resources): void;
  /** Runs a scheduling cycle that makes at most `limit` placements. */
  decide(now: types.clock.WallMs, limit: number): Decisions;
  /** The number of waiting tasks, for status and metrics. */
  waitingTasks(): number;
  /** Returns a readable reason why a job waits; empty if it doesn't wait. */
  explainWait(jobId: types.ids.JobId): string;
  /**
   * Returns the jobs that the policy has abandoned since the last call, such as
   * a job that failed on several workers. The holder records them as failed.
   */
  takeAbandonedJobs(): ReadonlyArray<{
    readonly jobId: types.ids.JobId;
    readonly message: string;
  }>;
}
