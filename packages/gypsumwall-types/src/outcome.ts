/**
 * The three outcomes of a request. A caller can rely on the difference:
 * `not_run` is proven, while after `unknown` the request may have run.
 */

/** Why work was refused; docs/API.md explains each reason. */
export type RefusalReason =
  | 'overloaded'
  | 'deadline_unreachable'
  | 'deadline_passed'
  | 'over_quota'
  | 'no_upstream'
  | 'log_unavailable'
  | 'not_ready'
  | 'leaving'
  | 'key_in_use'
  | 'can_never_run'
  | 'invalid'
  | 'cancelled';

/** Outcome of a request. */
export type Outcome =
  | {readonly type: 'done'}
  | {
      readonly type: 'not_run';
      readonly reason: RefusalReason;
      readonly message: string;
      /** Delay before a retry in milliseconds; absent if a retry is useless. */
      readonly retryAfterMs?: number;
    }
  | {readonly type: 'unknown'; readonly message: string};
