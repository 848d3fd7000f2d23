/** Orders and calls that a worker receives, and its answers. */
import type * as history from './history.js';
import type * as workerEnds from './worker_ends.js';
import type * as workerAttempt from './worker_attempt.js';

/** An order to start an attempt. */
export interface StartOrder extends history.AttemptId {
  readonly payload: string;
  /** End of the lease, as a reading of the worker's clock. */
  readonly leaseUntil: number | undefined;
  readonly fencingToken: number;
  readonly checkpoint: string;
  readonly ticket: string | undefined;
}

/** An order to stop an attempt. */
export interface StopOrder extends history.AttemptId {
  readonly fencingToken: number;
}

/** A call that renews the lease and long-polls the worker's state. */
export interface HoldCall {
  readonly fencingToken: number;
  /** Sequence up to which the caller has recorded the ends. */
  readonly acknowledged: number;
  readonly leaseUntil: number | undefined;
  readonly waitMs: number;
}

/** The answer to an order. The reasons are sent under these names. */
export type OrderAnswer =
  | {readonly type: 'accepted'}
  | {
      readonly type: 'refused';
      readonly reason: 'fence' | 'old' | 'late' | 'room' | 'ticket';
    }
  | {readonly type: 'invalid'; readonly message: string};

/** The answer to a hold call. */
export type HoldAnswer =
  | {
      readonly type: 'report';
      readonly running: readonly workerAttempt.WorkerAttempt[];
      readonly ends: readonly workerEnds.ListedEnd[];
    }
  | {readonly type: 'refused'; readonly reason: 'fence'};
