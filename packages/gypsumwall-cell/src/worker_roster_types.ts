/** The interfaces of a holder's workers. */
import type * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as listEntryAges from './list_entry_age.js';
import type * as logFollower from './log_follower.js';
import type * as ports from './ports.js';
import type * as storeRecords from './store_records.js';
import type * as unansweredStarts from './unanswered_starts.js';
import type * as workerSession from './worker_session.js';

/** Options of a roster. */
export interface RosterOptions {
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  readonly decode: (
    key: string,
    value: string,
  ) => result.Result<ports.ListedWorker, string>;
  /**
   * Whether tasks of any queue run in the pool. Workers of other pools aren't
   * called: their list entries may belong to another program, and their
   * addresses to anyone.
   */
  readonly isUsedPool: (pool: string) => boolean;
  /** Maximum time that a worker takes to stop a task; milliseconds. */
  readonly longestStopMs: number;
  /**
   * The list removes a worker when it has left, or after this much silence;
   * milliseconds. Undefined if the platform doesn't specify it.
   */
  readonly listExpiryMs: number | undefined;
  /** The list is read completely until this moment; undefined before it is. */
  readonly listReadUntil: () => types.clock.MonotonicMs | undefined;
  /**
   * A worker that had announced its departure has left: nothing runs there any
   * more.
   */
  readonly onLeft: (worker: types.ids.WorkerId) => void;
  /**
   * Opens a session; `earlierStarts` as in the options of a session.
   */
  readonly openSession: (
    worker: scheduling.workerRegistry.WorkerInfo,
    /** Whether the worker is stored as used already. */
    isRecorded: boolean,
    earlierStarts?: readonly unansweredStarts.UnansweredStart[],
  ) => workerSession.WorkerSession;
  readonly write: (
    records: readonly storeRecords.StoreRecord[],
  ) => Promise<void>;
  /** Resolves once all progress until now is stored. */
  readonly flush: () => Promise<void>;
  readonly onChange: () => void;
}

/** The workers of a holder. */
export interface WorkerRoster {
  /**
   * Applies records of the platform's list. All of them were written after the
   * given moment; undefined if no such moment is known.
   */
  applyList(
    records: readonly ports.KeyedRecord[],
    reloaded: boolean,
    writtenAfter?: logFollower.ClockReading,
  ): void;
  /** Opens sessions to workers that an earlier holder used. */
  inherit(workers: Iterable<storeRecords.UsedWorkerRecord>): void;
  session(id: types.ids.WorkerId): workerSession.WorkerSession | undefined;
  /** The incarnation has ended. */
  onGone(id: types.ids.WorkerId): void;
  /**
   * A worker has answered, and says when its incarnation started. Returns
   * whether that is the incarnation of its session; if it is a later one, a
   * session with that one is opened.
   */
  isOwnBirth(id: types.ids.WorkerId, bornMs: number): boolean;
  /** The lease of an unreachable worker has expired. */
  onLeaseExpired(id: types.ids.WorkerId): void;
  tick(now: types.clock.MonotonicMs): void;
  /** Closes workers with an expired list entry to new tasks. */
  checkListEntries(): void;
  /**
   * All leases of earlier holders have expired: removes unlisted workers that
   * never answered.
   */
  removeSilent(): void;
  /**
   * Share of the used workers that are reachable and have answered a poll that
   * was sent since then. Includes unlisted ones and those whose removal isn't
   * stored: a successor finds them among the used workers, and its majority
   * must not be disjoint from this holder's.
   */
  reachableShare(since: types.clock.MonotonicMs): number;
  /** Number of list entries that name no worker to use. */
  unusableEntries(): number;
  close(): void;
}

/** A worker of a roster. */
export interface RosterEntry {
  session: workerSession.WorkerSession;
  info: scheduling.workerRegistry.WorkerInfo;
  listed: boolean;
  /** When its newest list entry was written. */
  times: listEntryAges.EntryTimes;
  /**
   * Whether its list entry disappeared while changes of the list were missed,
   * among them perhaps the announcement that it leaves.
   */
  missedRemoval: boolean;
  isCurrent: boolean;
  /** When a worker that disappeared from the list is treated as leaving. */
  unusedAt?: types.clock.MonotonicMs;
  /** From this moment on, all attempts on the worker are stopped. */
  evacuateAt?: types.clock.MonotonicMs;
  isEvacuating: boolean;
}
