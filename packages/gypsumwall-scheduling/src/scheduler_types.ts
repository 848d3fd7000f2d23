/** Inputs, decisions and events of a scheduler. */
import type * as organisations from '@gypsumwall/organisations';
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as adviserPool from './adviser_pool.js';
import type * as crashRecords from './crash_records.js';
import type * as explainJob from './explain_job.js';
import type * as jobProgress from './job_progress.js';
import type * as jobRequest from './job_request.js';
import type * as jobSteps from './job_steps.js';
import type * as restoreJob from './restore_job.js';
import type * as nearChoice from './near_choice.js';
import type * as nearStarts from './near_starts.js';
import type * as refusalBackoff from './refusal_backoff.js';
import type * as workerRegistry from './worker_registry.js';
import type * as waitingDemand from './waiting_demand.js';
import type * as speedSummary from './speed_summary.js';
import type * as schedulingCycle from './scheduling_cycle.js';

/** A start order that is to be sent to a worker. */
export interface StartOrder {
  readonly attempt: activeJob.Attempt;
  readonly payload: string;
  readonly checkpoint?: string;
  readonly ticket?: string;
}

/** A call to the adviser that is to be made. */
export interface AdviceRequest {
  readonly stepRun: activeJob.StepRun;
  readonly workers: types.ids.WorkerId[];
  /** Expected duration of the call, in milliseconds. */
  readonly callMs: number;
  /** Whether no task of the step can start before the answer. */
  readonly needed: boolean;
}

/** What one scheduling cycle decided. */
export interface Decisions {
  readonly starts: StartOrder[];
  readonly advice: AdviceRequest[];
}

/** How a worker answered a start order. */
export type StartOutcome =
  | {readonly type: 'started'}
  /** The attempt certainly never runs. */
  | {readonly type: 'refused'; readonly reason: RefusalReason}
  /** The order was not sent, so the attempt never runs. */
  | {readonly type: 'unsent'}
  /** The attempt may run, now or later. */
  | {readonly type: 'unknown'};

/** Why a worker refused a start. */
export type RefusalReason = refusalBackoff.RefusalReason;

/** An attempt that a worker reports as running. */
export interface RunningAttempt {
  readonly taskId: types.ids.TaskId;
  readonly attempt: number;
  /** Saved progress; empty if none was saved. */
  readonly checkpoint: string;
  readonly percent: number;
}

/** An attempt that a worker reports as ended. */
export interface AttemptEnd {
  /** Increases by one with each end in the worker's incarnation. */
  readonly sequence: number;
  readonly taskId: types.ids.TaskId;
  readonly attempt: number;
  readonly how: jobSteps.AttemptOutcome;
  readonly checkpoint: string;
}

/** What a worker reports about its attempts. */
export interface WorkerReport {
  readonly workerId: types.ids.WorkerId;
  readonly askedAt: types.clock.MonotonicMs;
  readonly running: readonly RunningAttempt[];
  /** Ends that were not passed to the scheduler before. */
  readonly ends: readonly AttemptEnd[];
  /** Whether `running` and the ends received so far are complete. */
  readonly complete: boolean;
}

/** How an incarnation is certainly over. */
export type IncarnationEnd = Exclude<WorkerLoss, 'silent'>;

/** Why a worker's attempts were lost. */
export type WorkerLoss =
  /** The worker had announced that it leaves. */
  | 'left'
  /**
   * Another incarnation answers at the address of the worker or under its id,
   * and the worker had not announced that it leaves.
   */
  | 'crashed'
  /**
   * The same, but the worker may have announced it: the list could not be read
   * at that time.
   */
  | 'unknown'
  /**
   * The worker does not answer and its lease has expired; it may be cut off
   * from the network.
   */
  | 'silent';

/** A job with progress that has to be stored. */
export interface DirtyJob {
  readonly jobId: types.ids.JobId;
  readonly queue: string;
  readonly progress: jobProgress.JobProgress;
}

