/**
 * Events that callers and workers observed, in order. They are the only input
 * of the judge. Event types and fields are also read outside this package.
 */
import type * as types from '@gypsumwall/types';
import type * as operator from './operator.js';
import type * as jobCatalog from './job_catalog.js';

/** How an attempt ended at its worker. Sent under these names. */
export type AttemptEnd =
  | 'done'
  | 'failed'
  | 'stopped'
  /** The worker's lease expired. */
  | 'lapsed'
  /** Another member of its gang ended. */
  | 'broken'
  /** The other members of its gang didn't start in time. */
  | 'alone';

/** A job's state as an entry reports it. */
export type JobState =
  'queued' | 'running' | 'completed' | 'failed' | 'cancelled' | 'absent';

/** Identifies one attempt, that is, one execution of a task on a worker. */
export interface AttemptId {
  readonly taskId: string;
  readonly attempt: number;
}

/** How often a task of a queue may end `failed` before its job fails. */
export type QueueLimit = Pick<operator.QueuePolicy, 'name' | 'maxAttempts'>;

/** What was observed, without the time. */
export type EventDetails =
  | {readonly type: 'job_sent'; readonly job: jobCatalog.JobSpec}
  | {
      readonly type: 'job_told';
      readonly jobId: string;
      /** The result of the submission; `refused` if every try was rejected. */
      readonly told: 'accepted' | 'refused' | 'unknown';
    }
  | {
      readonly type: 'state_shown';
      readonly jobId: string;
      readonly state: JobState;
    }
  | {
      readonly type: 'cancel_sent' | 'cancel_acknowledged';
      readonly jobId: string;
    }
  | {
      /** The store has acknowledged a configuration. */
      readonly type: 'config_published';
      readonly organisations: readonly operator.Organisation[];
      readonly queues: readonly QueueLimit[];
    }
  | {
      readonly type: 'key_used';
      readonly key: string;
      readonly sentAt: types.clock.MonotonicMs;
      /** Whether an entry served the call; otherwise the key is unknown to it. */
      readonly isAccepted: boolean;
    }
  | {
      readonly type: 'worker_up';
      readonly workerId: string;
      readonly capacity: types.resources.Resources;
    }
  | {
      readonly type: 'worker_draining' | 'worker_left';
      readonly workerId: string;
    }
  | {
      readonly type: 'worker_crashed';
      readonly workerId: string;
      /** The task that crashed the worker; absent if no task did. */
      readonly culprit?: string;
    }
  | {
      readonly type: 'capacity_changed';
      readonly workerId: string;
      readonly capacity: types.resources.Resources;
    }
  | (AttemptId & {readonly type: 'run_started'; readonly workerId: string})
  | (AttemptId & {readonly type: 'run_at_work'; readonly workerId: string})
  | (AttemptId & {
      readonly type: 'run_ended';
      readonly workerId: string;
      readonly how: AttemptEnd;
    })
  | (AttemptId & {
      readonly type: 'end_acknowledged';
      readonly workerId: string;
      readonly how: AttemptEnd;
    })
  | (AttemptId & {
      readonly type: 'start_unasked';
      readonly workerId: string;
      readonly reason: string;
    })
  | {readonly type: 'disruption'; readonly what: string}
  | {readonly type: 'history_closed'};

/** One event of the history, with the time of its observation. */
export type HistoryEvent = EventDetails & {
  readonly at: types.clock.MonotonicMs;
};

/** Collects events. */
export interface History {
  record(details: EventDetails): void;
  events(): readonly HistoryEvent[];
}

/** Creates an empty history. */
export function createHistory(clock: types.clock.Clock): History {
  const events: HistoryEvent[] = [];
  return {
    record: (details) => void events.push({...details, at: clock.monotonic()}),
    events: () => events,
  };
}
