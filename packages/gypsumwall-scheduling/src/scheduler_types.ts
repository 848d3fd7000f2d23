/** What a scheduler is told, what it decides, and what it tells the log. */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as adviserPool from './adviser_pool.js';
import type * as crashRecords from './crash_records.js';
import type * as jobProgress from './job_progress.js';
import type * as jobRequest from './job_request.js';
import type * as jobSteps from './job_steps.js';
import type * as workerRegistry from './worker_registry.js';

/** A start to be sent to a worker. */
export interface StartOrder {
  readonly attempt: activeJob.Attempt;
  readonly payload: string;
  readonly checkpoint?: string;
  readonly ticket?: string;
}

/** A question to the adviser. */
export interface AdviceRequest {
  readonly stepRun: activeJob.StepRun;
  readonly workers: types.ids.WorkerId[];
  /** How long the adviser will take, in milliseconds. */
  readonly callMs: number;
  /** Whether nothing of the step can start before the answer. */
  readonly needed: boolean;
}

/** What is to be done now. */
export interface Decisions {
  readonly starts: StartOrder[];
  readonly advice: AdviceRequest[];
}

/** How a start order was answered. */
export type StartOutcome =
  | {readonly type: 'started'}
  /** Surely never runs. */
  | {readonly type: 'refused'; readonly reason: RefusalReason}
  /** May run, now or later. */
  | {readonly type: 'unknown'};

/** Why a worker refused a start. */
export type RefusalReason =
  'bad_ticket' | 'superseded' | 'no_room' | 'unhealthy' | 'other';

/** A run as a worker lists it. */
export interface RunningAttempt {
  readonly taskId: types.ids.TaskId;
  readonly attempt: number;
  /** Saved progress; empty if there is none. */
  readonly checkpoint: string;
  readonly percent: number;
}

/** An end as a worker lists it. */
export interface AttemptEnd {
  /** Rises by one with each end of the worker's stay. */
  readonly sequence: number;
  readonly taskId: types.ids.TaskId;
  readonly attempt: number;
  readonly how: jobSteps.AttemptOutcome;
  readonly checkpoint: string;
}

/** What a worker told of itself. */
export interface WorkerReport {
  readonly workerId: types.ids.WorkerId;
  readonly askedAt: types.clock.MonotonicMs;
  readonly running: readonly RunningAttempt[];
  /** Ends that weren't handed in before. */
  readonly ends: readonly AttemptEnd[];
  /** Whether `running` and the ends heard so far are all there is. */
  readonly complete: boolean;
}

/** How what ran on a worker was lost. */
export type WorkerLoss =
  /** It had announced that it leaves. */
  | 'left'
  /** Another stay answers at its address, and it had announced nothing. */
  | 'crashed'
  /** It doesn't answer, and its lease has passed; it may be cut off. */
  | 'silent';

/** A job whose progress has to be stored. */
export interface DirtyJob {
  readonly jobId: types.ids.JobId;
  readonly queue: string;
  readonly progress: jobProgress.JobProgress;
}

/** The scheduler of one cell. */
export interface Scheduler {
  readonly workerRegistry: workerRegistry.WorkerRegistry;
  /** Its jobs with work left. */
  readonly jobs: ReadonlyMap<types.ids.JobId, activeJob.ActiveJob>;
  /** Takes a job up; its runs are looked for in reports from then on. */
  addJob(
    start: Omit<jobSteps.JobStart, 'arrival'>,
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
  ): void;
  hasJob(id: types.ids.JobId): boolean;
  /** Takes over what the operator has set for queues since. */
  updatePolicies(
    policyOf: (queue: string) => jobRequest.QueuePolicy | undefined,
  ): void;
  cancelJob(id: types.ids.JobId): void;
  putWorker(info: workerRegistry.WorkerInfo): void;
  /** Its stay is surely over: nothing runs there any more. */
  removeWorker(
    id: types.ids.WorkerId,
    cause: WorkerLoss,
    now: types.clock.MonotonicMs,
  ): void;
  /** Its lease has surely passed; it may come back, with nothing running. */
  onLeaseExpired(id: types.ids.WorkerId, now: types.clock.MonotonicMs): void;
  /** Whether new tasks may be placed there. */
  setUsable(
    id: types.ids.WorkerId,
    usable: boolean,
    now: types.clock.MonotonicMs,
  ): void;
  /** It doesn't answer: what may be copied is started elsewhere as well. */
  onWorkerUnreachable(id: types.ids.WorkerId): void;
  /** Whether nothing runs or may run on a worker. */
  isIdle(id: types.ids.WorkerId): boolean;
  /** Whether any task that lasts runs or may run on a worker. */
  hostsLongRunningTasks(id: types.ids.WorkerId): boolean;
  /** Stops all that runs on a worker that is about to leave. */
  evacuate(id: types.ids.WorkerId): void;
  /** A worker was accounted for: jobs that were held back may go on. */
  onWorkerReconciled(): void;
  /** Without a capacity nothing limits the calls to the adviser. */
  decide(
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
    capacity?: adviserPool.AdviceCapacity,
  ): Decisions;
  onStartAnswered(
    run: activeJob.Attempt,
    outcome: StartOutcome,
    now: types.clock.MonotonicMs,
  ): void;
  onStopAnswered(run: activeJob.Attempt, now: types.clock.MonotonicMs): void;
  applyReport(report: WorkerReport, now: types.clock.MonotonicMs): void;
  onAdviceAnswered(
    wish: AdviceRequest,
    approved: ReadonlyMap<types.ids.WorkerId, string> | undefined,
    validUntil: types.clock.MonotonicMs,
  ): void;
  /** Runs to stop, handed over once. */
  takeStops(): activeJob.Attempt[];
  /** Jobs to store, handed over once. */
  takeDirty(): DirtyJob[];
  /** The jobs' progress stands in the store. */
  onStored(jobs: readonly DirtyJob[]): void;
  counts(): SchedulerCounts;
}