/** The scheduler of one cell. */
export interface Scheduler {
  readonly workerRegistry: workerRegistry.WorkerRegistry;
  /** Jobs that are not over. */
  readonly jobs: ReadonlyMap<types.ids.JobId, activeJob.ActiveJob>;
  /** Adds a job. Its attempts are recognised in worker reports from then on. */
  addJob(
    start: restoreJob.AddedJob,
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
  ): void;
  hasJob(id: types.ids.JobId): boolean;
  /** Applies the current queue settings of the operator to all jobs. */
  updatePolicies(
    policyOf: (queue: string) => jobRequest.QueuePolicy | undefined,
  ): void;
  /** Applies the organisations of the operator's configuration. */
  updateOrganisations(
    organisations: organisations.organisation.Organisations,
  ): void;
  cancelJob(id: types.ids.JobId): void;
  putWorker(info: workerRegistry.WorkerInfo): void;
  /**
   * Removes a worker whose incarnation is certainly over: nothing runs on it
   * any more.
   */
  removeWorker(
    id: types.ids.WorkerId,
    cause: WorkerLoss,
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * A worker has started again under its id, with this info. What ran there
   * ended with the incarnation before. Attempts whose start was not answered
   * may still be started by the new incarnation: they are stopped there.
   */
  restartWorker(
    info: workerRegistry.WorkerInfo,
    cause: IncarnationEnd,
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * The lease of a worker has certainly expired. The worker may answer again,
   * without any attempt running on it.
   */
  onLeaseExpired(id: types.ids.WorkerId, now: types.clock.MonotonicMs): void;
  /**
   * Sets whether a worker answers; no new task starts on one that doesn't.
   * `isSilent` tells that calls to it have timed out, while no connection was
   * closed or refused: it may be cut off.
   */
  setUsable(
    id: types.ids.WorkerId,
    usable: boolean,
    now: types.clock.MonotonicMs,
    isSilent?: boolean,
  ): void;
  /**
   * Sets whether the list entry of a worker is recent; no new task starts by an
   * older one.
   */
  setCurrent(id: types.ids.WorkerId, current: boolean): void;
  /**
   * A worker does not answer: a second attempt of each of its tasks is queued
   * where the step allows copies.
   */
  onWorkerUnreachable(id: types.ids.WorkerId): void;
  /** Whether no attempt runs or may run on a worker. */
  isIdle(id: types.ids.WorkerId): boolean;
  /** Whether a long-running task runs or may run on a worker. */
  hostsLongRunningTasks(id: types.ids.WorkerId): boolean;
  /** Stops all attempts on a worker that is about to leave. */
  evacuate(id: types.ids.WorkerId): void;
  /**
   * Resumes jobs whose workers of an earlier scheduler are all reconciled now.
   */
  onWorkerReconciled(): void;
  /**
   * Runs a scheduling cycle. Without `capacity`, calls to the adviser are not
   * limited.
   */
  decide(
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
    capacity?: adviserPool.AdviceCapacity,
    limits?: schedulingCycle.CycleLimits,
  ): Decisions;
  /** Whether a start order for the attempt should still be sent. */
  isStartDue(attempt: activeJob.Attempt): boolean;
  onStartAnswered(
    attempt: activeJob.Attempt,
    outcome: StartOutcome,
    now: types.clock.MonotonicMs,
  ): void;
  onStopAnswered(
    attempt: activeJob.Attempt,
    now: types.clock.MonotonicMs,
  ): void;
  applyReport(report: WorkerReport, now: types.clock.MonotonicMs): void;
  onAdviceAnswered(
    request: AdviceRequest,
    approved: ReadonlyMap<types.ids.WorkerId, string> | undefined,
    validUntil: types.clock.MonotonicMs,
  ): void;
  /** Returns the attempts to stop that were not returned before. */
  takeStops(): activeJob.Attempt[];
  /** Returns the jobs to store that were not returned before. */
  takeDirty(): DirtyJob[];
  /**
   * Sets how long the store takes to commit progress, in milliseconds. The first
   * start of a job waits for one commit, and its end is shown after another.
   */
  setCommitLatency(latencyMs: number): void;
  /** The store has committed the progress of these jobs. */
  onStored(jobs: readonly DirtyJob[]): void;
  /** Number of attempts of jobs with such a request. */
  countAttempts(isCounted: (request: jobRequest.JobRequest) => boolean): number;
  /** The work that waits for workers, by the rank of the last cycle. */
  waitingDemand(): waitingDemand.WaitingDemand[];
  counts(): SchedulerCounts;
  /** Explains where a job would start now; changes nothing. */
  readonly explain: explainJob.ExplainJob;
  /** How fast the workers are, by label. */
  speedSummary(): readonly speedSummary.SpeedSummary[];
}

/** Counts for gauges. */
export interface SchedulerCounts {
  readonly jobs: number;
  readonly runs: number;
  readonly waitingSteps: number;
  /** What the tasks of each organisation hold, and their quotas. */
  readonly organisations: readonly organisations.quotaLedger.QuotaUsage[];
  /** Starts and waits of steps that run slower in some places than in others. */
  readonly near: nearStarts.NearCounts;
}

/** Options of a scheduler. */
export interface SchedulerOptions extends nearChoice.NearOptions {
  /**
   * Measures how long decisions take, in milliseconds; they cost nothing if
   * absent.
   */
  readonly readMs?: () => number;
  /** Attempts of this scheduler get numbers above this one. */
  readonly attemptBase: number;
  /**
   * Whether a worker of an earlier scheduler is reconciled: it has answered
   * this scheduler, or nothing can run on it any more.
   */
  readonly isReconciled: (worker: types.ids.WorkerId) => boolean;
  /** The organisation of a job that is over, if it is known. */
  readonly organisationOf?: (
    job: types.ids.JobId,
  ) => types.ids.OrganisationId | undefined;
  /**
   * Whether all schedulers that may take over read ranges of finished
   * occurrences; true if absent.
   */
  readonly canStoreRanges?: () => boolean;
  /** Receives each decision about a task, for the log. */
  readonly onEvent: (event: SchedulerEvent) => void;
}

/** Why work of an organisation waits although workers may have capacity. */
export type OrganisationWaitReason =
  | 'organisation_at_quota'
  /** It exceeds the organisation's rate and ranks behind all other work. */
  | 'behind_other_organisations';

/** Why a job has failed. */
export type JobFailure =
  | {
      readonly reason: 'too_many_failures';
      /** The task that has used up its attempts. */
      readonly task: types.ids.TaskId;
      /** Failed attempts that the policy of the queue allows a task. */
      readonly limit: number;
      /** The failed attempts, as `attempt@worker`, separated by commas. */
      readonly attempts: string;
    }
  | {
      readonly reason: crashRecords.GiveUpReason;
      /** The task that crashes its workers. */
      readonly task: types.ids.TaskId;
      /** Its crashes, as `worker:kind:evidence`, separated by commas. */
      readonly crashes: string;
    };

/** A decision, or a change in what the scheduler knows. */
export type SchedulerEvent =
  | nearStarts.NearEvent
  | {
      readonly type: 'run_ended';
      readonly run: types.ids.TaskId;
      readonly attempt: number;
      readonly worker: types.ids.WorkerId;
      readonly how: jobSteps.AttemptOutcome | 'vanished' | 'refused' | 'lost';
      readonly reason?: RefusalReason | WorkerLoss;
    }
  | (Partial<JobFailure> & {
      readonly type: 'job_over';
      readonly job: types.ids.JobId;
      readonly phase: jobProgress.JobPhase;
      readonly queue: string;
      /**
       * Target duration of the job from its acceptance, in milliseconds; absent
       * for a job that was held or suspended.
       */
      readonly objectiveMs?: number;
    })
  | {
      /**
       * A job of an earlier build is too large to be scheduled, or its state
       * can't be restored. It is neither lost nor failed, and can be cancelled.
       */
      readonly type: 'job_held';
      readonly job: types.ids.JobId;
      readonly queue: string;
      readonly steps: number;
      /** What restoring it has thrown; absent if it is too large. */
      readonly error?: string;
    }
  | {
      /**
       * Scheduling a job has thrown: a fault of this program. Nothing of the job
       * starts during the pause, then it is tried again.
       */
      readonly type: 'job_suspended';
      readonly job: types.ids.JobId;
      readonly queue: string;
      readonly error: string;
      readonly pauseMs: number;
    }
  | {
      /**
       * No task of a step has started for a while. The number of these events
       * is bounded.
       */
      readonly type: 'step_waits';
      readonly step: string;
      readonly queue: string;
      readonly organisation?: types.ids.OrganisationId;
      /** Present if the organisation is the reason. */
      readonly reason?: OrganisationWaitReason;
      readonly tasks: number;
      readonly ofTasks: number;
      readonly waitedMs: number;
      /** Position in the order in which steps get capacity, from 0. */
      readonly rank: number;
      /**
       * Whether the job waits until its workers of an earlier scheduler are
       * reconciled.
       */
      readonly heldBack: boolean;
      readonly openCalls: number;
      /** Calls to the adviser that could be made before this cycle. */
      readonly callsLeft: number;
      /**
       * Number of workers for each reason why the step cannot start on them, as
       * `reason:count`.
       */
      readonly workers: string;
    }
  | {
      /**
       * A gang cannot start again because attempts of its members have not
       * ended.
       */
      readonly type: 'gang_breaks';
      readonly step: string;
      readonly ofTasks: number;
      readonly runs: number;
      /** Number of these whose start order or stop is not answered yet. */
      readonly unconfirmed: number;
      /** The worker of one of these attempts. */
      readonly worker?: types.ids.WorkerId;
      readonly waitedMs: number;
    }
  | {
      readonly type: 'worker_crashed';
      readonly worker: types.ids.WorkerId;
      /** Start of its incarnation; undefined if it isn't known. */
      readonly bornMs?: number;
      /** Attempts that were lost with the worker. */
      readonly runs: number;
      /** Number of these that were isolated from other jobs. */
      readonly isolated: number;
      readonly kind: jobProgress.CrashKind;
      /**
       * Whether other workers were lost at the same moment without an
       * explanation.
       */
      readonly accompanied: boolean;
    }
  | {
      /** A worker crashed, and counts as a crash of this task. */
      readonly type: 'crash_recorded';
      readonly task: types.ids.TaskId;
      readonly worker: types.ids.WorkerId;
      readonly kind: jobProgress.CrashKind;
      readonly evidence: jobProgress.CrashEvidence;
      /** Crashes of the task since it was last cleared. */
      readonly crashes: number;
    }
  | {
      /**
       * A worker crashed before this scheduler took over, or left, and these tasks
       * may have run there.
       */
      readonly type: 'crash_presumed';
      readonly step: string;
      readonly worker: types.ids.WorkerId;
      /** Number of tasks of the step that are suspects from now on. */
      readonly tasks: number;
    }
  | {
      /**
       * The operator has changed how many attempts of a task may fail; counts
       * for jobs that were accepted before, too.
       */
      readonly type: 'failure_limit_changed';
      readonly queue: string;
      readonly limit: number;
      readonly before: number;
    }
  | {
      /** The task starts isolated from other jobs from now on. */
      readonly type: 'task_suspected';
      readonly task: types.ids.TaskId;
      /** The last worker that crashed while it ran the task. */
      readonly worker: types.ids.WorkerId;
      readonly crashes: number;
    }
  | {
      /** A task crashes its workers, so its job fails. */
      readonly type: 'task_given_up';
      readonly task: types.ids.TaskId;
      readonly reason: crashRecords.GiveUpReason;
      readonly crashes: number;
      /** Workers that crashed while they ran the task, separated by commas. */
      readonly workers: string;
    }
  | speedSummary.SpeedEvent
  | {
      readonly type: 'worker_stalled';
      readonly worker: types.ids.WorkerId;
      readonly runs: number;
      /**
       * Progress at which the first of the stalled attempts stopped, 0 to 100.
       */
      readonly percent: number;
      readonly step: string;
      readonly blamed: boolean;
    };
