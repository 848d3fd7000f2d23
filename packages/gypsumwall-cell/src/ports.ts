/**
 * The interfaces through which a cell's entry reaches its environment. The
 * platform folder implements them, and the tests have fakes. The error of a
 * failed call says whether the call may have taken effect.
 */
import * as result from 'true-myth/result';
import type * as organisations from '@gypsumwall/organisations';
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';

/** Outcome of a call. */
export type Answer<Value> = Promise<
  result.Result<Value, types.stepError.StepError>
>;

/** A key and its newest value; an empty value deletes the key. */
export interface KeyedEntry {
  readonly key: string;
  readonly value: string;
}

/** A record of a log. */
export interface KeyedRecord extends KeyedEntry {
  readonly offset: number;
}

/** Conditions of an append. */
export interface AppendOptions {
  /** The append is refused unless the log ends at this offset. */
  readonly expectedEndOffset?: number;
  /**
   * Rejects earlier epochs from then on, and drops repeats of a sequence
   * number.
   */
  readonly fence?: {readonly epoch: number; readonly sequence: number};
}

/** Outcome of an append that was answered. */
export type AppendOutcome =
  | {readonly type: 'appended'; readonly firstOffset: number}
  /** The log ends at another offset; nothing was appended. */
  | {readonly type: 'moved'}
  /** The store has seen a higher epoch; nothing was appended. */
  | {readonly type: 'fenced'}
  /** The sequence number is not the next one; nothing was appended. */
  | {readonly type: 'out_of_sequence'; readonly expected: number};

/** Describes why an append is not known to be stored, for logs. */
export function describeFailedAppend(
  answer: Awaited<Answer<AppendOutcome>>,
): string {
  return result.isErr(answer)
    ? types.stepError.describeError(answer.error)
    : `answered ${answer.value.type}`;
}

/** Outcome of a read. */
export type ReadOutcome =
  | {
      readonly type: 'records';
      /**
       * Records from the requested offset on; one read may return only a part.
       */
      readonly records: readonly KeyedRecord[];
      /** Where the log ended when it was read. */
      readonly endOffset: number;
      /**
       * The part of the read's time in which the link transferred the answer; 0
       * if absent; milliseconds.
       */
      readonly transferMs?: number;
    }
  /**
   * The records from that offset on were compacted; the newest record of each
   * key remains.
   */
  | {readonly type: 'compacted'};

/** A page with the newest record of each key. */
export interface NewestPage {
  readonly records: readonly KeyedRecord[];
  /** Where the next page begins; absent on the last page. */
  readonly nextAfter?: string;
  /** Where the log ended when the page was created. */
  readonly endOffset: number;
}

/** A log that keeps the newest record of each key permanently. */
export interface KeyedLog {
  /** Name used in this program's logging, such as `jobs`. */
  readonly name: string;
  append(
    entries: readonly KeyedEntry[],
    options: AppendOptions & {readonly timeoutMs: number},
  ): Answer<AppendOutcome>;
  /** Answers as soon as there is a record, or without one after `waitMs`. */
  read(from: number, waitMs: number): Answer<ReadOutcome>;
  newest(after: string | undefined): Answer<NewestPage>;
  /**
   * Checks whether the log answers, with a read that returns hardly any data.
   */
  probe(from: number): Answer<void>;
}

/** An order to start an attempt. */
export interface StartCall {
  readonly taskId: types.ids.TaskId;
  readonly attempt: number;
  readonly payload: string;
  readonly checkpoint?: string;
  readonly ticket?: string;
  /** Fencing token of the holder. */
  readonly token: number;
  /** End of the lease, on the worker's clock. */
  readonly leaseUntil: number;
  readonly timeoutMs: number;
}

/** A worker's answer to an order. */
export type OrderAnswer =
  | {
      readonly type: 'accepted';
      readonly clockMs: number;
      /** See `WorkerInfo.bornMs`; undefined if the answer doesn't say. */
      readonly bornMs?: number;
    }
  | {
      readonly type: 'refused';
      readonly reason: scheduling.schedulerTypes.RefusalReason;
      readonly bornMs?: number;
    }
  /** The worker has seen a higher fencing token. */
  | {readonly type: 'fenced'}
  /** Another incarnation of the worker now answers at the address. */
  | {readonly type: 'gone'};

/** A worker's answer to a poll. */
export type PollAnswer =
  | {
      readonly type: 'report';
      readonly clockMs: number;
      readonly running: readonly scheduling.schedulerTypes.RunningAttempt[];
      readonly ends: readonly scheduling.schedulerTypes.AttemptEnd[];
      /** Whether there may be more ended attempts than were listed. */
      readonly hasMoreEnds: boolean;
      readonly bornMs?: number;
    }
  | {readonly type: 'fenced'}
  | {readonly type: 'gone'};

/**
 * A poll of a worker's state, which also renews the lease and acknowledges
 * ended attempts.
 */
export interface PollCall {
  readonly token: number;
  /** All ended attempts up to this sequence number are stored. */
  readonly acknowledged: number;
  /** On the worker's clock; if absent, the lease isn't changed. */
  readonly leaseUntil?: number;
  /**
   * The worker answers when the next attempt ends, or after this time;
   * milliseconds.
   */
  readonly waitMs: number;
  readonly timeoutMs: number;
}

/** An order to stop an attempt. */
export type StopCall = Pick<
  StartCall,
  'taskId' | 'attempt' | 'token' | 'timeoutMs'
>;

/** The connections to one incarnation of a worker. */
export interface WorkerLink {
  start(call: StartCall): Answer<OrderAnswer>;
  stop(call: StopCall): Answer<OrderAnswer>;
  poll(call: PollCall): Answer<PollAnswer>;
  close(): void;
}

/** Approvals by worker. */
export type Approvals = ReadonlyMap<types.ids.WorkerId, string>;

/** The service that approves workers for steps. */
export interface Adviser {
  ask(
    stepRunId: string,
    workers: readonly types.ids.WorkerId[],
    timeoutMs: number,
  ): Answer<Approvals>;
}

/** A worker as given in the platform's list. */
export interface ListedWorker {
  readonly info: scheduling.workerRegistry.WorkerInfo;
  /**
   * Minimum time until a draining worker leaves, counted from when its list
   * entry was written; milliseconds.
   */
  readonly leavesInMs?: number;
  /**
   * When its list entry was written, on the worker's clock; milliseconds.
   * Undefined if the entry doesn't say.
   */
  readonly writtenAtMs?: number;
}

/** The address of a queue for callers, and the queue's policy. */
export interface QueueRoute {
  readonly host: string;
  readonly pathPrefix: string;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  readonly policy: scheduling.jobRequest.QueuePolicy;
}

/** The operator's configuration. */
export interface CellConfig {
  readonly version: number;
  readonly queues: readonly QueueRoute[];
  /** Undefined if callers need no keys and no quotas apply. */
  readonly organisations: organisations.organisation.Organisations | undefined;
  readonly maxBodyBytes: number;
  readonly idleTimeoutMs: number;
}
