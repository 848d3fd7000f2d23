/**
 * The three outcomes a caller can be told. They are never blurred: `not_run`
 * is a proof that nothing ran, `unknown` an admission that it may have.
 */

/** Why work was refused; each is explained in docs/API.md. */
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

/** What became of a request. */
export type Outcome =
  | {readonly type: 'done'}
  | {
      readonly type: 'not_run';
      readonly reason: RefusalReason;
      readonly message: string;
      /** When to come back, in milliseconds; absent when it is of no use. */
      readonly retryAfterMs?: number;
    }
  | {readonly type: 'unknown'; readonly message: string};
