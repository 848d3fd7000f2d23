/**
 * What the stand-ins, the callers and the runner record. The judge reads
 * nothing else, so it depends on no word of the product about itself.
 */
import type * as types from '@gypsumwall/types';
import type * as machineClock from './machine_clock.js';

/** Why a task no longer runs at a worker. */
export type EndCause =
  | 'done'
  | 'failed'
  | 'stop_call'
  | 'lease_lapsed'
  | 'checkpointed'
  | 'worker_restarted';

/** What a caller was told about a quick request. */
export type RequestOutcome =
  /** A whole answer, with its declared length. */
  | {readonly type: 'done'; readonly answerHash: string; readonly bytes: number}
  | {
      readonly type: 'not_run';
      readonly reason: string;
      readonly message: string;
    }
  | {readonly type: 'unknown'; readonly message: string}
  /** No whole HTTP answer: connection refused, reset or timed out. */
  | {
      readonly type: 'broken';
      readonly message: string;
      /** The connection was refused before anything was sent. */
      readonly neverSent: boolean;
    };

/** What a caller was told about a job it handed in. */
export type JobOutcome =
  | {readonly type: 'accepted'; readonly jobId: string}
  | Exclude<RequestOutcome, {readonly type: 'done'}>;

/** What an operator was told about a publish. */
export type PublishOutcome =
  | {readonly type: 'accepted'; readonly revision: number}
  | {readonly type: 'conflict'; readonly message: string}
  | {readonly type: 'refused'; readonly message: string}
  | {readonly type: 'broken'; readonly message: string};

/** Recorded by the workers' stand-in. */
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
      /** `work.args.label`, by which a caller knows its job again. */
      readonly label: string;
    }
  | {
      readonly type: 'task_ended';
      readonly workerId: string;
      readonly taskId: string;
      readonly attempt: string;
      readonly cause: EndCause;
      /** What it truly used while it ran, and for how long. */
      readonly used: types.resources.Resources;
      readonly ranMs: number;
    }
  /** The worker put the end into an answer, which may have been lost. */
  | {
      readonly type: 'end_told';
      readonly workerId: string;
      readonly taskId: string;
      readonly attempt: string;
    }
  /** A holder acknowledged the end, so one of the answers had arrived. */
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

/** Recorded by the upstreams' stand-in. */
export type UpstreamEvent =
  | {
      readonly type: 'execution_started';
      readonly upstreamId: string;
      readonly executionId: string;
      readonly requestId: string;
      readonly team: string;
      readonly operation: string;
      readonly key: string;
      /** SHA-256, hex, of the request's body. */
      readonly bodyHash: string;
      /** Filed with the authority or billed: an effect that can't be undone. */
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

/** Recorded by the platform's stand-in. */
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

/** Recorded by callers and operators. */
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
  /** The entry answered that it knows no such job. */
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
      /** When the reading was asked for. */
      readonly askedAt: machineClock.MachineMs;
    };

/** Recorded by the runner itself. */
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
  /** A planned stop was asked for; not a kill. */
  | {readonly type: 'entry_stopping'; readonly entryId: string}
  | {readonly type: 'upstream_leaving'; readonly upstreamId: string}
  | {readonly type: 'step'; readonly text: string}
  | {readonly type: 'fault'; readonly text: string}
  /** Everything settled; unfinished work from here on is lost work. */
  | {readonly type: 'settled'};

/** Anything recorded. */
export type EventBody =
  WorkerEvent | UpstreamEvent | PlatformEvent | CallerEvent | RunnerEvent;

/** A recorded event with its moment and its recorder. */
export type HistoryEvent = EventBody & {
  readonly at: machineClock.MachineMs;
  /** Which process recorded it. */
  readonly source: string;
  /** Its place in that process's history. */
  readonly number: number;
};
