/**
 * What a cell's entry needs of its surroundings. The platform folder gives the
 * real ones, the tests stand-ins. Where a call can fail, the error says
 * whether it may have had an effect.
 */
import type * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';

/** What a call comes to. */
export type Answer<Value> = Promise<
  result.Result<Value, types.stepError.StepError>
>;

/** A key and its newest value; an empty value drops the key. */
export interface KeyedEntry {
  readonly key: string;
  readonly value: string;
}

/** A record as it stands in a log. */
export interface KeyedRecord extends KeyedEntry {
  readonly offset: number;
}

/** How records are to be appended. */
export interface AppendOptions {
  /** Only if the log ends at this offset. */
  readonly expectedEndOffset?: number;
  /** Refuses earlier epochs from then on, and drops repeats of a sequence. */
  readonly fence?: {readonly epoch: number; readonly sequence: number};
}

/** What became of an append that was answered. */
export type AppendOutcome =
  | {readonly type: 'appended'; readonly firstOffset: number}
  /** The log ends elsewhere; nothing was appended. */
  | {readonly type: 'moved'}
  /** A higher epoch has been seen; nothing was appended. */
  | {readonly type: 'fenced'}
  /** The sequence doesn't follow; nothing was appended. */
  | {readonly type: 'out_of_sequence'; readonly expected: number};

/** What a read found. */
export type ReadOutcome =
  | {
      readonly type: 'records';
      /** From the offset asked for; one read may bring only a part. */
      readonly records: readonly KeyedRecord[];
      /** Where the log ended when it was read. */
      readonly endOffset: number;
    }
  /** The records from there on are gone; the newest of each key remain. */
  | {readonly type: 'compacted'};

/** A page of the newest record of each key. */
export interface NewestPage {
  readonly records: readonly KeyedRecord[];
  /** Where to go on; absent on the last page. */
  readonly nextAfter?: string;
  /** Where the log ended when the page was made. */
  readonly endOffset: number;
}

/** A log that keeps the newest record of each key for good. */
export interface KeyedLog {
  /** For log lines, such as `jobs`. */
  readonly name: string;
  append(
    entries: readonly KeyedEntry[],
    options: AppendOptions & {readonly timeoutMs: number},
  ): Answer<AppendOutcome>;
  /** Answers as soon as there is a record, or with none after `waitMs`. */
  read(from: number, waitMs: number): Answer<ReadOutcome>;
  newest(after: string | undefined): Answer<NewestPage>;
  /** Whether the log answers at all: a read that brings next to nothing. */
  probe(from: number): Answer<void>;
}

/** A start as a worker gets it. */
export interface StartCall {
  readonly taskId: types.ids.TaskId;
  readonly attempt: number;
  readonly payload: string;
  readonly checkpoint?: string;
  readonly ticket?: string;
  /** Fencing token. */
  readonly token: number;
  /** End of the lease, on the worker's clock. */
  readonly leaseUntil: number;
  readonly timeoutMs: number;
}

/** What a worker answered to an order. */
export type OrderAnswer =
  | {readonly type: 'accepted'; readonly clockMs: number}
  | {
      readonly type: 'refused';
      readonly reason: scheduling.schedulerTypes.RefusalReason;
    }
  /** It has seen a higher fencing token. */
  | {readonly type: 'fenced'}
  /** Another stay of the worker answers there now. */
  | {readonly type: 'gone'};

/** What a worker answered to a look. */
export type PollAnswer =
  | {
      readonly type: 'report';
      readonly clockMs: number;
      readonly running: readonly scheduling.schedulerTypes.RunningAttempt[];
      readonly ends: readonly scheduling.schedulerTypes.AttemptEnd[];
      /** Whether there may be more ends than were listed. */
      readonly hasMoreEnds: boolean;
    }
  | {readonly type: 'fenced'}
  | {readonly type: 'gone'};

/** A look at a worker, which also renews its lease and takes note of ends. */
export interface PollCall {
  readonly token: number;
  /** All ends up to this one are stored. */
  readonly acknowledged: number;
  /** On the worker's clock; absent: the lease stays as it is. */
  readonly leaseUntil?: number;
  /** The worker answers at the next end, or after so long. */
  readonly waitMs: number;
  readonly timeoutMs: number;
}

/** The connections to one stay of a worker. */
export interface WorkerLink {
  start(call: StartCall): Answer<OrderAnswer>;
  stop(
    call: Pick<StartCall, 'taskId' | 'attempt' | 'token' | 'timeoutMs'>,
  ): Answer<OrderAnswer>;
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

/** A worker as the platform's list has it. */
export interface ListedWorker {
  readonly info: scheduling.workerRegistry.WorkerInfo;
  /** Least time until a draining worker leaves, from then; milliseconds. */
  readonly leavesInMs?: number;
}

/** A queue as callers reach it. */
export interface QueueRoute {
  readonly host: string;
  readonly pathPrefix: string;
  readonly policy: scheduling.jobRequest.QueuePolicy;
}

/** The operator's configuration. */
export interface CellConfig {
  readonly version: number;
  readonly queues: readonly QueueRoute[];
  readonly maxBodyBytes: number;
  readonly idleTimeoutMs: number;
}