/** For gauges. */
export interface SchedulerCounts {
  readonly jobs: number;
  readonly runs: number;
  readonly waitingSteps: number;
}

/** What a scheduler is made with. */
export interface SchedulerOptions {
  /** Attempts of this scheduler are numbered above it. */
  readonly attemptBase: number;
  /**
   * Whether it is known what runs on a worker that an earlier scheduler used:
   * it has answered since, or can't run anything any more.
   */
  readonly isReconciled: (worker: types.ids.WorkerId) => boolean;
  /** Told of each decision that touches a task, for the log. */
  readonly onEvent: (event: SchedulerEvent) => void;
}

/** A decision or a change of belief. */
export type SchedulerEvent =
  | {
      readonly type: 'run_ended';
      readonly run: types.ids.TaskId;
      readonly attempt: number;
      readonly worker: types.ids.WorkerId;
      readonly how: jobSteps.AttemptOutcome | 'vanished' | 'refused' | 'lost';
      readonly reason?: RefusalReason | WorkerLoss;
    }
  | {
      readonly type: 'job_over';
      readonly job: types.ids.JobId;
      readonly phase: jobProgress.JobPhase;
      readonly queue: string;
      /** How long it should have taken from its acceptance. */
      readonly objectiveMs: number;
    }
  | {
      /** Nothing of a step has started for a while; bounded in number. */
      readonly type: 'step_waits';
      readonly step: string;
      readonly queue: string;
      readonly tasks: number;
      readonly ofTasks: number;
      readonly waitedMs: number;
      /** Place in the order of work, from 0. */
      readonly rank: number;
      /** Whether workers of an earlier scheduler aren't accounted for. */
      readonly heldBack: boolean;
      readonly openCalls: number;
      /** Calls to the adviser that could be made before this cycle. */
      readonly callsLeft: number;
      /** Workers by what keeps the step off them, as `reason:count`. */
      readonly workers: string;
    }
  | {
      /** A gang can't start again: members of its last attempt haven't ended. */
      readonly type: 'gang_breaks';
      readonly step: string;
      readonly ofTasks: number;
      readonly runs: number;
      /** Of these, how many orders or stops are without an answer. */
      readonly unconfirmed: number;
      /** Worker of one of them. */
      readonly worker?: types.ids.WorkerId;
      readonly waitedMs: number;
    }
  | {
      readonly type: 'worker_crashed';
      readonly worker: types.ids.WorkerId;
      /** Runs that it took along. */
      readonly runs: number;
      /** Of these, how many ran apart from other jobs. */
      readonly isolated: number;
      readonly kind: crashRecords.CrashKind;
      /** Others went down at the same moment without an explanation. */
      readonly accompanied: boolean;
    }
  | {
      /** From now on the task starts apart from other jobs. */
      readonly type: 'task_suspected';
      readonly task: types.ids.TaskId;
      /** The last worker that has crashed under it. */
      readonly worker: types.ids.WorkerId;
      readonly crashes: number;
    }
  | {
      /** A task crashes its workers: its job fails. */
      readonly type: 'task_given_up';
      readonly task: types.ids.TaskId;
      readonly reason: crashRecords.GiveUpReason;
      readonly crashes: number;
      /** Workers that have crashed under it, separated by commas. */
      readonly workers: string;
    }
  | {
      readonly type: 'worker_stalled';
      readonly worker: types.ids.WorkerId;
      readonly runs: number;
      /** Progress at which the first of them stands still, 0 to 100. */
      readonly percent: number;
      readonly step: string;
      readonly blamed: boolean;
    };
