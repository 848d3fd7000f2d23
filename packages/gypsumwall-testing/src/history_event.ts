/**
 * The events that the stand-ins, the callers and the test runner record. The
 * judge reads nothing else, so its findings don't depend on what the product
 * reports about itself.
 */
import type * as types from '@gypsumwall/types';
import type * as machineClock from './machine_clock.js';

/** Why an attempt of a task ended on a worker. */
export type EndCause =
  | 'done'
  | 'failed'
  | 'stop_call'
  | 'lease_lapsed'
  | 'checkpointed'
  | 'worker_restarted';

/** The outcome of a quick request, as its caller received it. */
export type RequestOutcome =
  /** A complete answer of the declared length. */
  | {readonly type: 'done'; readonly answerHash: string; readonly bytes: number}
  | {
      readonly type: 'not_run';
      readonly reason: string;
      readonly message: string;
    }
  | {readonly type: 'unknown'; readonly message: string}
  /**
   * No complete HTTP answer: the connection was refused or reset, or the call
   * timed out.
   */
  | {
      readonly type: 'broken';
      readonly message: string;
      /** The connection was refused before anything was sent. */
      readonly neverSent: boolean;
    };

/** The outcome of a job's submission, as its caller received it. */
export type JobOutcome =
  | {readonly type: 'accepted'; readonly jobId: string}
  | Exclude<RequestOutcome, {readonly type: 'done'}>;

/** The outcome of a publish, as the operator received it. */
export type PublishOutcome =
  | {readonly type: 'accepted'; readonly revision: number}
  | {readonly type: 'conflict'; readonly message: string}
  | {readonly type: 'refused'; readonly message: string}
  | {readonly type: 'broken'; readonly message: string};

/** Events that the workers' stand-in records. */
export type WorkerEvent =
  | {
      readonly type: 'worker_up';
      readonly workerId: string;
      readonly incarnation: string;
      readonly capacity: types.resources.Resources;
    }
  | {
      readonly type: 'task_started';
      readonly workerId: string;
      readonly taskId: string;
      readonly attempt: string;
      readonly epoch: number;
      readonly size: types.resources.Resources;
      /** `work.args.label`, which identifies the caller's job. */
      readonly label: string;
    }
  | {
      readonly type: 'task_ended';
      readonly workerId: string;
      readonly taskId: string;
      readonly attempt: string;
      readonly cause: EndCause;
      /**
       * The actual usage when the attempt ended; `ranMs` is how long the
       * attempt ran.
       */
      readonly used: types.resources.Resources;
      readonly ranMs: number;
    }
  /**
   * The worker reported an attempt's end in an answer, which may have been
   * lost.
   */
  | {
      readonly type: 'end_told';
      readonly workerId: string;
      readonly taskId: string;
      readonly attempt: string;
    }
  /**
   * A holder acknowledged an attempt's end, so at least one of the answers that
   * reported the end arrived.
   */
  | {
      readonly type: 'end_acknowledged';
      readonly workerId: string;
      readonly taskId: string;
      readonly attempt: string;
    }
  | {
      readonly type: 'worker_refused';
      readonly workerId: string;
      readonly call: string;
      readonly error: string;
      readonly message: string;
    };

/** Events that the upstreams' stand-in records. */
export type UpstreamEvent =
  | {
      readonly type: 'execution_started';
      readonly upstreamId: string;
      readonly executionId: string;
      readonly requestId: string;
      readonly team: string;
      readonly operation: string;
      readonly key: string;
      /** SHA-256 of the request's body, in hex. */
      readonly bodyHash: string;
      /**
       * Whether the operation files with an authority or bills, so that its
       * effect can't be undone.
       */
      readonly authority: boolean;
    }
  | {
      readonly type: 'execution_ended';
      readonly upstreamId: string;
      readonly executionId: string;
      readonly answerHash: string;
      readonly bytes: number;
    }
  | {
      readonly type: 'execution_refused';
      readonly upstreamId: string;
      readonly requestId: string;
      readonly why: 'slots' | 'fault';
    }
  | {readonly type: 'connection_dropped'; readonly upstreamId: string};

/** Events that the platform's stand-in records. */
export type PlatformEvent =
  | {
      readonly type: 'records_appended';
      readonly stream: string;
      readonly producer: string;
      readonly firstOffset: number;
      readonly count: number;
      readonly answerLost: boolean;
    }
  | {
      readonly type: 'records_dropped';
      readonly stream: string;
      readonly firstOffset: number;
    };

/** Events that callers and operators record. */
export type CallerEvent =
  | {
      readonly type: 'request_sent';
      readonly callId: string;
      readonly entryId: string;
      readonly team: string;
      readonly operation: string;
      readonly key: string;
      readonly bodyHash: string;
    }
  | {
      readonly type: 'request_told';
      readonly callId: string;
      readonly told: RequestOutcome;
    }
  | {
      readonly type: 'job_sent';
      readonly callId: string;
      readonly entryId: string;
      readonly team: string;
      readonly key: string;
      readonly label: string;
    }
  | {
      readonly type: 'job_told';
      readonly callId: string;
      readonly label: string;
      readonly told: JobOutcome;
    }
  | {
      readonly type: 'job_seen';
      readonly entryId: string;
      readonly view: types.job.JobView;
    }
  /** The entry answered that it has no such job. */
  | {
      readonly type: 'job_missing';
      readonly entryId: string;
      readonly jobId: string;
    }
  | {readonly type: 'job_cancel_accepted'; readonly jobId: string}
  | {
      readonly type: 'publish_told';
      readonly callId: string;
      readonly entryId: string;
      readonly path: string;
      readonly base: number;
      readonly told: PublishOutcome;
    }
  | {
      readonly type: 'setting_seen';
      readonly entryId: string;
      readonly path: string;
      readonly revision: number;
      /** When the request for the setting was sent. */
      readonly askedAt: machineClock.MachineMs;
    };

/** Events that the test runner records. */
export type RunnerEvent =
  | {
      readonly type: 'entry_up';
      readonly entryId: string;
      readonly pid: number;
    }
  | {
      readonly type: 'entry_exited';
      readonly entryId: string;
      readonly code: number | null;
      readonly signal: string;
    }
  /** A planned stop was requested, as opposed to a kill. */
  | {readonly type: 'entry_stopping'; readonly entryId: string}
  | {readonly type: 'upstream_leaving'; readonly upstreamId: string}
  | {readonly type: 'step'; readonly text: string}
  | {readonly type: 'fault'; readonly text: string}
  /**
   * The scenario has settled; work that is unfinished from now on counts as
   * lost.
   */
  | {readonly type: 'settled'};

/** Any event, without its time and source. */
export type EventBody =
  WorkerEvent | UpstreamEvent | PlatformEvent | CallerEvent | RunnerEvent;

/** A recorded event with its time and its recording process. */
export type HistoryEvent = EventBody & {
  readonly at: machineClock.MachineMs;
  /** The process that recorded the event. */
  readonly source: string;
  /** The event's index in the history of that process. */
  readonly number: number;
};
