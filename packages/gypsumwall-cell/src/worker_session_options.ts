/** What a session with a worker depends on. */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as pollDelays from './poll_delay.js';
import type * as ports from './ports.js';
import type * as unansweredStarts from './unanswered_starts.js';

/** Options of a session. */
export interface SessionOptions {
  readonly worker: scheduling.workerRegistry.WorkerInfo;
  readonly link: ports.WorkerLink;
  readonly token: number;
  /** Length of the next lease on the worker's clock, in milliseconds. */
  readonly leaseMs: () => number;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  /** The delay of all workers' answers to polls. */
  readonly pollDelay?: pollDelays.PollDelay;
  /** The longest lease that an earlier holder granted, in milliseconds. */
  readonly maxLeaseMs: number;
  /** Whether the holder may renew leases now. */
  readonly mayRenew: () => boolean;
  /** The last moment at which this process is known to have held the cell. */
  readonly confirmedAt: () => types.clock.MonotonicMs;
  /** Called when a new scheduling cycle is needed. */
  readonly onChange: () => void;
  /** Resolves once everything reported so far is stored. */
  readonly flush: () => Promise<void>;
  /**
   * Called with the first answer of the worker, before it is used. Resolves once
   * leases may be granted; to whether the answer is too old by then.
   */
  readonly beforeFirstReport: () => Promise<boolean>;
  /** The worker has answered under this holder's token for the first time. */
  readonly onFirstReport: () => void;
  readonly onFenced: () => void;
  readonly onGone: () => void;
  /**
   * An answer says when its incarnation started. Returns whether that is the
   * incarnation of this session, which is closed if a later one has answered.
   */
  readonly isOwnBirth: (bornMs: number) => boolean;
  /**
   * Set if an incarnation before had the same id: start orders to it that this
   * one may still carry out.
   */
  readonly earlierStarts?: readonly unansweredStarts.UnansweredStart[];
  /** The lease expired while the worker didn't answer. */
  readonly onLeaseExpired: () => void;
}
