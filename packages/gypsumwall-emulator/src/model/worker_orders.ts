/** What a worker is told and asked, and how it answers. */
import type * as history from './history.js';
import type * as workerEnds from './worker_ends.js';
import type * as workerAttempt from './worker_attempt.js';

/** An order to start a run. */
export interface StartOrder extends history.AttemptId {
  readonly payload: string;
  /** On the worker's clock. */
  readonly leaseUntil: number | undefined;
  readonly fencingToken: number;
  readonly checkpoint: string;
  readonly ticket: string | undefined;
}

/** An order to stop a run. */
export interface StopOrder extends history.AttemptId {
  readonly token: number;
}

/** A call that holds the lease and asks for the state. */
export interface HoldCall {
  readonly token: number;
  /** Ends up to this sequence are noted. */
  readonly acknowledged: number;
  readonly leaseUntil: number | undefined;
  readonly waitMs: number;
}

/** How an order is answered. */
export type OrderAnswer =
  | {readonly type: 'accepted'}
  | {
      readonly type: 'refused';
      readonly reason: 'fence' | 'old' | 'late' | 'room' | 'ticket';
    }
  | {readonly type: 'invalid'; readonly message: string};

/** What a worker shows of itself. */
export type HoldAnswer =
  | {
      readonly type: 'report';
      readonly running: readonly workerAttempt.WorkerAttempt[];
      readonly ends: readonly workerEnds.ListedEnd[];
    }
  | {readonly type: 'refused'; readonly reason: 'fence'};
