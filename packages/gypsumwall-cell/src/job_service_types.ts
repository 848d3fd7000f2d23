/** The calls of callers to the job service, and their answers. */
import type * as organisations from '@gypsumwall/organisations';
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';

/** Outcome of a call. */
export type JobServiceAnswer<Value> =
  | {readonly type: 'ok'; readonly value: Value}
  /** The call had no effect and will have none. */
  | {
      readonly type: 'not_run';
      readonly retryAfterMs: number;
      /** Whether the store is reachable and has too many queued appends. */
      readonly isStoreOverloaded?: boolean;
      /** Whether a peer is too busy to carry out the calls of others. */
      readonly isPeerBusy?: boolean;
      /** Whether the cell can't take the job on, so that no peer can either. */
      readonly isCellOverloaded?: boolean;
    }
  /** The call may have taken effect; the caller should repeat it. */
  | {readonly type: 'unknown'}
  | {readonly type: 'absent'}
  /**
   * The call had no effect: the keys of the caller's organisation have changed
   * since it was identified.
   */
  | {readonly type: 'outdated_caller'}
  | {readonly type: 'invalid'; readonly message: string};

/**
 * Serves callers. A caller is absent where calls need no key. The jobs of other
 * organisations are absent for a caller.
 */
export interface JobService {
  submit(
    id: types.ids.JobId,
    policy: scheduling.jobRequest.QueuePolicy,
    request: scheduling.jobRequest.JobRequest,
    caller?: organisations.keyDirectory.Caller,
  ): Promise<JobServiceAnswer<undefined>>;
  cancel(
    id: types.ids.JobId,
    queue: string,
    caller?: organisations.keyDirectory.Caller,
  ): Promise<JobServiceAnswer<undefined>>;
  phaseOf(
    id: types.ids.JobId,
    queue: string,
    caller?: organisations.keyDirectory.Caller,
  ): Promise<JobServiceAnswer<scheduling.jobProgress.JobPhase>>;
  /**
   * The phase of a finished job, for which no replica is too old; otherwise a
   * refusal.
   */
  finalPhaseOf(
    id: types.ids.JobId,
    queue: string,
    caller?: organisations.keyDirectory.Caller,
  ): Promise<JobServiceAnswer<scheduling.jobProgress.JobPhase>>;
  /**
   * Number of jobs of a queue none of whose tasks has started. An entry that
   * the store has refused lacks the jobs accepted by others until it has read
   * all of them, and must not count in its own replica: it once returned 4
   * where 20 jobs had been pending for 5 s.
   */
  pendingIn(queue: string): Promise<JobServiceAnswer<number>>;
  /**
   * The refusal of a job that the cell can't take on; undefined for other jobs.
   */
  shed(
    id: types.ids.JobId,
    policy: scheduling.jobRequest.QueuePolicy,
    request: scheduling.jobRequest.JobRequest,
    caller?: organisations.keyDirectory.Caller,
  ): JobServiceAnswer<undefined> | undefined;
  /** Whether this entry has read the record of the caller's job. */
  isStored(
    id: types.ids.JobId,
    caller?: organisations.keyDirectory.Caller,
  ): boolean;
  /** Whether this entry's replica is current enough to answer queries. */
  isCurrent(): boolean;
  /**
   * Recent latency of appends in milliseconds; undefined without a recent
   * append.
   */
  storeLatencyMs(): number | undefined;
}
